"""Evidence that an incarnation of a backend server has ended, and what refutes it.

Invariant
    An incarnation is held for ended only while nothing later shows that it lives.  Any
    later evidence of life ends it, at this gateway and at its peers, in whatever order
    the messages arrive; evidence is compared by its time only.

Load pattern: a link between a gateway and some servers is cut, so that connections are
reset and new ones are refused, as by a server that has ended.  The servers run on.

A refused connection alone does not show that a server has ended.  Until that is known,
what accepts connections at its address may be another incarnation, of another software
version, whose entry has not arrived yet.

Terms
-----
refusal
    A connection to the server was refused, here or at a peer.
end
    The same, after the server had closed a connection.
evidence of life
    Bytes on a link that is older than the refusal, read so much later that they were
    not on their way then; or `CONFIRMING_REPORTS` reports of the incarnation after the
    first one that was read since: the store may perform a write of a server seconds
    after the server has ended.
"""

import dataclasses
from typing import Final

from quincecrank.gateway import servers

CONFIRMING_REPORTS: Final = 2
"""Reports after the first one since a refusal that show that an incarnation lives."""

PUBLISH_LIFE_MS: Final = 3_000
"""Time for which peers are notified of evidence of life, since datagrams get lost."""

PUBLISH_REFUSAL_MS: Final = 3_000
"""Time for which peers of earlier releases are notified of a refusal."""

MAX_TRANSIT_MS: Final = 1_000
"""Longest time that a report between gateways takes: refusals that a peer reports again
are the same one if their times differ by less."""

MAX_UNREAD_MS: Final = 1_000
"""Longest time for which bytes of a server are on their way or lie unread."""

MAX_PUBLISHED: Final = 64
"""Bound of the incarnations that a report names; the latest evidence comes first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Latest evidence about an incarnation, by its age; None without any."""

    incarnation: servers.Incarnation
    refused_age_ms: int | None
    alive_age_ms: int | None


@dataclasses.dataclass(slots=True)
class _Times:
    """Times of the latest evidence about one incarnation."""

    started_wall_ms: int
    refused_ms: int | None = None
    ended_ms: int | None = None
    own_refused_ms: int | None = None
    alive_ms: int | None = None
    own_alive_ms: int | None = None
    published_ms: int = 0
    baseline_report: int | None = None

    @property
    def may_have_ended(self) -> bool:
        return _is_later(self.refused_ms, self.alive_ms)

    @property
    def has_ended(self) -> bool:
        return _is_later(self.ended_ms, self.alive_ms)

    @property
    def may_have_ended_by_own_evidence(self) -> bool:
        return self.may_have_ended and self.own_refused_ms is not None

    def record_refusal(self, at_ms: int) -> None:
        if self.refused_ms is None or at_ms > self.refused_ms:
            self.refused_ms = at_ms
            self.baseline_report = None

    def record_own_life(self, at_ms: int) -> None:
        self.alive_ms = self.own_alive_ms = self.published_ms = at_ms


