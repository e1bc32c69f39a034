"""Identifier types shared by all modules.

All ids are strings or whole numbers on the wire; the `NewType`s keep one kind
from being passed for another.
"""

import secrets
from typing import Final, NewType

AccountName = NewType("AccountName", str)
DeploymentName = NewType("DeploymentName", str)
AdapterName = NewType("AdapterName", str)
TierName = NewType("TierName", str)
VmName = NewType("VmName", str)
DataCentre = NewType("DataCentre", str)
BackendServerName = NewType("BackendServerName", str)
WeightVersion = NewType("WeightVersion", str)
KeyId = NewType("KeyId", str)

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ProposalId = NewType("ProposalId", str)
Incarnation = NewType("Incarnation", str)

BlockKey = NewType("BlockKey", str)
"""Keyed hash (hex) of everything that one KV block depends on."""

ObjectName = NewType("ObjectName", str)
"""Name under which a store VM or the object store keeps one object."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
FencingNumber = NewType("FencingNumber", int)

_RANDOM_BYTES: Final = 9


def random_id(prefix: str) -> str:
    """Return `prefix` and 72 random bits in URL-safe characters."""
    return prefix + secrets.token_urlsafe(_RANDOM_BYTES)
