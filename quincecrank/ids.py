"""Identifier types shared by all modules.

On the wire, ids are strings or integers; as `NewType`s they cannot be confused with
each other.
"""

import secrets
from typing import Final, NewType

AccountName = NewType("AccountName", str)
DeploymentName = NewType("DeploymentName", str)
AdapterName = NewType("AdapterName", str)
TierName = NewType("TierName", str)
VmName = NewType("VmName", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
BackendServerName = NewType("BackendServerName", str)
WeightVersion = NewType("WeightVersion", str)
KeyId = NewType("KeyId", str)

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ProposalId = NewType("ProposalId", str)
Incarnation = NewType("Incarnation", str)

BlockKey = NewType("BlockKey", str)
"""Keyed hash in hex of everything that the content of one KV block depends on."""

ObjectName = NewType("ObjectName", str)
"""Name of an object in a store VM or in the object store."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
FencingNumber = NewType("FencingNumber", int)

_RANDOM_BYTES: Final = 9


def random_id(prefix: str) -> str:
    """Return `prefix` and 72 random bits in URL-safe characters."""
    return prefix + secrets.token_urlsafe(_RANDOM_BYTES)
