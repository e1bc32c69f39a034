"""Runs calls on the plain service beside this agent.

A call with an idempotency key, on a route that is not declared idempotent, runs only
after its row in the platform table is confirmed.  A call without a key runs once
here and is never repeated by the system.
"""

import asyncio
import dataclasses
from typing import Final

from tornado import httputil

from quincecrank import (
    attempt_claims,
    attempt_records,
    http_caller,
    ids,
    logs,
    platform_table,
    problems,
    registration,
    stream_messages,
    stream_writer,
)
from quincecrank import backend as backends
from quincecrank import clock as clocks

HEALTH_INTERVAL_MS: Final = 500
RETRY_AFTER_FAILURE_MS: Final = 1_000
RETRY_AFTER_TABLE_MS: Final = 2_000
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
"""Largest answer body that is passed on."""

DATA_FRAME_BYTES: Final = 64 * 1024
ACCOUNT_HEADER: Final = "X-Client-Account"
REQUEST_HEADER: Final = "X-Request-Id"
KEY_HEADER: Final = "Idempotency-Key"
REPLAYED_HEADER: Final = "Idempotency-Replayed"

_HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        # Set by tornado's libcurl client.
        "x-http-reason",
    }
)

_LOG: Final = logs.logger("service-backend")


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A plain service's complete answer."""

    status: int
    headers: tuple[stream_messages.HeaderField, ...]
    body: bytes


