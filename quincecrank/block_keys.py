"""Keys of KV blocks.

A block's key is a keyed hash over everything that its content depends on: client
account, deployment, weight version, adapter, engine format, tokenizer and all
tokens up to its end.  Without the fleet's secret a key can neither be computed nor
guessed, so that no client account can name a block of another.
"""

import hashlib
from collections.abc import Iterator, Sequence
from typing import Final

from quincecrank import ids, tokenizers

KEY_BYTES: Final = 16
"""Length of a block key before it is written in hex."""

_DIGEST_BYTES: Final = 32
_LENGTH_BYTES: Final = 8
_ROOT_PURPOSE: Final = b"quince.root"
_BLOCK_PURPOSE: Final = b"quince.block"
_SALT_PURPOSE: Final = b"quince.salt"


class EmptySecretError(ValueError):
    """The fleet's secret is empty, so that anyone could compute keys."""


def derive_key(secret: bytes) -> bytes:
    """Return a key for blake2b, which takes at most 64 bytes, from any secret."""
    if not secret:
        raise EmptySecretError
    return hashlib.blake2b(secret, digest_size=_DIGEST_BYTES).digest()


def encode_fields(*fields: bytes) -> bytes:
    """Return an encoding of `fields` that no other sequence of fields has."""
    parts = [len(fields).to_bytes(_LENGTH_BYTES, "little")]
    for field in fields:
        parts.append(len(field).to_bytes(_LENGTH_BYTES, "little"))
        parts.append(field)
    return b"".join(parts)


def chain(
    secret: bytes,
    account: ids.AccountName,
    deployment: ids.DeploymentName,
    weight_version: ids.WeightVersion,
    adapter: ids.AdapterName,
    engine_format: str,
    tokenizer: tokenizers.Tokenizer,
    prompt: bytes,
) -> tuple[ids.BlockKey, ...]:
    """Return the key of each whole block of `prompt`.

    Parameters
    ----------
    secret : bytes
        Secret of the fleet, of any length above zero.
    engine_format : str
        Layout of the engine's payloads; another layout makes other keys.
    prompt : bytes
        The prompt in UTF-8.

    Returns
    -------
    tuple of BlockKey
        One key for each whole block; equal prefixes give equal keys.
    """
    key = derive_key(secret)
    names = (account, deployment, weight_version, adapter, engine_format)
    context = encode_fields(*(name.encode() for name in (*names, tokenizer.name)))
    root = hashlib.blake2b(
        context, digest_size=KEY_BYTES, key=key, person=_ROOT_PURPOSE
    ).digest()
    ends = tokenizer.block_ends(prompt)
    return tuple(_chain_blocks(key, root, memoryview(prompt), ends))


def _chain_blocks(
    key: bytes, previous: bytes, prompt: memoryview, ends: Sequence[int]
) -> Iterator[ids.BlockKey]:
    start = 0
    for end in ends:
        block_hash = hashlib.blake2b(
            previous, digest_size=KEY_BYTES, key=key, person=_BLOCK_PURPOSE
        )
        block_hash.update(prompt[start:end])
        previous = block_hash.digest()
        start = end
        yield ids.BlockKey(previous.hex())


def cache_salt(secret: bytes, account: ids.AccountName) -> str:
    """Return the salt (hex) that separates `account` in the engines' caches."""
    return hashlib.blake2b(
        account.encode(),
        digest_size=KEY_BYTES,
        key=derive_key(secret),
        person=_SALT_PURPOSE,
    ).hexdigest()


def engine_name(root: ids.BlockKey, key: ids.BlockKey) -> ids.BlockKey:
    """Return the name of a block in an engine's cache: its root, then its key.

    The root lets an agent tell the directory shard of any key that an engine
    reports, also after the agent has been replaced.
    """
    return ids.BlockKey(root + key)


def engine_names(keys: Sequence[ids.BlockKey]) -> tuple[ids.BlockKey, ...]:
    """Return the names of the blocks of one chain in an engine's cache."""
    return tuple(engine_name(keys[0], key) for key in keys)


def split_engine_name(
    name: ids.BlockKey,
) -> tuple[ids.BlockKey, ids.BlockKey] | None:
    """Return root and key of a block in an engine's cache, None for other names."""
    if len(name) != 4 * KEY_BYTES:
        return None
    return ids.BlockKey(name[: 2 * KEY_BYTES]), ids.BlockKey(name[2 * KEY_BYTES :])
