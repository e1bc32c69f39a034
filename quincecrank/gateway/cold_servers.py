"""Which backend servers are cold, and how slow cold servers are.

Invariant
    All gateways together send a cold server at most its own rate, whatever each of them
    knows: a server counts as cold at a gateway from the first evidence until a later
    report of the server ends it or its time is over, and the permits of `send_permits`
    share the rate.

Load pattern: the servers of a whole data centre start at once under full load.  They
have no load and look best to every gateway; they have no KV cache, answer slowly and
crash if they get many more requests than their rate.

Terms
-----
cold
    State of a server for some seconds after its start, or at any other moment by its
    own report.
report number
    Number of an entry among those of one incarnation; it orders the evidence.
presumed
    Known from other evidence than an entry: the end of an evacuation, or an answer.  It
    is later than the entry of its report number.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from quincecrank.gateway import deployment, servers

MAX_COLD_MS: Final = 60_000
"""Longest time for which one report makes a server count as cold.  A longer one is
treated as a mistake: it would limit the server until its next start."""

PUBLISH_ENDED_MS: Final = 2_000
"""Time for which the end of a cold period is published to the peers, since datagrams
get lost."""

MAX_TRAVEL_MS: Final = 500
"""Longest travel time of a peer's report.  A presumed end that is later by more belongs
to a later cold period; smaller differences would add up from gateway to gateway."""

SMOOTHING: Final = 0.15
"""Weight of a new answer in the slowness of a service's cold servers."""