class ServiceBackend:
    """Implementation of `backend.Backend` for a plain service.

    Parameters
    ----------
    timeout_ms : int
        Time limit of a call, regardless of its deadline.
    """

    def __init__(
        self,
        url: str,
        timeout_ms: int,
        claims: attempt_claims.AttemptClaims,
        table: platform_table.PlatformTable,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._attempts = claims
        self._caller = http_caller.HttpCaller(url, timeout_ms, clock)
        self._health_caller = http_caller.HttpCaller(url, HEALTH_INTERVAL_MS, clock)
        self._clock = clock
        self._load = backends.BackendLoad(healthy=False)

    def load(self) -> backends.BackendLoad:
        """Return the last observed state."""
        return self._load

    def set_target(
        self, version: ids.WeightVersion, adapters: tuple[ids.AdapterName, ...]
    ) -> None:
        """Do nothing: a plain service has no weights."""

    async def watch(self) -> None:
        """Poll the service's health until cancelled."""
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
            if order.idempotency_key and not order.idempotent:
                answer = await self._call_once(order, work)
            else:
                answer = await self._call(order, work)
        except problems.ProblemError as error:
            writer.refuse(error.problem)
            return
        if len(answer.body) > MAX_ANSWER_BYTES:
            kind = problems.ProblemKind.OUTCOME_UNKNOWN
            detail = f"the call ran; its answer exceeds {MAX_ANSWER_BYTES} bytes"
            writer.refuse(problems.Problem(kind, detail, problems.Ran.RAN))
            return
        send_answer(writer, answer, queue_ms)

    async def _call_once(
        self, order: stream_messages.StreamOrder, work: stream_messages.PlainCall
    ) -> ServiceAnswer:
        """Call the service unless an earlier attempt did, and record the outcome.

        The call and its record are completed even if the caller is cancelled.
        """
        identity = attempt_records.RequestIdentity(
            order.account, order.idempotency_key, order.fingerprint
        )
        request = attempt_claims.ClaimRequest(
            identity, order.attempt_id, order.remaining_ms
        )
        claim = await self._attempts.claim(request)
        if claim.verdict is not attempt_claims.ClaimVerdict.GRANTED:
            return await self._answer_without_run(claim)
        return await asyncio.shield(self._call_and_record(order, work, claim))

    async def _call_and_record(
        self,
        order: stream_messages.StreamOrder,
        work: stream_messages.PlainCall,
        claim: attempt_claims.ClaimResult,
    ) -> ServiceAnswer:
        try:
            answer = await self._call(order, work)
        except problems.ProblemError as error:
            if error.problem.ran is problems.Ran.NOT_RUN:
                await self._attempts.withdraw(claim)
            raise
        headers = tuple(
            attempt_records.Header(name=field.name, value=field.value)
            for field in answer.headers
        )
        outcome = attempt_records.RecordedAnswer(
            status=answer.status, headers=headers, body=answer.body
        )
        await self._attempts.record_outcome(claim, outcome)
        return answer

    async def _answer_without_run(
        self, claim: attempt_claims.ClaimResult
    ) -> ServiceAnswer:
        """Return the recorded answer of an earlier attempt.

        Raises
        ------
        ProblemError
            If there is none, or the call cannot be confirmed to run only once.
        """
        match claim.verdict:
            case attempt_claims.ClaimVerdict.FINGERPRINT_MISMATCH:
                kind = problems.ProblemKind.KEY_REUSED
                detail = "the idempotency key was used for another request"
                raise _problem_error(kind, detail, problems.Ran.NOT_RUN, 0)
            case (
                attempt_claims.ClaimVerdict.TABLE_OUT
                | attempt_claims.ClaimVerdict.UNCONFIRMED
            ):
                kind = problems.ProblemKind.TABLE_OUT
                detail = "the platform table cannot confirm that the call runs once"
                retry_ms = RETRY_AFTER_TABLE_MS
                raise _problem_error(kind, detail, problems.Ran.NOT_RUN, retry_ms)
        assert claim.stored is not None
        return await self._replay(claim.stored.record)

    async def _replay(self, record: attempt_records.RequestRecord) -> ServiceAnswer:
        incarnation = await self._registered_incarnation(record.backend_server)
        state = record.state_at(self._clock.wall_ms(), incarnation)
        if state is attempt_records.RequestState.FINISHED and record.outcome:
            outcome = record.outcome
            if not outcome.body_kept:
                kind = problems.ProblemKind.OUTCOME_UNKNOWN
                detail = "the call ran; its answer was too large to keep"
                raise _problem_error(kind, detail, problems.Ran.RAN, 0)
            headers = tuple(
                stream_messages.HeaderField(header.name, header.value)
                for header in outcome.headers
            )
            replayed = stream_messages.HeaderField(REPLAYED_HEADER, "true")
            return ServiceAnswer(outcome.status, (*headers, replayed), outcome.body)
        if state is attempt_records.RequestState.STARTED:
            kind = problems.ProblemKind.IN_PROGRESS
            detail = "an earlier attempt of the same request is still running"
            raise _problem_error(
                kind, detail, problems.Ran.UNKNOWN, RETRY_AFTER_FAILURE_MS
            )
        if state is attempt_records.RequestState.CANCELLED:
            kind = problems.ProblemKind.UNAVAILABLE
            detail = "this attempt was given up before it ran"
            raise _problem_error(
                kind, detail, problems.Ran.NOT_RUN, RETRY_AFTER_FAILURE_MS
            )
        kind = problems.ProblemKind.OUTCOME_UNKNOWN
        detail = "an earlier attempt was started and its outcome was not recorded"
        raise _problem_error(kind, detail, problems.Ran.UNKNOWN, 0)

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
            # A missing answer alone does not distinguish a crash of the service from
            # a broken connection.
            is_running = await self._is_healthy()
            kinds = problems.ProblemKind
            raise problems.ProblemError(
                problems.Problem(
                    kinds.BACKEND_FAILED if is_running else kinds.BACKEND_CRASHED,
                    f"the answer was lost: {error}",
                    problems.Ran.UNKNOWN,
                    RETRY_AFTER_FAILURE_MS,
                )
            ) from error
        headers = response_headers(response.headers)
        return ServiceAnswer(response.code, headers, response.body or b"")

    async def _registered_incarnation(
        self, server: ids.BackendServerName
    ) -> ids.Incarnation | None:
        """Return the registered agent incarnation of `server`, None if unknown."""
        try:
            registered = await registration.read_registration(self._table, server)
        except platform_table.TableUnavailableError:
            return None
        return None if registered is None else registered.incarnation

    async def _is_healthy(self) -> bool:
        try:
            response = await self._health_caller.call("GET", "/health")
        except (http_caller.NotSentError, http_caller.AnswerLostError):
            return False
        return response.code == 200


def _problem_error(
    kind: problems.ProblemKind, detail: str, ran: problems.Ran, retry_after_ms: int
) -> problems.ProblemError:
    return problems.ProblemError(problems.Problem(kind, detail, ran, retry_after_ms))


def send_answer(
    writer: stream_writer.StreamWriter, answer: ServiceAnswer, queue_ms: int
) -> None:
    """Write the answer's frames and end the stream."""
    writer.handle_head(answer.status, answer.headers)
    for start in range(0, len(answer.body), DATA_FRAME_BYTES):
        writer.handle_body(answer.body[start : start + DATA_FRAME_BYTES])
    writer.end(stream_messages.StreamEnd(frames=0, queue_ms=queue_ms))


def request_headers(
    order: stream_messages.StreamOrder, work: stream_messages.PlainCall
) -> dict[str, str]:
    """Return the caller's headers plus account, request id and idempotency key."""
    headers = {field.name: field.value for field in work.headers}
    headers[ACCOUNT_HEADER] = order.account
    headers[REQUEST_HEADER] = order.request_id
    if order.idempotency_key:
        headers[KEY_HEADER] = order.idempotency_key
    return headers


def response_headers(
    headers: httputil.HTTPHeaders,
) -> tuple[stream_messages.HeaderField, ...]:
    """Return the service's headers without hop-by-hop headers."""
    return tuple(
        stream_messages.HeaderField(name, value)
        for name, value in headers.get_all()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )
