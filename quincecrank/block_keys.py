"""Keys of KV blocks.

A block's key is a keyed hash over everything that its content depends on: client
account, deployment, weight version, adapter, engine format, tokenizer and all
tokens up to its end.  Without the secret a key can neither be computed nor guessed,
so that no client account can name a block of another.
"""

import hashlib
from collections.abc import Iterator, Sequence
from typing import Final

from quincecrank import ids, tokenizers

KEY_BYTES: Final = 16
"""Length of a block key before hex encoding."""

_DIGEST_BYTES: Final = 32
_LENGTH_BYTES: Final = 8
_ROOT_PURPOSE: Final = b"quince.root"
_BLOCK_PURPOSE: Final = b"quince.block"
_SALT_PURPOSE: Final = b"quince.salt"


class EmptySecretError(ValueError):
    """The secret is empty, so that anyone could compute keys."""


def derive_key(secret: bytes) -> bytes:
    """Derive a blake2b key from a secret of any length above zero.

    blake2b accepts keys of at most 64 bytes.

    Raises
    ------
    EmptySecretError
        If the secret is empty.
    """
    if not secret:
        raise EmptySecretError
    return hashlib.blake2b(secret, digest_size=_DIGEST_BYTES).digest()


def encode_fields(*fields: bytes) -> bytes:
    """Return an injective encoding of `fields`.

    Each field is preceded by its length, so that no two sequences encode alike.
    """
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
    """Return the key of each complete block of `prompt`.

    Parameters
    ----------
    secret : bytes
        Secret of the fleet, of any length above zero.
    engine_format : str
        Layout of the engine's payloads; another layout gives other keys.
    prompt : bytes
        The prompt in UTF-8.

    Returns
    -------
    tuple of BlockKey
        One key for each complete block; equal prefixes give equal keys.

    Raises
    ------
    EmptySecretError
        If the secret is empty.
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
    """Return the salt (hex) that isolates `account` in the engines' caches."""
    return hashlib.blake2b(
        account.encode(),
        digest_size=KEY_BYTES,
        key=derive_key(secret),
        person=_SALT_PURPOSE,
    ).hexdigest()


def engine_name(root: ids.BlockKey, key: ids.BlockKey) -> ids.BlockKey:
    """Return the name of a block in an engine's cache: its root, then its key.

    The root lets an agent find the directory shard of any key that an engine reports,
    even after the agent has been replaced.
    """
    return ids.BlockKey(root + key)


def engine_names(keys: Sequence[ids.BlockKey]) -> tuple[ids.BlockKey, ...]:
    """Return the names of the blocks of one chain in an engine's cache."""
    return tuple(engine_name(keys[0], key) for key in keys)


def split_engine_name(
    name: ids.BlockKey,
) -> tuple[ids.BlockKey, ids.BlockKey] | None:
    """Return root and key of a block name, None for a name of another form."""
    if len(name) != 4 * KEY_BYTES:
        return None
    return ids.BlockKey(name[: 2 * KEY_BYTES]), ids.BlockKey(name[2 * KEY_BYTES :])
