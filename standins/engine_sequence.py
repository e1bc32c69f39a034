"""One request inside the stand-in engine: prefill, decoding and its answer.

A sequence first computes the states of its prompt's blocks (prefill), reusing cached
ones; then it generates its answer, one token per step (decoding).  Module ``answers``
defines states and answers.
"""

import dataclasses
import enum
from typing import Protocol

from standins import answers, engine_cache


class FinishReason(enum.Enum):
    """Why an answer ended."""

    LENGTH = "length"
    STOP = "stop"
    ABORT = "abort"


@dataclasses.dataclass(frozen=True)
class Usage:
    """Token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class TokenSink(Protocol):
    """Receiver of a sequence's tokens."""

    def token(self, text: str) -> None:
        """Receive a token that is not the last one."""

    def finished(self, text: str, reason: FinishReason, usage: Usage) -> None:
        """Receive the last token; the text is empty after a cancellation."""

    def weights_changed(self) -> None:
        """Handle a change of weights before the sequence started; nothing follows."""


@dataclasses.dataclass(frozen=True)
class SequenceRequest:
    """One prompt to run.

    Attributes
    ----------
    priority : int
        Sequences with a lower number start first.
    block_keys : tuple of str
        Cache keys of the prompt's leading complete blocks.
    resume_after : int
        Index of the first answer token to send; the tokens before it are computed
        like prompt tokens.
    """

    request_id: str
    prompt: str
    context: answers.Context
    max_tokens: int
    priority: int = 0
    block_keys: tuple[str, ...] = ()
    resume_after: int = 0
    sampling: answers.Sampling = answers.GREEDY


class Sequence:
    """A request in the scheduler and its progress."""

    def __init__(self, request: SequenceRequest, sink: TokenSink, arrival: int) -> None:
        self.request = request
        self.sink = sink
        self.order = (request.priority, arrival)
        self.data = request.prompt.encode()
        self.prompt_tokens = answers.token_count(self.data)
        self.work_tokens = self.prompt_tokens + request.resume_after
        self.computed_tokens = 0
        self.cached_tokens = 0
        self.blocks: list[engine_cache.Block] = []
        self.done = False
        self._root = answers.root_state(request.context)
        self._states: list[bytes] = []
        self._complete_block_count = len(self.data) // answers.BLOCK_BYTES
        self._pending_tokens: list[str] | None = None
        self._generated = 0
        self._reason = FinishReason.LENGTH

    @property
    def decoding(self) -> bool:
        """Return whether the complete prompt has been computed."""
        return self._pending_tokens is not None

    @property
    def remaining_tokens(self) -> int:
        """Return the tokens left to compute; at least one until decoding.

        Even if all blocks are cached, the first token needs a step.
        """
        if self.decoding:
            return 0
        return max(1, self.work_tokens - self.computed_tokens)

    def reuse_cached_blocks(self, cache: engine_cache.PrefixCache) -> None:
        """Reuse the cached blocks that follow the last computed block.

        Has no effect while a block is partly computed.
        """
        while self.computed_tokens == len(self._states) * answers.BLOCK_TOKENS:
            key = self._next_block_key()
            block = cache.find(key) if key else None
            if block is None:
                return
            self._pin(block)
            self._states.append(block.state)
            self.computed_tokens += answers.BLOCK_TOKENS
            self.cached_tokens += answers.BLOCK_TOKENS

    def compute(self, tokens: int, cache: engine_cache.PrefixCache | None) -> None:
        """Compute prompt tokens; store completed blocks in `cache` if it is given."""
        self.computed_tokens += tokens
        while (
            len(self._states) < self._complete_block_count
            and (len(self._states) + 1) * answers.BLOCK_TOKENS <= self.computed_tokens
        ):
            self._compute_block(cache)
        if self.computed_tokens >= self.work_tokens:
            self._prepare_answer()

    def generate(self) -> None:
        """Send the next token to the sink."""
        assert self._pending_tokens is not None
        text = self._pending_tokens.pop() if self._pending_tokens else ""
        self._generated += 1 if text else 0
        if self._pending_tokens:
            self.sink.token(text)
        else:
            self._finish(text, self._reason)

    def abort(self) -> None:
        """End the answer early, with finish reason `abort`."""
        self._finish("", FinishReason.ABORT)

    def _finish(self, text: str, reason: FinishReason) -> None:
        self.done = True
        usage = Usage(self.prompt_tokens, self._generated, self.cached_tokens)
        self.sink.finished(text, reason, usage)

    def _next_block_key(self) -> str:
        index = len(self._states)
        if index >= self._complete_block_count or index >= len(self.request.block_keys):
            return ""
        return self.request.block_keys[index]

    def _compute_block(self, cache: engine_cache.PrefixCache | None) -> None:
        key = self._next_block_key()
        start = len(self._states) * answers.BLOCK_BYTES
        previous = self._states[-1] if self._states else self._root
        block = self.data[start : start + answers.BLOCK_BYTES]
        state = answers.block_state(previous, block)
        self._states.append(state)
        if cache is None or not key:
            return
        stored = cache.store(key, state)
        if stored is not None:
            self._pin(stored)

    def _pin(self, block: engine_cache.Block) -> None:
        block.pins += 1
        self.blocks.append(block)

    def _prepare_answer(self) -> None:
        request = self.request
        rest = self.data[self._complete_block_count * answers.BLOCK_BYTES :]
        tokens = answers.answer_tokens(
            self._root, self._states, rest, request.max_tokens, request.sampling
        )
        if len("".join(tokens)) < request.max_tokens * answers.TOKEN_BYTES:
            self._reason = FinishReason.STOP
        self._pending_tokens = tokens[request.resume_after :]
        # `pop` takes the next token from the end.
        self._pending_tokens.reverse()
