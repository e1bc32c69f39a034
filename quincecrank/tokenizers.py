"""Tokenizers: how prompt bytes are counted and cut into KV blocks.

Terms
-----
token
    Smallest unit of a prompt that an engine bills and computes.
block
    `BLOCK_TOKENS` consecutive tokens; engines cache whole blocks only.
"""

import types
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

BLOCK_TOKENS: Final = 1024
"""Tokens of one KV block."""

_BYTES_PER_TOKEN: Final = 4


class Tokenizer(Protocol):
    """Counts tokens and finds the ends of whole blocks."""

    @property
    def name(self) -> str:
        """Name by which deployments refer to the tokenizer."""

    def count(self, prompt: bytes) -> int:
        """Return the number of tokens of `prompt`."""

    def block_count(self, prompt: bytes) -> int:
        """Return the number of whole blocks of `prompt`."""

    def block_ends(self, prompt: bytes) -> Sequence[int]:
        """Return the byte offset just after each whole block, ascending."""


class Utf8GroupTokenizer:
    """Groups of four bytes of the UTF-8 text, the last one possibly shorter."""

    name: Final = "utf8-4"

    def count(self, prompt: bytes) -> int:
        """Return the number of tokens of `prompt`."""
        return -(-len(prompt) // _BYTES_PER_TOKEN)

    def block_count(self, prompt: bytes) -> int:
        """Return the number of whole blocks of `prompt`."""
        return len(prompt) // (BLOCK_TOKENS * _BYTES_PER_TOKEN)

    def block_ends(self, prompt: bytes) -> Sequence[int]:
        """Return the byte offset just after each whole block, ascending."""
        block_bytes = BLOCK_TOKENS * _BYTES_PER_TOKEN
        return range(block_bytes, len(prompt) + 1, block_bytes)


TOKENIZERS_BY_NAME: Final[Mapping[str, Tokenizer]] = types.MappingProxyType(
    {Utf8GroupTokenizer.name: Utf8GroupTokenizer()}
)
"""Tokenizers that a deployment may name."""
