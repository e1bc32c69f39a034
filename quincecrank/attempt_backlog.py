"""Writes to request records that are pending until the platform's table applies them.

There are two kinds: outcomes of requests that ran, and withdrawals of claims that
will never run.  The backlog is bounded.  A write that does not fit is dropped; its
record stays in state started, so that readers conclude that the outcome is unknown.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

import pydantic
import structlog

from quincecrank import attempt_records, ids, platform_table

MAX_PENDING_WRITES: Final = 4096
MAX_PENDING_BYTES: Final = 8 * 1024 * 1024

_REQUESTS: Final = platform_table.TableName.REQUESTS
_MAX_CANCEL_WRITES: Final = 5
"""Times that a cancellation replaces a changed record before it fails."""

_log = structlog.get_logger()

ClaimTest = Callable[[str], bool]
"""Returns whether a claim, given by its id, will never be run by this process."""


@dataclasses.dataclass(frozen=True)
class _OutcomeWrite:
    """Pending write of the outcome of a claim."""

    identity: attempt_records.RequestIdentity
    stored: attempt_records.StoredRecord
    outcome: attempt_records.RecordedAnswer

    @property
    def size(self) -> int:
        return len(self.outcome.body)

    async def write(
        self, table: platform_table.PlatformTable, is_withdrawn: ClaimTest
    ) -> None:
        finished = self.stored.record.with_outcome(self.outcome)
        row = await platform_table.replace_confirmed(
            table,
            _REQUESTS,
            self.identity.row_key,
            finished.model_dump_json(),
            self.stored.revision,
        )
        record = attempt_records.parse_row(row).record
        if record.claim_id != finished.claim_id:
            _log.error("request record was changed by another writer", record=record)


@dataclasses.dataclass(frozen=True)
class _WithdrawalWrite:
    """Pending write that cancels a claim which has not run and never will."""

    identity: attempt_records.RequestIdentity
    record: attempt_records.RequestRecord
    size: int = 0

    async def write(
        self, table: platform_table.PlatformTable, is_withdrawn: ClaimTest
    ) -> None:
        attempt_ids = (self.record.attempt_id,)
        await cancel_attempts(table, self.identity, attempt_ids, is_withdrawn)


class Backlog:
    """Pending writes of one agent process, at most one for each claim."""

    def __init__(self, table: platform_table.PlatformTable) -> None:
        self._table = table
        self._pending_by_claim: dict[str, _OutcomeWrite | _WithdrawalWrite] = {}
        self._pending_bytes = 0
        self._write_added = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of pending writes."""
        return len(self._pending_by_claim)

    def add_outcome(
        self,
        identity: attempt_records.RequestIdentity,
        stored: attempt_records.StoredRecord,
        outcome: attempt_records.RecordedAnswer,
    ) -> None:
        """Add the outcome of a claim, or drop it if the backlog is full."""
        self._add(stored.record.claim_id, _OutcomeWrite(identity, stored, outcome))

    def add_withdrawal(
        self,
        identity: attempt_records.RequestIdentity,
        record: attempt_records.RequestRecord,
    ) -> None:
        """Add the withdrawal of a claim that never runs; dropped if it does not fit."""
        self._add(record.claim_id, _WithdrawalWrite(identity, record))

    def is_withdrawn(self, claim_id: str) -> bool:
        """Return whether the withdrawal of this claim is pending."""
        return isinstance(self._pending_by_claim.get(claim_id), _WithdrawalWrite)

    async def wait_for_writes(self) -> None:
        """Return as soon as a write is pending."""
        while not self._pending_by_claim:
            self._write_added.clear()
            await self._write_added.wait()

    async def flush(self) -> None:
        """Try each pending write once; stop at the first that fails."""
        for claim_id in tuple(self._pending_by_claim):
            if not await self.flush_claim(claim_id):
                return

    async def flush_claim(self, claim_id: str) -> bool:
        """Try the pending write of one claim, if any.

        Returns False if it must be tried again.  A write to a malformed record is
        dropped.
        """
        pending = self._pending_by_claim.get(claim_id)
        if pending is None:
            return True
        try:
            await pending.write(self._table, self.is_withdrawn)
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            self._move_to_end(claim_id)
            return False
        except pydantic.ValidationError as error:
            _log.error("request record is malformed", error=str(error))
        self._remove(claim_id)
        return True

    def _add(self, claim_id: str, write: _OutcomeWrite | _WithdrawalWrite) -> None:
        is_full = len(self._pending_by_claim) >= MAX_PENDING_WRITES
        if is_full or self._pending_bytes + write.size > MAX_PENDING_BYTES:
            _log.warning("backlog of record writes is full, write dropped")
            return
        self._pending_by_claim[claim_id] = write
        self._pending_bytes += write.size
        self._write_added.set()

    def _remove(self, claim_id: str) -> None:
        removed = self._pending_by_claim.pop(claim_id, None)
        if removed is not None:
            self._pending_bytes -= removed.size

    def _move_to_end(self, claim_id: str) -> None:
        if claim_id in self._pending_by_claim:
            write = self._pending_by_claim.pop(claim_id)
            self._pending_by_claim[claim_id] = write


def _no_claim_withdrawn(claim_id: str) -> bool:
    return False


async def cancel_attempts(
    table: platform_table.PlatformTable,
    identity: attempt_records.RequestIdentity,
    attempt_ids: tuple[ids.AttemptId, ...],
    is_withdrawn: ClaimTest = _no_claim_withdrawn,
) -> attempt_records.RequestRecord:
    """Cancel attempts, unless the request has a claim, and return the current record.

    The returned record shows whether the attempts are listed as cancelled.

    Parameters
    ----------
    is_withdrawn : ClaimTest
        Names the withdrawn claims; these are cancelled, too.  A claim that is
        being withdrawn may have a delayed write in flight that replaces the row of an
        earlier withdrawn claim.  The withdrawal therefore replaces that row: the new
        revision makes the delayed write fail.

    Raises
    ------
    TableUnavailableError, OutcomeUnknownError
        If the record cannot be confirmed.
    """
    record = attempt_records.new_cancelled(identity, attempt_ids)
    row = await platform_table.insert_confirmed(
        table, _REQUESTS, identity.row_key, record.model_dump_json()
    )
    for _ in range(_MAX_CANCEL_WRITES):
        stored = attempt_records.parse_row(row)
        record = stored.record
        if record.fingerprint != identity.fingerprint:
            return record
        if record.lists_cancelled(attempt_ids) or not _is_free(record, is_withdrawn):
            return record
        cancelled = record.with_cancelled(attempt_ids)
        if cancelled is None:
            return record
        row = await platform_table.replace_confirmed(
            table,
            _REQUESTS,
            identity.row_key,
            cancelled.model_dump_json(),
            stored.revision,
        )
    raise platform_table.OutcomeUnknownError(
        "the record kept changing; cancellation not confirmed"
    )


def _is_free(record: attempt_records.RequestRecord, is_withdrawn: ClaimTest) -> bool:
    """Return whether the record has no claim or only a withdrawn one."""
    if record.state is attempt_records.RequestState.CANCELLED:
        return True
    is_started = record.state is attempt_records.RequestState.STARTED
    return is_started and is_withdrawn(record.claim_id)
