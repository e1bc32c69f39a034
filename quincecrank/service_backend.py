"""Runs calls on the plain service beside this agent.

A call with an idempotency key that its route does not declare idempotent runs only
after its row in the platform table is confirmed.  A call without a key runs once
here and is never repeated by the system.
"""

import dataclasses
from typing import Final

from tornado import httputil

from quincecrank import backend as backends
from quincecrank import clock as clocks
from quincecrank import (
    http_caller,
    ids,
    logs,
    problems,
    stream_messages,
    stream_writer,
)

HEALTH_INTERVAL_MS: Final = 500
RETRY_AFTER_FAILURE_MS: Final = 1_000
DATA_FRAME_BYTES: Final = 64 * 1024
ACCOUNT_HEADER: Final = "X-Client-Account"
REQUEST_HEADER: Final = "X-Request-Id"
KEY_HEADER: Final = "Idempotency-Key"

_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_LOG: Final = logs.logger("service-backend")


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A plain service's whole answer."""

    status: int
    headers: tuple[stream_messages.HeaderField, ...]
    body: bytes


class ServiceBackend:
    """Implementation of `backend.Backend` for a plain service.

    Parameters
    ----------
    timeout_ms : int
        Longest time that a call may take, whatever its deadline.
    """

    def __init__(self, url: str, timeout_ms: int, clock: clocks.Clock) -> None:
        self._caller = http_caller.HttpCaller(url, timeout_ms, clock)
        self._health_caller = http_caller.HttpCaller(url, HEALTH_INTERVAL_MS, clock)
        self._clock = clock
        self._load = backends.BackendLoad(healthy=False)

    def load(self) -> backends.BackendLoad:
        """Return the state as last seen."""
        return self._load

    def ordered_version(self, version: ids.WeightVersion) -> None:
        """Do nothing: a plain service has no weights."""

    async def watch(self) -> None:
        """Ask for the service's health until cancelled."""
        while True:
            healthy = await self._is_healthy()
            if healthy != self._load.healthy:
                _LOG.info("health changed", healthy=healthy)
            self._load = backends.BackendLoad(healthy=healthy)
            await self._clock.sleep(HEALTH_INTERVAL_MS)

    async def run(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        """Call the service and stream its answer."""
        work = order.work
        if not isinstance(work, stream_messages.PlainCall):
            detail = "a plain service takes no prompts"
            writer.refuse(problems.Problem(problems.ProblemKind.BAD_REQUEST, detail))
            return
        try:
            answer = await self._call(order, work)
        except problems.ProblemError as error:
            writer.refuse(error.problem)
            return
        send_answer(writer, answer, queue_ms)

    async def _call(
        self, order: stream_messages.StreamOrder, work: stream_messages.PlainCall
    ) -> ServiceAnswer:
        try:
            response = await self._caller.call(
                work.method,
                work.path,
                headers=request_headers(order, work),
                body=work.body if work.body or work.method in ("POST", "PUT") else None,
            )
        except http_caller.NotSentError as error:
            self._load = backends.BackendLoad(healthy=False)
            raise problems.ProblemError(
                problems.Problem(
                    problems.ProblemKind.BACKEND_FAILED,
                    f"the call could not be sent: {error}",
                    problems.Ran.NOT_RUN,
                    RETRY_AFTER_FAILURE_MS,
                )
            ) from error
        except http_caller.AnswerLostError as error:
            raise problems.ProblemError(
                problems.Problem(
                    problems.ProblemKind.BACKEND_CRASHED,
                    f"the answer was lost: {error}",
                    problems.Ran.UNKNOWN,
                    RETRY_AFTER_FAILURE_MS,
                )
            ) from error
        headers = response_headers(response.headers)
        return ServiceAnswer(response.code, headers, response.body or b"")

    async def _is_healthy(self) -> bool:
        try:
            response = await self._health_caller.call("GET", "/health")
        except (http_caller.NotSentError, http_caller.AnswerLostError):
            return False
        return response.code == 200


def send_answer(
    writer: stream_writer.StreamWriter, answer: ServiceAnswer, queue_ms: int
) -> None:
    """Write an answer's frames and end the stream."""
    writer.head(answer.status, answer.headers)
    for start in range(0, len(answer.body), DATA_FRAME_BYTES):
        writer.data(answer.body[start : start + DATA_FRAME_BYTES])
    writer.end(stream_messages.StreamEnd(frames=0, queue_ms=queue_ms))


def request_headers(
    order: stream_messages.StreamOrder, work: stream_messages.PlainCall
) -> dict[str, str]:
    """Return the headers for the service: the caller's and who is calling."""
    headers = {field.name: field.value for field in work.headers}
    headers[ACCOUNT_HEADER] = order.account
    headers[REQUEST_HEADER] = order.request_id
    if order.idempotency_key:
        headers[KEY_HEADER] = order.idempotency_key
    return headers


def response_headers(
    headers: httputil.HTTPHeaders,
) -> tuple[stream_messages.HeaderField, ...]:
    """Return the service's headers but for those of the connection."""
    return tuple(
        stream_messages.HeaderField(name, value)
        for name, value in headers.get_all()
        if name.lower() not in _HOP_HEADERS
    )


