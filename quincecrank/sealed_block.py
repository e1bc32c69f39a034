"""Envelope format of a KV block in a store.

A sealed block is a header, the payload and a footer.  The header carries the
payload's length and a keyed digest of the block's identity; the footer repeats the
length and carries a keyed checksum over header and payload.  A block is used only if
all of them match what the reader expects, so a truncated, foreign or renamed object is
never imported into an engine.
"""

import dataclasses
import enum
import hashlib
import hmac
import struct
from typing import Final, Self

import expression

from quincecrank import block_keys, ids

_MAGIC: Final = b"QCKVBLK1"
_DIGEST_BYTES: Final = 16
_HEADER: Final = struct.Struct(f"<8sQ{_DIGEST_BYTES}s")
_FOOTER: Final = struct.Struct(f"<Q{_DIGEST_BYTES}s")
_IDENTITY_PURPOSE: Final = b"quince.identity"
_CHECKSUM_PURPOSE: Final = b"quince.seal"
_NAME_SEPARATOR: Final = "."
_NAME_PARTS: Final = 3

OVERHEAD_BYTES: Final = _HEADER.size + _FOOTER.size
"""Length of header and footer."""


class SealError(enum.Enum):
    """Why an object cannot be used as a block."""

    TRUNCATED = "truncated"
    NOT_A_BLOCK = "not-a-block"
    WRONG_IDENTITY = "wrong-identity"
    WRONG_CHECKSUM = "wrong-checksum"


@dataclasses.dataclass(frozen=True, slots=True)
class BlockIdentity:
    """Identity that a reader expects of a stored object.

    Attributes
    ----------
    key : BlockKey
        Key of the block.
    name : ObjectName
        Name under which the object is stored.
    weight_version : WeightVersion
        Version of the weights that computed the payload.
    """

    key: ids.BlockKey
    name: ids.ObjectName
    weight_version: ids.WeightVersion


@dataclasses.dataclass(frozen=True, slots=True)
class BlockName:
    """The parts of a stored block's object name.

    Attributes
    ----------
    root : BlockKey
        Key of the first block of the chain, which names the directory shard.
    key : BlockKey
        Key of the block.
    write_id : str
        Unique to each write, so no object is ever overwritten.
    """

    root: ids.BlockKey
    key: ids.BlockKey
    write_id: str

    def object_name(self) -> ids.ObjectName:
        """Return the name under which a store holds the block."""
        parts = (self.root, self.key, self.write_id)
        return ids.ObjectName(_NAME_SEPARATOR.join(parts))

    @classmethod
    def parse(cls, name: ids.ObjectName) -> Self | None:
        """Return the parts of `name`, or None if it is not a block name."""
        parts = name.split(_NAME_SEPARATOR)
        if len(parts) != _NAME_PARTS or not all(parts):
            return None
        root, key, write_id = parts
        return cls(ids.BlockKey(root), ids.BlockKey(key), write_id)


def _digest(secret: bytes, purpose: bytes, *parts: bytes | memoryview) -> bytes:
    key = block_keys.derive_key(secret)
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=key, person=purpose)
    for part in parts:
        digest.update(part)
    return digest.digest()


def _identity_digest(secret: bytes, identity: BlockIdentity) -> bytes:
    fields = (identity.key, identity.name, identity.weight_version)
    encoded = block_keys.encode_fields(*(field.encode() for field in fields))
    return _digest(secret, _IDENTITY_PURPOSE, encoded)


def seal(secret: bytes, identity: BlockIdentity, payload: bytes) -> bytes:
    """Return `payload` in an envelope for `identity`, keyed by `secret`."""
    header = _HEADER.pack(_MAGIC, len(payload), _identity_digest(secret, identity))
    checksum = _digest(secret, _CHECKSUM_PURPOSE, header, payload)
    return b"".join((header, payload, _FOOTER.pack(len(payload), checksum)))


def open_sealed(
    secret: bytes, identity: BlockIdentity, data: bytes
) -> expression.Result[bytes, SealError]:
    """Return the payload of `data`, or why it is not the block `identity`."""
    if len(data) < OVERHEAD_BYTES:
        return expression.Error(SealError.TRUNCATED)
    magic, length, identity_digest = _HEADER.unpack_from(data)
    if magic != _MAGIC:
        return expression.Error(SealError.NOT_A_BLOCK)
    if len(data) != length + OVERHEAD_BYTES:
        return expression.Error(SealError.TRUNCATED)
    if not hmac.compare_digest(identity_digest, _identity_digest(secret, identity)):
        return expression.Error(SealError.WRONG_IDENTITY)
    body = memoryview(data)[: _HEADER.size + length]
    footer_length, checksum = _FOOTER.unpack_from(data, len(body))
    expected = _digest(secret, _CHECKSUM_PURPOSE, body)
    if footer_length != length or not hmac.compare_digest(checksum, expected):
        return expression.Error(SealError.WRONG_CHECKSUM)
    return expression.Ok(bytes(body[_HEADER.size :]))
