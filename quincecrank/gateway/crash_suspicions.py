"""Detects requests that crash the backend servers which run them.

Load pattern: one request crashes every server that runs it, and its caller sends it
again and again.  A broken answer alone is no crash, as connections are reset for other
reasons.  So a broken answer is recorded as a suspicion.  It counts as a crash of the
request only once its server has restarted, has left or can't be reached.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from quincecrank import crash_counts, ids
from quincecrank.gateway import servers

CONFIRMATION_TIMEOUT_MS: Final = 4_000
"""Time within which a crash must be confirmed: a server renews its entry about every
second, and the entry is missing after three."""

CRASH_LIMIT: Final = 3
"""Crashes from which a request is rejected.  Two may be coincidence, as other requests
run beside the one that crashes a server."""

PUBLISH_MS: Final = 3_000
"""Time for which a crash is published to the peers, since datagrams get lost."""

MAX_PUBLISHED: Final = 6
"""Bound of the crash records in one datagram, the newest ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request whose answer broke off.

    Attributes
    ----------
    started_wall_ms : int
        Start time of the server, which identifies its incarnation.
    at_ms : int
        Time at which the answer broke off.
    """

    record: crash_counts.CrashRecord
    server_id: servers.ServerId
    started_wall_ms: int
    at_ms: int


class CrashSuspicions:
    """Suspicions of one gateway, and the crashes recorded by all gateways.

    Parameters
    ----------
    has_ended : callable
        Returns whether the server incarnation of a suspicion has ended.
    """

    def __init__(self, has_ended: Callable[[Suspicion], bool]) -> None:
        self._has_ended = has_ended
        self._suspicions: list[Suspicion] = []
        self._counts = crash_counts.CrashCounts()
        self._to_publish: list[tuple[int, crash_counts.CrashRecord]] = []

    def rejects(self, request: crash_counts.CrashKey, now_ms: int) -> bool:
        """Return whether a request has crashed `CRASH_LIMIT` servers or more.

        A crash of one incarnation counts once, however many gateways report it.
        """
        # `merge` has set `wall_ms` to the time on this gateway's own clock.  A record
        # without a server counts by its attempt.
        crashed = {
            record.server or record.attempt_id
            for record in self._counts.records_of(request)
            if not record.cleared and now_ms - record.wall_ms < crash_counts.EXPIRY_MS
        }
        return len(crashed) >= CRASH_LIMIT

    def record_broken_answer(
        self,
        request: crash_counts.CrashKey,
        attempt_id: ids.AttemptId,
        server: servers.ServerEntry,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Record that the answer to a request broke off."""
        record = crash_counts.CrashRecord(
            request,
            attempt_id,
            wall_ms,
            server=ids.BackendServerName(
                f"{server.server_id}/{server.started_wall_ms}"
            ),
        )
        self._suspicions.append(
            Suspicion(record, server.server_id, server.started_wall_ms, now_ms)
        )

    def record_success(self, request: crash_counts.CrashKey, now_ms: int) -> None:
        """Clear the crashes of a request that a server has answered completely."""
        for record in self._counts.clear(request):
            self._to_publish.append((now_ms, record))

    def confirm_crashes(self, now_ms: int) -> tuple[crash_counts.CrashRecord, ...]:
        """Return the records of the suspicions that are crashes, and count them.

        Discards suspicions that were not confirmed within `CONFIRMATION_TIMEOUT_MS`.
        """
        confirmed = [each for each in self._suspicions if self._has_ended(each)]
        self._suspicions = [
            each
            for each in self._suspicions
            if each not in confirmed and now_ms - each.at_ms < CONFIRMATION_TIMEOUT_MS
        ]
        records = tuple(each.record for each in confirmed)
        self.merge(records, now_ms)
        self._to_publish += [(now_ms, record) for record in records]
        return records

    def merge(self, records: tuple[crash_counts.CrashRecord, ...], now_ms: int) -> None:
        """Count crashes, found here or published by a peer.

        They are stored with `now_ms` on this gateway's clock, as the wall clock differs
        between VMs and may jump.
        """
        self._counts.merge(
            dataclasses.replace(record, wall_ms=now_ms) for record in records
        )

    def to_publish(self, now_ms: int) -> tuple[crash_counts.CrashRecord, ...]:
        """Return the newest crash records to publish to the peers."""
        self._to_publish = [
            each for each in self._to_publish if now_ms - each[0] < PUBLISH_MS
        ]
        return tuple(record for _, record in self._to_publish[-MAX_PUBLISHED:])
