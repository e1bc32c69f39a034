"""The least that any policy could need for a trace, worked out from the trace.

Each request is taken alone, with idle engines and links and with every block of an
earlier request held.  Two bounds differ in where the blocks are held: in the memory
of the engine that runs the request, which no policy can beat, and in the memory
tier of a store VM, which is what a prompt meets that returns after its eviction.
"""

import dataclasses
from typing import Final

from bench import trace
from quincecrank import tokenizers

_TOKENIZER: Final = tokenizers.Utf8GroupTokenizer()
_MS_PER_SECOND: Final = 1000


@dataclasses.dataclass(frozen=True)
class Speeds:
    """Speeds that a bound assumes.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Speed at which an idle engine computes a prompt.
    link_bytes_per_second : float
        Link of the fastest tier of one store VM.
    block_bytes : int
        Size of one stored block.
    """

    prefill_tokens_per_second: float
    link_bytes_per_second: float
    block_bytes: int

    def compute_ms(self, tokens: int) -> float:
        """Return the time to compute `tokens`."""
        return tokens * _MS_PER_SECOND / self.prefill_tokens_per_second

    def restore_ms(self, blocks: int) -> float:
        """Return the time to move `blocks` over one idle link."""
        moved = blocks * self.block_bytes
        return moved * _MS_PER_SECOND / self.link_bytes_per_second


@dataclasses.dataclass(frozen=True)
class RequestBound:
    """Least work and time of one request.

    Attributes
    ----------
    held_ms, restored_ms : float
        Time to first token with the blocks in the engine's memory, and with the
        blocks in the memory tier.
    """

    number: int
    prompt_tokens: int
    recomputed_tokens: int
    held_ms: float
    restored_ms: float


def bounds(traced: trace.Trace, speeds: Speeds) -> tuple[RequestBound, ...]:
    """Return the bound of each measured request."""
    known_blocks: dict[trace.Context, int] = {}
    found = []
    for request in (*traced.warm_up, *traced.measured):
        context = request.context
        prompt_tokens = _TOKENIZER.count(request.prompt().encode())
        # Prompts of one context have its whole blocks in common and no more.
        shared = context.tokens // tokenizers.BLOCK_TOKENS
        blocks = known_blocks.get(context, 0)
        known_blocks[context] = shared
        if not request.warm_up:
            found.append(_bound(request.number, prompt_tokens, blocks, speeds))
    return tuple(found)


def _bound(
    number: int, prompt_tokens: int, blocks: int, speeds: Speeds
) -> RequestBound:
    recomputed = prompt_tokens - blocks * tokenizers.BLOCK_TOKENS
    compute_ms = speeds.compute_ms(recomputed)
    block_ms = speeds.compute_ms(tokenizers.BLOCK_TOKENS)
    restore_ms = min(speeds.restore_ms(blocks), blocks * block_ms)
    return RequestBound(
        number, prompt_tokens, recomputed, compute_ms, compute_ms + restore_ms
    )


def recomputed_share(found: tuple[RequestBound, ...]) -> float:
    """Return the least share of prompt work that has to be computed."""
    prompt_tokens = sum(bound.prompt_tokens for bound in found)
    return sum(bound.recomputed_tokens for bound in found) / max(1, prompt_tokens)
