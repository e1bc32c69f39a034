"""Which requests were running when a backend server crashed.

Load pattern: one request crashes every server that runs it, and its caller sends it
again and again.  A broken answer alone is no crash: connections are reset for other
reasons.  So a request is a suspect until its server has restarted, has left or can't
be reached; only then the crash counts against it.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from quincecrank import crash_counts, ids
from quincecrank.gateway import servers

CONFIRM_MS: Final = 4_000
"""Time in which the crash must show: a server's entry is renewed within about a
second, and missing after three."""

CRASH_LIMIT: Final = 3
"""Crashes after which a request is refused.  Two may be chance, as requests of others
run beside the one that crashes a server."""

SHARE_MS: Final = 3_000
"""Time for which a crash is told to the peers, as datagrams get lost."""

MAX_SHARED: Final = 6
"""Crashes in one datagram."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request whose answer broke off.

    Attributes
    ----------
    started_wall_ms : int
        Incarnation of the server.
    """

    record: crash_counts.CrashRecord
    server_id: servers.ServerId
    started_wall_ms: int
    at_ms: int


class CrashSuspicions:
    """Aggregate of the suspects at this gateway, and of the crashes known to all.

    Parameters
    ----------
    has_crashed : callable
        Tells whether the incarnation of a server that a suspicion names has ended.
    """

    def __init__(self, has_crashed: Callable[[Suspicion], bool]) -> None:
        self._has_crashed = has_crashed
        self._suspicions: list[Suspicion] = []
        self._counts = crash_counts.CrashCounts()
        self._to_share: list[tuple[int, crash_counts.CrashRecord]] = []

    def refuses(self, request: crash_counts.RequestFingerprint, now_ms: int) -> bool:
        """Return whether a request has crashed too many servers.

        An incarnation of a server crashes once, whoever tells of it and when.
        """
        crashed = {
            record.server or record.attempt_id
            for record in self._counts.records_of(request)
            if not record.cleared and now_ms - record.wall_ms < crash_counts.EXPIRY_MS
        }
        return len(crashed) >= CRASH_LIMIT

    def suspect(
        self,
        request: crash_counts.RequestFingerprint,
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

    def ran_to_end(self, request: crash_counts.RequestFingerprint, now_ms: int) -> None:
        """Clear a request that a server has answered."""
        for record in self._counts.clear(request):
            self._to_share.append((now_ms, record))

    def review(self, now_ms: int) -> tuple[crash_counts.CrashRecord, ...]:
        """Return the suspicions that have become crashes."""
        confirmed = [each for each in self._suspicions if self._has_crashed(each)]
        self._suspicions = [
            each
            for each in self._suspicions
            if each not in confirmed and now_ms - each.at_ms < CONFIRM_MS
        ]
        records = tuple(each.record for each in confirmed)
        self.merge(records, now_ms)
        self._to_share += [(now_ms, record) for record in records]
        return records

    def merge(self, records: tuple[crash_counts.CrashRecord, ...], now_ms: int) -> None:
        """Take crashes, also those that a peer tells of.

        They are kept with the instant at which this gateway learned of them, as the
        time of day differs between machines and may jump.
        """
        self._counts.merge(
            dataclasses.replace(record, wall_ms=now_ms) for record in records
        )

    def to_share(self, now_ms: int) -> tuple[crash_counts.CrashRecord, ...]:
        """Return the newest crashes to tell the peers."""
        self._to_share = [
            each for each in self._to_share if now_ms - each[0] < SHARE_MS
        ]
        return tuple(record for _, record in self._to_share[-MAX_SHARED:])
