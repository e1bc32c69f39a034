"""Tokenizers: they count the tokens of prompts and divide prompts into KV blocks.

Terms
-----
token
    Smallest unit of a prompt that an engine computes and counts for billing.
block
    `BLOCK_TOKENS` consecutive tokens; engines cache complete blocks only.
"""

import types
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

BLOCK_TOKENS: Final = 1024
"""Tokens of one KV block."""

_BYTES_PER_TOKEN: Final = 4


class Tokenizer(Protocol):
    """Counts tokens and finds the ends of complete blocks."""

    @property
    def name(self) -> str:
        """Name by which deployments refer to the tokenizer."""

    def count(self, prompt: bytes) -> int:
        """Return the number of tokens of `prompt`."""

    def block_count(self, prompt: bytes) -> int:
        """Return the number of complete blocks of `prompt`."""

    def block_ends(self, prompt: bytes) -> Sequence[int]:
        """Return the byte offset just after each complete block, ascending."""


class Utf8GroupTokenizer:
    """Counts four bytes of UTF-8 text as one token; the last token may be shorter."""

    name: Final = "utf8-4"

    def count(self, prompt: bytes) -> int:
        """Return the number of tokens of `prompt`."""
        return -(-len(prompt) // _BYTES_PER_TOKEN)

    def block_count(self, prompt: bytes) -> int:
        """Return the number of complete blocks of `prompt`."""
        return len(prompt) // (BLOCK_TOKENS * _BYTES_PER_TOKEN)

    def block_ends(self, prompt: bytes) -> Sequence[int]:
        """Return the byte offset just after each complete block, ascending."""
        block_bytes = BLOCK_TOKENS * _BYTES_PER_TOKEN
        return range(block_bytes, len(prompt) + 1, block_bytes)


TOKENIZERS_BY_NAME: Final[Mapping[str, Tokenizer]] = types.MappingProxyType(
    {Utf8GroupTokenizer.name: Utf8GroupTokenizer()}
)
"""Tokenizers that a deployment may use."""
