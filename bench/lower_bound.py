"""Lower bounds of the work and latency of any routing policy, computed from a trace.

Each request is considered alone, with idle engines and links and with every block of
earlier requests cached.  Two bounds of the time to first token differ in where the
blocks are cached: in the memory of the engine that runs the request, which no policy
can beat, and in the memory tier of a store VM, as for a prompt that returns after its
blocks were evicted from the engine.
"""

import dataclasses
from typing import Final

from bench import trace
from quincecrank import tokenizers

_TOKENIZER: Final = tokenizers.Utf8GroupTokenizer()
_MS_PER_SECOND: Final = 1000


@dataclasses.dataclass(frozen=True)
class Speeds:
    """Speeds that the bounds assume.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Speed at which an idle engine computes a prompt.
    link_bytes_per_second : float
        Speed of the link of one store VM's fastest tier.
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
        """Return the time to transfer `blocks` over one idle link."""
        transferred = blocks * self.block_bytes
        return transferred * _MS_PER_SECOND / self.link_bytes_per_second


@dataclasses.dataclass(frozen=True)
class RequestBound:
    """Lower bounds of one request's work and time to first token.

    Attributes
    ----------
    recomputed_tokens : int
        Prompt tokens outside the blocks of earlier requests.
    held_ms, restored_ms : float
        Time to first token with the cached blocks in the engine's memory, and with
        them in the memory tier; there they are restored or recomputed, whichever is
        faster.
    """

    number: int
    prompt_tokens: int
    recomputed_tokens: int
    held_ms: float
    restored_ms: float


def bounds(traced: trace.Trace, speeds: Speeds) -> tuple[RequestBound, ...]:
    """Return the bounds of each measured request, in the order of the trace."""
    blocks_by_context: dict[trace.Context, int] = {}
    request_bounds = []
    for request in (*traced.warm_up, *traced.measured):
        context = request.context
        prompt_tokens = _TOKENIZER.count(request.prompt().encode())
        # Prompts with one context share its complete blocks and no others.
        shared = context.tokens // tokenizers.BLOCK_TOKENS
        blocks = blocks_by_context.get(context, 0)
        blocks_by_context[context] = shared
        if not request.warm_up:
            request_bounds.append(_bound(request.number, prompt_tokens, blocks, speeds))
    return tuple(request_bounds)


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


def recomputed_share(request_bounds: tuple[RequestBound, ...]) -> float:
    """Return the fraction of all prompt tokens that has to be computed."""
    prompt_tokens = sum(bound.prompt_tokens for bound in request_bounds)
    return sum(bound.recomputed_tokens for bound in request_bounds) / max(
        1, prompt_tokens
    )
