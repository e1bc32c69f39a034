"""Counts of backend server crashes by request, shared between processes.

All requests that run at a backend server when it crashes are suspects.  The count
of a request is the number of crashes during which it or an equal request was running;
several equal requests at one crash count once.  A suspect that later completes is
cleared: its earlier crashes no longer count.  Entries run at most one suspect at a
time on a backend server, so that a second crash identifies the request that caused
it.

Crashes and clearances are recorded by attempt id, so that processes may exchange the
records in any order and any number of times.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Final

from quincecrank import ids

CRASH_LIMIT: Final = 2
"""Number of crashes after which a request is rejected."""

EXPIRY_MS: Final = 3_600_000
"""Time after which a crash no longer counts."""

SAME_CRASH_MS: Final = 2_000
"""Records of one backend server within this time count as one crash."""

MAX_REQUESTS: Final = 10_000
"""Maximum number of requests with records.

Those whose records were merged least recently are removed.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashKey:
    """Identity of equal requests of one client account."""

    account: ids.AccountName
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """One attempt that was running when its backend server crashed.

    Attributes
    ----------
    wall_ms : int
        Time of the crash, milliseconds since the epoch.
    cleared : bool
        Whether an equal request has completed since.
    server : BackendServerName
        Backend server that crashed; if it is empty, each attempt counts as a crash.
    """

    request: CrashKey
    attempt_id: ids.AttemptId
    wall_ms: int
    cleared: bool = False
    server: ids.BackendServerName = ids.BackendServerName("")


class CrashCounts:
    """Tracks the crash records that one process has."""

    def __init__(self) -> None:
        self._records_by_request: collections.OrderedDict[
            CrashKey, dict[ids.AttemptId, CrashRecord]
        ] = collections.OrderedDict()

    def merge(self, records: Iterable[CrashRecord]) -> bool:
        """Add records of any process; return whether anything changed."""
        changed = False
        for record in records:
            records_by_attempt = self._records_by_request.setdefault(record.request, {})
            self._records_by_request.move_to_end(record.request)
            previous = records_by_attempt.get(record.attempt_id)
            if previous is None or (record.cleared and not previous.cleared):
                records_by_attempt[record.attempt_id] = record
                changed = True
        while len(self._records_by_request) > MAX_REQUESTS:
            self._records_by_request.popitem(last=False)
        return changed

    def count(self, request: CrashKey, wall_ms: int) -> int:
        """Return the crashes that count against `request`."""
        records_by_attempt = self._records_by_request.get(request, {})
        counted = [
            record
            for record in records_by_attempt.values()
            if not record.cleared and wall_ms - record.wall_ms < EXPIRY_MS
        ]
        return _count_crashes(counted)

    def rejects(self, request: CrashKey, wall_ms: int) -> bool:
        """Return whether `request` must be rejected because of its crashes."""
        return self.count(request, wall_ms) >= CRASH_LIMIT

    def records_of(self, request: CrashKey) -> tuple[CrashRecord, ...]:
        """Return the records of one request."""
        return tuple(self._records_by_request.get(request, {}).values())

    def clear(self, request: CrashKey) -> tuple[CrashRecord, ...]:
        """Clear a request that completed; return the records to send to others."""
        records_by_attempt = self._records_by_request.get(request, {})
        cleared = tuple(
            dataclasses.replace(record, cleared=True)
            for record in records_by_attempt.values()
            if not record.cleared
        )
        self.merge(cleared)
        return cleared

    def remove_expired(self, wall_ms: int) -> tuple[CrashRecord, ...]:
        """Remove the expired records and return all others."""
        for request, records_by_attempt in tuple(self._records_by_request.items()):
            for attempt_id, record in tuple(records_by_attempt.items()):
                if wall_ms - record.wall_ms >= EXPIRY_MS:
                    del records_by_attempt[attempt_id]
            if not records_by_attempt:
                del self._records_by_request[request]
        return tuple(
            record
            for records_by_attempt in self._records_by_request.values()
            for record in records_by_attempt.values()
        )


def _count_crashes(records: Iterable[CrashRecord]) -> int:
    """Return the number of crashes that the records amount to."""
    count = 0
    last_ms_by_server: dict[ids.BackendServerName, int] = {}
    for record in sorted(records, key=lambda each: each.wall_ms):
        last_ms = last_ms_by_server.get(record.server) if record.server else None
        if last_ms is None or record.wall_ms - last_ms > SAME_CRASH_MS:
            last_ms_by_server[record.server] = record.wall_ms
            count += 1
    return count
