"""Rendezvous hashing: every process computes the same ranking of names for a key.

Adding or removing a name moves only the keys that are assigned to that name.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import Final, TypeVar

Name = TypeVar("Name", bound=str)

_WEIGHT_BYTES: Final = 8

MAX_CACHED_WEIGHTS: Final = 4_096
"""Most weights that are cached: those of some dozens of keys at some fifty names, which
are ranked again and again."""


@functools.lru_cache(MAX_CACHED_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`, a uniform hash of 64 bits."""
    # Any text has a weight, since names may come from other programs.
    encoded = f"{len(key)}:{key}{name}".encode(errors="surrogatepass")
    return int.from_bytes(
        hashlib.blake2b(encoded, digest_size=_WEIGHT_BYTES).digest(), "little"
    )


def ranked(key: str, names: Iterable[Name], count: int) -> tuple[Name, ...]:
    """Return the `count` names with the highest weight for `key`, highest first."""
    ordered = sorted(names, key=lambda name: (weight(key, name), name), reverse=True)
    return tuple(ordered[:count])
