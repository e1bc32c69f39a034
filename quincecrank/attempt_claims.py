"""At-most-once execution: claims of non-idempotent requests in the platform's table.

An agent runs such a request only after its claim is confirmed.  A claim is a
conditional write of the request's record; if the reply to the write is lost, the
agent reads the record back.  An entry that abandons a request writes a cancelled
record under the same condition.  The first writer wins, so that an entry may answer
"not run" only if its own write was applied.

An attempt whose claim cannot be confirmed in time never runs.  The record of the claim
may exist nevertheless and would block repeats of the request, so the agent withdraws
the claim in the background.  Until the withdrawal is written, a repeat can run only at
the same agent process, which knows that the claim is withdrawn.
"""

import asyncio
import dataclasses
import enum
import random
from typing import Final

import structlog

from quincecrank import attempt_backlog, attempt_records, ids, platform_table
from quincecrank import clock as clocks

FIRST_RETRY_DELAY_MS: Final = 100
"""Delay before a failed write is first repeated; a random part of it is left out."""

MAX_RETRY_DELAY_MS: Final = 5000
"""Upper bound of the delay, which doubles with each failure."""

CANCEL_LIMIT_MS: Final = 500
"""Time limit of the cancellation, for which the caller of the request waits."""

_REQUESTS: Final = platform_table.TableName.REQUESTS
_MAX_REPLACEMENTS: Final = 5
"""Times that a claim replaces a cancelled or withdrawn record before it fails."""

_log = structlog.get_logger()


class ClaimVerdict(enum.Enum):
    """Whether an agent may run a request.

    Attributes
    ----------
    GRANTED
        The agent may run it, once.
    ALREADY
        The request already has a record, see `ClaimResult.stored`.
    FINGERPRINT_MISMATCH
        The idempotency key was used for another request.
    TABLE_OUT
        The table is unavailable and has not recorded the claim; not run.
    UNCONFIRMED
        The claim was not confirmed in time; this attempt will never run.
    """

    GRANTED = "granted"
    ALREADY = "already"
    FINGERPRINT_MISMATCH = "fingerprint-mismatch"
    TABLE_OUT = "table-out"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """What an attempt declares to claim its request.

    Attributes
    ----------
    attempt_id : AttemptId
        Unique id of one send of the request to one agent.
    remaining_ms : int
        Time left until the request's deadline.
    """

    identity: attempt_records.RequestIdentity
    attempt_id: ids.AttemptId
    remaining_ms: int


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """The result of a claim.

    `stored` is the current record; it is set if the verdict is GRANTED or ALREADY.
    """

    verdict: ClaimVerdict
    identity: attempt_records.RequestIdentity
    stored: attempt_records.StoredRecord | None = None


