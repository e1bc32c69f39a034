"""Writes the answer of an engine run to a stream as its tokens arrive."""

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
    """Formats and writes the answer of one run and records its token times.

    Attributes
    ----------
    started_ms, first_token_ms, last_token_ms : int
        Monotonic times of the run's start and of its tokens; the token times are 0
        before the first call of `record_token`.  The first token is the first one with
        text, if any.
    tokens : int
        Tokens with text that have arrived.
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

    def record_token(self, token: engine_messages.EngineToken) -> None:
        """Record one token; a streamed answer writes it at once."""
        self.last_token_ms = self._clock.now_ms()
        if self.tokens == 0:
            self.first_token_ms = self.last_token_ms
        if token.finish_reason:
            self._finish_reason = token.finish_reason
        if not token.text:
            return
        self.tokens += 1
        if self._work.streamed:
            self._writer.handle_body(self._events.token_event(token.text))
        else:
            self._texts.append(token.text)

    def finish(
        self,
        usage: engine_messages.EngineUsage,
        restored: block_mover.RestoreOutcome,
        queue_ms: int,
    ) -> None:
        """Write what remains of the answer (all of it if not streamed) and end it."""
        restored_tokens = min(
            restored.blocks * tokenizers.BLOCK_TOKENS, usage.cached_tokens
        )
        answer_usage = completion_format.Usage(
            prompt_tokens=usage.prompt_tokens,
            completion_tokens=self._work.resume_after + self.tokens,
            cached_tokens=usage.cached_tokens,
            restored_tokens=restored_tokens,
        )
        self._writer.handle_body(self._closing_bytes(answer_usage))
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

    def _closing_bytes(self, answer_usage: completion_format.Usage) -> bytes:
        if self._work.streamed:
            shown_usage = answer_usage if self._work.include_usage else None
            return self._events.closing_events(self._finish_reason, shown_usage)
        return completion_format.complete_answer(
            self._order.request_id,
            self._work,
            self._created_s,
            "".join(self._texts),
            self._finish_reason,
            answer_usage,
        )