MIN_SLOWNESS: Final = 1.0
MAX_SLOWNESS: Final = 8.0
"""Bounds of the ratio of observed to expected time of an answer of a cold server."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdState:
    """What a gateway publishes of a server that is cold or was so lately.

    Attributes
    ----------
    report_number : int
        Report of the server from which the state is known.
    is_presumed : bool
        Whether the server is presumed to have become cold after that report.
    remaining_ms : int
        Time for which it stays cold; 0 if it is not.
    """

    incarnation: servers.Incarnation
    report_number: int
    is_presumed: bool
    remaining_ms: int

    @property
    def rank(self) -> tuple[int, bool]:
        """Order of the evidence; the highest applies."""
        return self.report_number, self.is_presumed


@dataclasses.dataclass(slots=True)
class _Record:
    report_number: int
    is_presumed: bool
    until_ms: int

    @property
    def rank(self) -> tuple[int, bool]:
        return self.report_number, self.is_presumed


class ColdServers:
    """The cold servers that this gateway knows, by incarnation; performs no I/O."""

    def __init__(self) -> None:
        self._record_by_incarnation: dict[servers.Incarnation, _Record] = {}
        self._slowness_by_service: dict[str, float] = {}

    def is_cold(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        """Return whether a server is cold."""
        record = self._record_by_incarnation.get(incarnation)
        return record is not None and now_ms < record.until_ms

    def remaining_ms(self, incarnation: servers.Incarnation, now_ms: int) -> int:
        """Return for how long a server stays cold; 0 if it is not."""
        record = self._record_by_incarnation.get(incarnation)
        return 0 if record is None else max(0, record.until_ms - now_ms)

    def record_entry(
        self,
        entry: servers.ServerEntry,
        previous: servers.ServerEntry | None,
        now_ms: int,
    ) -> bool:
        """Record what an entry states; return whether a server became cold or warm.

        The entry may be some time old, so that the server may be warm sooner.

        Parameters
        ----------
        previous : ServerEntry or None
            Entry that it replaces.  One that is read again tells nothing: its time has
            passed meanwhile.
        """
        if (
            previous is not None
            and previous.incarnation == entry.incarnation
            and entry.report_number <= previous.report_number
        ):
            return False
        state = ColdState(
            entry.incarnation, entry.report_number, False, entry.cold_remaining_ms
        )
        return self._apply(state, now_ms)

    def presume_cold(
        self, entry: servers.ServerEntry, cold_ms: int, now_ms: int
    ) -> bool:
        """Record that a server may have become cold since its last report.

        A later report replaces this.  Returns whether the server became cold.
        """
        state = ColdState(entry.incarnation, entry.report_number, True, cold_ms)
        return self._apply(state, now_ms)

    def record_answer(
        self, entry: servers.ServerEntry, cold_ms: int, now_ms: int
    ) -> bool:
        """Record an answer that says for how long its server stays cold."""
        if self.remaining_ms(entry.incarnation, now_ms) >= cold_ms:
            return False
        return self.presume_cold(entry, cold_ms, now_ms)

    def apply_peer(
        self, state: ColdState, entry: servers.ServerEntry | None, now_ms: int
    ) -> bool:
        """Apply a peer's state; return whether the server became cold or warm.

        Ignored without an entry of the incarnation, and if the entry is of a later
        report.
        """
        if (
            entry is None
            or entry.incarnation != state.incarnation
            or entry.report_number > state.report_number
        ):
            return False
        return self._apply(state, now_ms, MAX_TRAVEL_MS)

    def _apply(self, state: ColdState, now_ms: int, tolerance_ms: int = 0) -> bool:
        """Apply a state; return whether the server became cold or warm.

        Evidence of a lower rank is ignored.  Of two states of one entry the one that
        ends sooner applies: it has travelled for less time.  Of two presumed ones the
        later end applies, as the server may have become cold anew.
        """
        until_ms = now_ms + min(state.remaining_ms, MAX_COLD_MS)
        known = self._record_by_incarnation.get(state.incarnation)
        was_cold = self.is_cold(state.incarnation, now_ms)
        if known is None:
            if until_ms <= now_ms:
                return False
        elif state.rank < known.rank:
            return False
        elif state.rank == known.rank:
            if not state.is_presumed:
                until_ms = min(until_ms, known.until_ms)
            elif until_ms <= max(now_ms, known.until_ms + tolerance_ms):
                return False
        self._record_by_incarnation[state.incarnation] = _Record(
            state.report_number, state.is_presumed, until_ms
        )
        return was_cold is not self.is_cold(state.incarnation, now_ms)

    def remove_ended(self, now_ms: int) -> tuple[servers.Incarnation, ...]:
        """Remove and return servers whose cold period ended some time ago."""
        ended = tuple(
            incarnation
            for incarnation, record in self._record_by_incarnation.items()
            if now_ms - record.until_ms >= PUBLISH_ENDED_MS
        )
        for incarnation in ended:
            del self._record_by_incarnation[incarnation]
        return ended

    def remove_server(self, server_id: servers.ServerId) -> None:
        """Remove all incarnations of a server."""
        for incarnation in tuple(self._record_by_incarnation):
            if incarnation.server_id == server_id:
                del self._record_by_incarnation[incarnation]

    def states(self, now_ms: int) -> tuple[ColdState, ...]:
        """Return the states to publish to the peers."""
        return tuple(
            ColdState(
                incarnation,
                record.report_number,
                record.is_presumed,
                max(0, record.until_ms - now_ms),
            )
            for incarnation, record in self._record_by_incarnation.items()
        )

    def limits(
        self,
        find: Callable[[servers.ServerId], servers.ServerEntry | None],
        service_by_name: Mapping[deployment.ServiceName, deployment.Service],
        now_ms: int,
    ) -> dict[servers.Incarnation, float]:
        """Return the requests a second that each cold server takes.

        Servers that are not registered, or whose service names no rate, are left out.

        Parameters
        ----------
        find : callable
            Returns the entry of a server; None for an unknown one.
        """
        per_second_by_incarnation = {}
        for incarnation in self._record_by_incarnation:
            entry = find(incarnation.server_id)
            if entry is None or entry.incarnation != incarnation:
                continue
            service = service_by_name.get(entry.service)
            if service is None or service.cold_per_second <= 0:
                continue
            if self.is_cold(incarnation, now_ms):
                per_second_by_incarnation[incarnation] = service.cold_per_second
        return per_second_by_incarnation

    def slowness(self, service: deployment.ServiceName) -> float:
        """Return how many times as long cold servers of a service take."""
        return self._slowness_by_service.get(service, MIN_SLOWNESS)

    def record_answer_time(
        self, service: deployment.ServiceName, observed_ms: float, expected_ms: float
    ) -> None:
        """Record the time to the first event of an answer of a cold server."""
        ratio = observed_ms / max(1.0, expected_ms)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        known = self.slowness(service)
        self._slowness_by_service[service] = known + SMOOTHING * (ratio - known)

    def retain(self, services: Iterable[deployment.ServiceName]) -> None:
        """Remove the slowness of all services but those of the configuration."""
        for service in set(self._slowness_by_service) - set(services):
            del self._slowness_by_service[service]