class AttemptClaims:
    """Claims of one agent process, and their outcomes and withdrawals.

    Parameters
    ----------
    table : PlatformTable
        The platform's table service.
    clock : Clock
        Clock of the deadlines and the delays.
    backend_server : BackendServerName
        Backend server that runs the requests.
    incarnation : Incarnation
        Incarnation of this agent process.
    """

    def __init__(
        self,
        table: platform_table.PlatformTable,
        clock: clocks.Clock,
        backend_server: ids.BackendServerName,
        incarnation: ids.Incarnation,
    ) -> None:
        self._table = table
        self._clock = clock
        self._backend_server = backend_server
        self._incarnation = incarnation
        self._backlog = attempt_backlog.Backlog(table)

    @property
    def pending(self) -> int:
        """Number of outcomes and withdrawals not yet written."""
        return len(self._backlog)

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Claim a request; the caller runs it only if the verdict is GRANTED.

        A granted claim must be ended by `record_outcome`, or by `withdraw` if the
        request was certainly not sent to the backend server.

        Raises
        ------
        pydantic.ValidationError
            If the stored record of the request is malformed.
        """
        deadline_at_ms = self._clock.now_ms() + request.remaining_ms
        started_record = self._started(request)
        try:
            async with asyncio.timeout(request.remaining_ms / clocks.MS_PER_SECOND):
                result = await self._try_claim(request, started_record)
        except platform_table.TableUnavailableError:
            return ClaimResult(ClaimVerdict.TABLE_OUT, request.identity)
        except (platform_table.OutcomeUnknownError, TimeoutError):
            self._backlog.add_withdrawal(request.identity, started_record)
            return ClaimResult(ClaimVerdict.UNCONFIRMED, request.identity)
        except asyncio.CancelledError:
            self._backlog.add_withdrawal(request.identity, started_record)
            raise
        if (
            result.verdict is ClaimVerdict.GRANTED
            and self._clock.now_ms() > deadline_at_ms
        ):
            self._backlog.add_withdrawal(request.identity, started_record)
            return ClaimResult(ClaimVerdict.UNCONFIRMED, request.identity)
        return result

    async def record_outcome(
        self, claim: ClaimResult, outcome: attempt_records.RecordedAnswer
    ) -> None:
        """Record the outcome of a granted claim, now or in the background.

        If the outcome cannot be retained until the table is available, the record
        stays in state started and readers conclude that the outcome is unknown.
        """
        assert claim.stored is not None
        self._backlog.add_outcome(claim.identity, claim.stored, outcome.bounded())
        await self._backlog.flush_claim(claim.stored.record.claim_id)

    async def withdraw(self, claim: ClaimResult) -> None:
        """Withdraw a granted claim whose request was certainly never sent."""
        assert claim.stored is not None
        self._backlog.add_withdrawal(claim.identity, claim.stored.record)
        await self._backlog.flush_claim(claim.stored.record.claim_id)

    async def flush(self) -> None:
        """Try once to write the pending outcomes and withdrawals; stop at a failure."""
        await self._backlog.flush()

    async def run(self) -> None:
        """Write pending outcomes and withdrawals until cancelled.

        Failed writes are repeated after exponentially growing random delays.
        """
        delay_ms = FIRST_RETRY_DELAY_MS
        while True:
            await self._backlog.wait_for_writes()
            await self._backlog.flush()
            if not self._backlog:
                delay_ms = FIRST_RETRY_DELAY_MS
                continue
            await self._clock.sleep(delay_ms * random.uniform(0.5, 1.0))
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)

    def _started(self, request: ClaimRequest) -> attempt_records.RequestRecord:
        """Return the record with which `request` claims, under a new claim id."""
        return attempt_records.RequestRecord(
            state=attempt_records.RequestState.STARTED,
            fingerprint=request.identity.fingerprint,
            attempt_id=request.attempt_id,
            claim_id=ids.random_id("c"),
            backend_server=self._backend_server,
            incarnation=self._incarnation,
            deadline_wall_ms=self._clock.wall_ms() + request.remaining_ms,
        )

    async def _try_claim(
        self, request: ClaimRequest, started_record: attempt_records.RequestRecord
    ) -> ClaimResult:
        identity = request.identity
        row = await platform_table.insert_confirmed(
            self._table, _REQUESTS, identity.row_key, started_record.model_dump_json()
        )
        for _ in range(_MAX_REPLACEMENTS):
            stored = attempt_records.parse_row(row)
            record = stored.record
            if record.claim_id == started_record.claim_id:
                return ClaimResult(ClaimVerdict.GRANTED, identity, stored)
            if record.fingerprint != identity.fingerprint:
                return ClaimResult(ClaimVerdict.FINGERPRINT_MISMATCH, identity)
            effective_record = self._after_withdrawal(record)
            if not effective_record.admits(request.attempt_id):
                return ClaimResult(ClaimVerdict.ALREADY, identity, stored)
            update = {"cancelled_attempts": effective_record.cancelled_attempts}
            row = await platform_table.replace_confirmed(
                self._table,
                _REQUESTS,
                identity.row_key,
                started_record.model_copy(update=update).model_dump_json(),
                stored.revision,
            )
        raise platform_table.OutcomeUnknownError(
            "the record kept changing; claim not confirmed"
        )

    def _after_withdrawal(
        self, record: attempt_records.RequestRecord
    ) -> attempt_records.RequestRecord:
        """Return the record as it will be after its pending withdrawal, if any."""
        if not self._backlog.is_withdrawn(record.claim_id):
            return record
        return record.with_cancelled(()) or record


class CancelVerdict(enum.Enum):
    """What an entry may answer for attempts that it abandoned.

    Attributes
    ----------
    NOT_RUN
        None of the attempts has run or ever will.
    FINISHED
        The request ran; `Cancellation.record` holds its outcome.
    FINGERPRINT_MISMATCH
        The idempotency key was used for another request; none of the attempts can run.
    UNKNOWN
        The request may have run or may still run.
    """

    NOT_RUN = "not-run"
    FINISHED = "finished"
    FINGERPRINT_MISMATCH = "fingerprint-mismatch"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Cancellation:
    """The result of `cancel`; `record` is the current one, if it is known."""

    verdict: CancelVerdict
    record: attempt_records.RequestRecord | None = None


async def cancel(
    table: platform_table.PlatformTable,
    identity: attempt_records.RequestIdentity,
    attempt_ids: tuple[ids.AttemptId, ...],
    time_limit_ms: int = CANCEL_LIMIT_MS,
) -> Cancellation:
    """Abandon a request: prevent its attempts from running if none has a claim.

    Parameters
    ----------
    attempt_ids : tuple of AttemptId
        Every attempt of this request that was sent to an agent.
    time_limit_ms : int
        If the table has not answered within this time, the verdict is UNKNOWN.

    Raises
    ------
    pydantic.ValidationError
        If the stored record of the request is malformed.
    """
    try:
        async with asyncio.timeout(time_limit_ms / clocks.MS_PER_SECOND):
            record = await attempt_backlog.cancel_attempts(table, identity, attempt_ids)
    except (
        platform_table.TableUnavailableError,
        platform_table.OutcomeUnknownError,
        TimeoutError,
    ):
        return Cancellation(CancelVerdict.UNKNOWN)
    if record.fingerprint != identity.fingerprint:
        return Cancellation(CancelVerdict.FINGERPRINT_MISMATCH)
    if record.state is attempt_records.RequestState.FINISHED:
        return Cancellation(CancelVerdict.FINISHED, record)
    if record.lists_cancelled(attempt_ids):
        return Cancellation(CancelVerdict.NOT_RUN, record)
    return Cancellation(CancelVerdict.UNKNOWN, record)


async def read_record(
    table: platform_table.PlatformTable, identity: attempt_records.RequestIdentity
) -> attempt_records.RequestRecord | None:
    """Return the record of a request, or None.

    Raises
    ------
    TableUnavailableError
        If the table is unavailable.
    pydantic.ValidationError
        If the stored record is malformed.
    """
    row = await table.read(_REQUESTS, identity.row_key)
    return None if row is None else attempt_records.parse_row(row).record
