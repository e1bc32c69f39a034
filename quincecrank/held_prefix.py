"""Keeps the part of a prefix that an engine holds from being evicted by a restore."""

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
"""Goes behind all callers' requests at the engine; higher numbers go first."""

_UTF8_MASK: Final = 0xC0
_UTF8_CONTINUATION: Final = 0x80


async def touch_held_prefix(
    engine: engine_client.EngineClient,
    order: stream_messages.StreamOrder,
    work: stream_messages.Completion,
) -> None:
    """Make the held blocks of a prompt the engine's most recently used ones.

    A prefix that is held in part is the next to be evicted, so that restoring
    the rest of it would evict what is held.  Running the held part alone, for
    one token, counts as its use.
    """
    held = min((copy.index for copy in work.restore), default=0)
    if not held:
        return
    keys = work.block_keys[:held]
    request = engine_messages.EngineRequest(
        request_id=ids.RequestId(f"{order.attempt_id}-touch"),
        model=work.model,
        prompt=_leading_blocks(work.prompt, held),
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
    """Return the first `count` blocks of a prompt, and the character they cut."""
    end = tokenizers.Utf8GroupTokenizer().block_ends(prompt)[count - 1]
    while end < len(prompt) and prompt[end] & _UTF8_MASK == _UTF8_CONTINUATION:
        end += 1
    return prompt[:end].decode()
