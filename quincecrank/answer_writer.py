"""Writes one engine's answer to a stream as its tokens arrive."""

from quincecrank import (
    block_mover,
    completion_format,
    engine_messages,
    stream_messages,
    stream_writer,
    tokenizers,
)
from quincecrank import clock as clocks


class AnswerWriter:
    """The answer of one run: its tokens, its times and its end.

    Attributes
    ----------
    started_ms, first_token_ms, last_token_ms : int
        Instants of the run's start and of its tokens; 0 before there is one.
    tokens : int
        Tokens that have arrived.
    """

    def __init__(
        self,
        order: stream_messages.StreamOrder,
        work: stream_messages.Completion,
        writer: stream_writer.StreamWriter,
        clock: clocks.Clock,
    ) -> None:
        self._order = order
        self._work = work
        self._writer = writer
        self._clock = clock
        self._created_s = clock.wall_ms() // clocks.MS_PER_SECOND
        self._events = completion_format.EventFormat(
            order.request_id, work, self._created_s
        )
        self._finish_reason = "stop"
        self._texts: list[str] = []
        self.started_ms = clock.now_ms()
        self.first_token_ms = 0
        self.last_token_ms = 0
        self.tokens = 0

    def take_token(self, token: engine_messages.EngineToken) -> None:
        """Take one token; it is written at once when the caller streams."""
        self.last_token_ms = self._clock.now_ms()
        if self.tokens == 0:
            self.first_token_ms = self.last_token_ms
        if token.finish_reason:
            self._finish_reason = token.finish_reason
        if not token.text:
            return
        self.tokens += 1
        if self._work.streamed:
            self._writer.data(self._events.token(token.text))
        else:
            self._texts.append(token.text)

    def finish(
        self,
        usage: engine_messages.EngineUsage,
        restored: block_mover.RestoreOutcome,
        queue_ms: int,
    ) -> None:
        """Write the rest of the answer and end the stream."""
        restored_tokens = min(
            restored.blocks * tokenizers.BLOCK_TOKENS, usage.cached_tokens
        )
        counts = completion_format.Usage(
            prompt_tokens=usage.prompt_tokens,
            completion_tokens=self._work.resume_after + self.tokens,
            cached_tokens=usage.cached_tokens,
            restored_tokens=restored_tokens,
        )
        self._writer.data(self._last_bytes(counts))
        self._writer.end(
            stream_messages.StreamEnd(
                frames=0,
                prompt_tokens=usage.prompt_tokens,
                cached_tokens=usage.cached_tokens,
                restored_tokens=restored_tokens,
                completion_tokens=self.tokens,
                weight_version=usage.weight_version,
                queue_ms=queue_ms,
                restore_ms=restored.duration_ms,
                first_token_ms=self.first_token_ms - self.started_ms,
                link_bytes=restored.link_bytes,
            )
        )

    def _last_bytes(self, counts: completion_format.Usage) -> bytes:
        if self._work.streamed:
            shown = counts if self._work.include_usage else None
            return self._events.finish(self._finish_reason, shown)
        return completion_format.whole_answer(
            self._order.request_id,
            self._work,
            self._created_s,
            "".join(self._texts),
            self._finish_reason,
            counts,
        )