class LivenessRegistry:
    """Evidence about the incarnations that refused a connection; performs no I/O."""

    def __init__(self) -> None:
        self._times_by_server: dict[servers.ServerId, _Times] = {}

    def may_have_ended(self, incarnation: servers.Incarnation) -> bool:
        """Return whether what accepts connections may be another incarnation."""
        times = self._find(incarnation)
        return times is not None and times.may_have_ended

    def has_ended(self, incarnation: servers.Incarnation) -> bool:
        """Return whether an incarnation is held for ended."""
        times = self._find(incarnation)
        return times is not None and times.has_ended

    def record_refusal(self, incarnation: servers.Incarnation, at_ms: int) -> None:
        """Record that a connection of this gateway was refused."""
        times = self._times_of(incarnation)
        times.own_refused_ms = at_ms
        times.record_refusal(at_ms)

    def record_end(self, incarnation: servers.Incarnation, at_ms: int) -> None:
        """Record that the server closed a connection and refused another one."""
        times = self._times_of(incarnation)
        times.ended_ms = max(at_ms, times.ended_ms or at_ms)
        self.record_refusal(incarnation, at_ms)

    def record_report(
        self, incarnation: servers.Incarnation, report_number: int, read_ms: int
    ) -> bool:
        """Record a report that was read from the store; return whether it shows life.

        Returns True only for the first report that does since the last refusal.
        """
        times = self._find(incarnation)
        if times is None or not times.may_have_ended:
            return False
        if times.baseline_report is None:
            times.baseline_report = report_number
            return False
        if report_number < times.baseline_report + CONFIRMING_REPORTS:
            return False
        times.record_own_life(read_ms)
        return True

    def record_bytes(
        self, incarnation: servers.Incarnation, opened_ms: int, at_ms: int
    ) -> bool:
        """Record bytes on a link; return whether they show life.

        Parameters
        ----------
        opened_ms : int
            Time at which the link was opened.
        """
        times = self._find(incarnation)
        if times is None or not times.may_have_ended:
            return False
        assert times.refused_ms is not None
        if opened_ms >= times.refused_ms or at_ms < times.refused_ms + MAX_UNREAD_MS:
            return False
        times.record_own_life(at_ms)
        return True

    def apply_peer_evidence(self, evidence: Evidence, now_ms: int) -> bool:
        """Apply evidence of a peer; return whether it shows life.

        Evidence of life that this gateway has found is published again if the peer's
        refusal is older, as the peer may have missed it.
        """
        times = self._times_of(evidence.incarnation)
        was_held = times.may_have_ended
        if evidence.refused_age_ms is not None:
            refused_ms = now_ms - evidence.refused_age_ms
            known_ms = times.refused_ms
            is_known = was_held and known_ms is not None
            if not (is_known and refused_ms < (known_ms or 0) + MAX_TRANSIT_MS):
                times.record_refusal(refused_ms)
        if evidence.alive_age_ms is not None:
            alive_ms = now_ms - evidence.alive_age_ms
            times.alive_ms = max(alive_ms, times.alive_ms or alive_ms)
        elif times.own_alive_ms is not None and not times.may_have_ended:
            times.published_ms = now_ms
        return was_held and not times.may_have_ended

    def to_publish(self, now_ms: int) -> tuple[Evidence, ...]:
        """Return the evidence of this gateway of which to notify the peers.

        Refusals are published until something shows life, and life for some seconds.
        What peers have reported is not passed on: its age would be less each time.
        """
        published = []
        for server_id, times in self._times_by_server.items():
            is_recent = now_ms - times.published_ms < PUBLISH_LIFE_MS
            alive_ms = times.own_alive_ms if is_recent else None
            is_held = times.may_have_ended_by_own_evidence
            refused_ms = times.own_refused_ms if is_held else None
            if alive_ms is None and refused_ms is None:
                continue
            incarnation = servers.Incarnation(server_id, times.started_wall_ms)
            evidence = Evidence(
                incarnation, _age_ms(refused_ms, now_ms), _age_ms(alive_ms, now_ms)
            )
            published.append((max(refused_ms or 0, alive_ms or 0), server_id, evidence))
        published.sort(key=lambda each: each[:2], reverse=True)
        return tuple(evidence for _, _, evidence in published[:MAX_PUBLISHED])

    def refused_to_publish(self, now_ms: int) -> tuple[servers.Incarnation, ...]:
        """Return the incarnations that peers of earlier releases must hold for ended.

        Those releases know no evidence of life, and of a refusal no time.
        """
        refused = [
            (times.own_refused_ms, server_id, times.started_wall_ms)
            for server_id, times in self._times_by_server.items()
            if times.may_have_ended_by_own_evidence
            and times.own_refused_ms is not None
            and now_ms - times.own_refused_ms < PUBLISH_REFUSAL_MS
        ]
        return tuple(
            servers.Incarnation(server_id, started_wall_ms)
            for _, server_id, started_wall_ms in sorted(refused, reverse=True)[
                :MAX_PUBLISHED
            ]
        )

    @property
    def held_for_ended_count(self) -> int:
        """Number of incarnations that may have ended by the present evidence."""
        return sum(each.may_have_ended for each in self._times_by_server.values())

    def remove(self, server_id: servers.ServerId) -> None:
        """Remove the evidence about a server that has left or started again."""
        self._times_by_server.pop(server_id, None)

    def _find(self, incarnation: servers.Incarnation) -> _Times | None:
        times = self._times_by_server.get(incarnation.server_id)
        if times is None or times.started_wall_ms != incarnation.started_wall_ms:
            return None
        return times

    def _times_of(self, incarnation: servers.Incarnation) -> _Times:
        times = self._find(incarnation)
        if times is None:
            times = _Times(incarnation.started_wall_ms)
            self._times_by_server[incarnation.server_id] = times
        return times


def _is_later(end_ms: int | None, alive_ms: int | None) -> bool:
    """Return whether evidence of an end is not older than evidence of life."""
    return end_ms is not None and (alive_ms is None or end_ms >= alive_ms)


def _age_ms(at_ms: int | None, now_ms: int) -> int | None:
    return None if at_ms is None else max(0, now_ms - at_ms)
