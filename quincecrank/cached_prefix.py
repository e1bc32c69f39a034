"""Prevents the restore of missing blocks from evicting cached ones of the prompt."""

import contextlib
from typing import Final

from quincecrank import (
    block_keys,
    engine_client,
    engine_messages,
    ids,
    stream_messages,
    tokenizers,
)

_TOUCH_PRIORITY: Final = -1_000
"""Below the priority of all callers' requests; higher priorities run first."""

_UTF8_MASK: Final = 0xC0
_UTF8_CONTINUATION: Final = 0x80


async def touch_cached_prefix(
    engine: engine_client.EngineClient,
    order: stream_messages.StreamOrder,
    work: stream_messages.Completion,
) -> None:
    """Make the cached head of a prompt the engine's most recently used blocks.

    If only the head is cached, it is the next to be evicted, so that restoring the
    other blocks would evict it.  A run of the head alone, for one token, counts as a
    use.  Nothing runs if no block before the first restored one is cached; errors of
    the engine are ignored.
    """
    cached_count = min((copy.index for copy in work.blocks_to_restore), default=0)
    if not cached_count:
        return
    keys = work.block_keys[:cached_count]
    request = engine_messages.EngineRequest(
        request_id=ids.RequestId(f"{order.attempt_id}-touch"),
        model=work.model,
        prompt=_leading_blocks(work.prompt, cached_count),
        max_tokens=1,
        priority=_TOUCH_PRIORITY,
        cache_salt=work.cache_salt,
        weight_version=work.weight_version,
        adapter=work.adapter,
        block_keys=block_keys.engine_names(keys),
    )
    with contextlib.suppress(engine_messages.EngineError):
        await engine.complete(request, lambda token: None)


def _leading_blocks(prompt: bytes, count: int) -> str:
    """Return the first `count` blocks of a prompt, up to the end of a character."""
    end = tokenizers.Utf8GroupTokenizer().block_ends(prompt)[count - 1]
    while end < len(prompt) and prompt[end] & _UTF8_MASK == _UTF8_CONTINUATION:
        end += 1
    return prompt[:end].decode()
