"""The completion call of the stand-in engine: one streamed answer per request."""

import asyncio
import json
import random
from typing import Any, Final

import pydantic
from tornado import httputil, web

from standins import answers, engine_runtime, engine_sequence

MAX_TOKENS: Final = 65_536


class CompletionBody(pydantic.BaseModel):
    """Body of a completion request."""

    model_config = pydantic.ConfigDict(extra="forbid")

    model: str
    prompt: str
    stream: bool = True
    max_tokens: int = pydantic.Field(default=16, ge=1, le=MAX_TOKENS)
    priority: int = 0
    cache_salt: str = ""
    request_id: str = ""
    adapter: str = ""
    weight_version: str = ""
    block_keys: tuple[str, ...] = ()
    resume_after: int = pydantic.Field(default=0, ge=0)
    temperature: float = pydantic.Field(default=0.0, ge=0)
    top_p: float = pydantic.Field(default=1.0, gt=0, le=1)
    seed: int | None = None
    stop: tuple[str, ...] = ()

    def sampling(self) -> answers.Sampling:
        """Return the sampling options, with a random seed unless one is given."""
        seed = random.getrandbits(31) if self.seed is None else self.seed
        return answers.Sampling(self.temperature, self.top_p, seed, self.stop)


class EngineHandler(web.RequestHandler):
    """Base of the engine's handlers; answers are JSON."""

    def initialize(self, engine: engine_runtime.Engine) -> None:
        """Receive the engine from the routing rule and start it if needed."""
        self.engine = engine
        engine.start()

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.finish(body)

    def refuse(self, status: int, message: str) -> None:
        """Send an error answer in the format of the OpenAI API."""
        self.answer(status, {"error": {"message": message, "code": status}})


class CompletionsHandler(EngineHandler):
    """`POST /v1/completions`: streams one answer.

    The HTTP headers are sent with the first token.
    """

    sequence: engine_sequence.Sequence | None = None

    async def post(self) -> None:
        """Validate and queue the request, and wait until its answer ends."""
        try:
            body = CompletionBody.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(400, str(error))
            return
        if not body.stream:
            self.refuse(400, "only streamed answers are supported")
            return
        conflict = self._version_conflict(body)
        if conflict:
            self.refuse(409, conflict)
            return
        await self._run(body)

    def _version_conflict(self, body: CompletionBody) -> str:
        loaded = self.engine.scheduler.weight_version
        if body.weight_version not in ("", loaded):
            return f"weight version {body.weight_version} is not loaded but {loaded}"
        if body.adapter and body.adapter not in self.engine.orders.adapters:
            return f"adapter {body.adapter} is not loaded"
        return ""

    async def _run(self, body: CompletionBody) -> None:
        self._ended = asyncio.Event()
        version = self.engine.scheduler.weight_version
        self._prepare_events(body, version)
        request = engine_sequence.SequenceRequest(
            request_id=body.request_id,
            prompt=body.prompt,
            context=answers.Context(body.cache_salt, version, body.adapter),
            max_tokens=body.max_tokens,
            priority=body.priority,
            block_keys=body.block_keys,
            resume_after=body.resume_after,
            sampling=body.sampling(),
        )
        self.sequence = self.engine.scheduler.submit(request, self)
        if self.sequence is None:
            self.set_header("Retry-After", "1")
            self.refuse(429, "the queue is full")
            return
        await self._ended.wait()

    def _prepare_events(self, body: CompletionBody, version: str) -> None:
        self._event_fields: dict[str, Any] = {
            "id": body.request_id,
            "object": "text_completion",
            "model": body.model,
            "system_fingerprint": version,
        }
        opening = json.dumps(self._event_fields)[:-1]
        self._event_opening = f'data: {opening}, "choices": [{{"index": 0, "text": '
        self._headers_sent = False

    def _token_event(self, text: str, finish_reason: str) -> str:
        # Answer tokens are ASCII letters and spaces, so no JSON escapes are needed.
        return (
            f'{self._event_opening}"{text}", "finish_reason": {finish_reason}}}]}}\n\n'
        )

    def token(self, text: str) -> None:
        """Send one token as an event."""
        self._send(self._token_event(text, "null"))

    def finished(
        self,
        text: str,
        reason: engine_sequence.FinishReason,
        usage: engine_sequence.Usage,
    ) -> None:
        """Send the last token, the token counts and the end of the stream."""
        counts = {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
        }
        closing = json.dumps({**self._event_fields, "choices": [], "usage": counts})
        last = self._token_event(text, json.dumps(reason.value))
        self._send(f"{last}data: {closing}\n\ndata: [DONE]\n\n")
        if not self._connection_lost():
            self.finish()
        self._ended.set()

    def weights_changed(self) -> None:
        """Refuse the request, whose weights were replaced while it was queued."""
        self.refuse(409, "the weight version changed before the request started")
        self._ended.set()

    def _send(self, text: str) -> None:
        connection = self.request.connection
        assert connection is not None
        if self._headers_sent:
            connection.write(text.encode())
            return
        self._headers_sent = True
        self.set_header("Content-Type", "text/event-stream")
        stream_of(self.request).set_nodelay(True)
        self.write(text)
        self.flush()

    def _connection_lost(self) -> bool:
        return bool(stream_of(self.request).closed())

    def on_connection_close(self) -> None:
        """Cancel the sequence, as the caller has disconnected."""
        if self.sequence is not None and not self.sequence.done:
            self.engine.scheduler.remove(self.sequence)
            self._ended.set()


def stream_of(request: httputil.HTTPServerRequest) -> Any:
    """Return tornado's stream of a request's connection."""
    return request.connection.stream  # type: ignore[union-attr]
