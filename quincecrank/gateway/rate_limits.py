"""The rate limits that backend servers state in their answers.

Load pattern: a backend server in need takes only a few requests a second from all
gateways together, for as long as its answers say so.  The answers come on many
connections to many gateways and overtake each other, so the state of a limit is
ordered by when requests were sent, not by when answers arrive.

Terms
-----
rate limit
    Requests a second that one incarnation of a backend server takes from all gateways
    together.
cold limit
    Rate of a server while it is cold.  It is known from the configuration and ends at
    a known time, so that no answer names or ends it; see `cold_servers`.
revision
    Number of a change of a server's limit.  It orders the states of one limit among
    gateways, whose clocks can't be compared.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from quincecrank.gateway import servers

MAX_AGE_MS: Final = 0xFFFFFFFF
"""Longest age of an answer that is published to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitState:
    """State of the rate limit of one incarnation of a backend server.

    Attributes
    ----------
    per_second : float or None
        The limit; None after its end.
    revision : int
        Number of the change that led to this state, 1 for the first.
    answer_age_ms : int
        Time since the last answer to the sender that confirmed the state, `MAX_AGE_MS`
        without any.  What its peers report is not passed on: the time of its way would
        make it younger each time.
    """

    incarnation: servers.Incarnation
    per_second: float | None
    revision: int
    answer_age_ms: int


@dataclasses.dataclass(slots=True)
class _Record:
    """A state with the local times that order answers.

    Attributes
    ----------
    recorded_ms : int
        Time at which this gateway recorded the state.
    confirmed_ms : int
        Time of the last answer that confirmed the state at any gateway.
    own_confirmed_ms : int or None
        The same at this gateway; None without any.
    """

    per_second: float | None
    revision: int
    recorded_ms: int
    confirmed_ms: int
    own_confirmed_ms: int | None = None


class RateLimits:
    """The rate limits that this gateway knows, by incarnation.

    Invariant: an answer changes or ends a limit only if its request was sent after the
    present state was recorded here, and ends it only if no answer to a later request
    has confirmed the limit.  A peer's state replaces this gateway's only if its
    revision is higher, or if it is equal and the limit is lower.

    Attributes
    ----------
    is_any_limited : bool
        Whether a limit is in force at any server.
    """

    def __init__(self) -> None:
        self._record_by_incarnation: dict[servers.Incarnation, _Record] = {}
        self._cold_limit_by_incarnation: dict[servers.Incarnation, float] = {}
        self.is_any_limited = False

    @property
    def is_any_known(self) -> bool:
        """Whether any state is known, ended limits included."""
        return bool(self._record_by_incarnation)

    def limit_of(self, incarnation: servers.Incarnation) -> float | None:
        """Return the limit in force, in requests a second; None without one."""
        record = self._record_by_incarnation.get(incarnation)
        named = record.per_second if record is not None else None
        cold = self._cold_limit_by_incarnation.get(incarnation)
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    def is_named(self, incarnation: servers.Incarnation) -> bool:
        """Return whether the server's answers name a limit, so that one can end it."""
        record = self._record_by_incarnation.get(incarnation)
        return record is not None and record.per_second is not None

    def set_cold_limits(
        self, per_second_by_incarnation: Mapping[servers.Incarnation, float]
    ) -> bool:
        """Replace the limits of cold servers; return whether any changed."""
        if self._cold_limit_by_incarnation == per_second_by_incarnation:
            return False
        self._cold_limit_by_incarnation = dict(per_second_by_incarnation)
        self._update_is_any_limited()
        return True

    def limited(self) -> tuple[servers.Incarnation, ...]:
        """Return the servers with a limit in force."""
        if not self.is_any_limited:
            return ()
        named = (
            incarnation
            for incarnation, record in self._record_by_incarnation.items()
            if record.per_second is not None
        )
        return tuple(dict.fromkeys((*named, *self._cold_limit_by_incarnation)))

    def confirmed_ms(self, incarnation: servers.Incarnation) -> int:
        """Return the time of the last answer that confirmed the state of a server."""
        return self._record_by_incarnation[incarnation].confirmed_ms

    def record_answer(
        self,
        incarnation: servers.Incarnation,
        per_second: float | None,
        sent_ms: int,
        now_ms: int,
    ) -> bool:
        """Record what an answer states; return whether the limit in force changed.

        Parameters
        ----------
        per_second : float or None
            The limit that the answer names; None if it names none.
        sent_ms : int
            Time at which the answered request was sent.
        """
        record = self._record_by_incarnation.get(incarnation)
        if record is None:
            if per_second is None:
                return False
            self._set(incarnation, _Record(per_second, 1, now_ms, now_ms, now_ms))
            return True
        if sent_ms < record.recorded_ms:
            return False
        if per_second == record.per_second:
            record.confirmed_ms = max(record.confirmed_ms, now_ms)
            record.own_confirmed_ms = now_ms
            return False
        if per_second is None and sent_ms < record.confirmed_ms:
            return False
        self._set(
            incarnation,
            _Record(per_second, record.revision + 1, now_ms, now_ms, now_ms),
        )
        return True

    def apply_peer_state(self, state: LimitState, now_ms: int) -> bool:
        """Apply a peer's state; return whether the limit in force changed."""
        confirmed_ms = now_ms - state.answer_age_ms
        record = self._record_by_incarnation.get(state.incarnation)
        if record is not None and record.revision == state.revision:
            if record.per_second == state.per_second:
                record.confirmed_ms = max(record.confirmed_ms, confirmed_ms)
                return False
            if _strictness(record.per_second) <= _strictness(state.per_second):
                return False
        elif record is not None and record.revision > state.revision:
            return False
        previous = record.per_second if record is not None else None
        self._set(
            state.incarnation,
            _Record(state.per_second, state.revision, now_ms, confirmed_ms),
        )
        return previous != state.per_second

    def states(self, now_ms: int) -> Iterable[LimitState]:
        """Return all states, ended limits included, for the peers."""
        return tuple(
            LimitState(
                incarnation,
                record.per_second,
                record.revision,
                _age_ms(record.own_confirmed_ms, now_ms),
            )
            for incarnation, record in self._record_by_incarnation.items()
        )

    def remove_server(self, server_id: servers.ServerId) -> None:
        """Remove the states of all incarnations of a server."""
        for incarnation in tuple(self._record_by_incarnation):
            if incarnation.server_id == server_id:
                del self._record_by_incarnation[incarnation]
        self._update_is_any_limited()

    def _set(self, incarnation: servers.Incarnation, record: _Record) -> None:
        self._record_by_incarnation[incarnation] = record
        self._update_is_any_limited()

    def _update_is_any_limited(self) -> None:
        self.is_any_limited = bool(self._cold_limit_by_incarnation) or any(
            record.per_second is not None
            for record in self._record_by_incarnation.values()
        )


def _age_ms(at_ms: int | None, now_ms: int) -> int:
    return MAX_AGE_MS if at_ms is None else min(MAX_AGE_MS, now_ms - at_ms)


def _strictness(per_second: float | None) -> float:
    """Return a number by which states sort, the lowest limit first."""
    return float("inf") if per_second is None else per_second
