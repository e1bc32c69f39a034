"""Permits to send requests to backend servers that limit their rate.

Load pattern: one, several or all servers of a service take only a few requests a second
from all gateways together, while requests wait at some of many gateways.  An equal
share of such a limit is less than a request in some seconds: most gateways have no
work for theirs, and shares that were saved up are used at the same moment.  So one
gateway issues the permits for a server at its rate, to the gateways that ask.

Terms
-----
permit
    Right of a gateway to send one request to an incarnation of a backend server, for a
    short time.
issuer
    The gateway that issues the permits for a server: the first in the ranking of the
    live gateways for the server's id.
supporter
    A gateway that reports another one, or itself, as the issuer for a server.
trial
    A permit that the limit need not allow.  It is issued when no answer of the server
    has arrived for some time, since only an answer shows the end of a limit.
stock
    Permits that a gateway asks for in advance: for the requests that it usually sends
    to a server, and one while the limit is not reached.
"""

import collections
import dataclasses
import enum
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous
from quincecrank.gateway import permit_pacer, rate_limits, servers

PERMIT_MS: Final = 600
"""Time after an ask, on the clock of the asking gateway, in which its permits are
valid."""

SUPPORT_MS: Final = 700
"""Time for which an issuer counts a supporter, from the earliest time at which its
report was sent: two of the longest report intervals.  A gateway supports no issuer for
this time after a change."""

QUORUM: Final = 0.8
"""Fraction of the known gateways whose support gives an issuer the whole limit.  With
fewer, its rate is proportional to their number."""

MIN_TRIAL_SUPPORT: Final = 0.4
"""Fraction of the known gateways whose support an issuer needs for trials, so that at
most two issuers make them."""

TRIAL_PERMIT_MS: Final = 2_000
"""Time after an ask in which a trial is valid: a gateway of a large fleet may get no
request for a second."""

MIN_ASK_INTERVAL_MS: Final = 20
"""Shortest time between two asks of a gateway for one server."""

STOCK_MS: Final = 150
"""Time whose sends a gateway keeps in stock: an interval of reports."""

MAX_STOCK_WAIT_MS: Final = 100
"""Longest wait for a permit at which gateways keep one in stock: the limit is then not
reached, and requests should not wait for an ask."""

USE_WINDOW_MS: Final = 1_000
"""Time whose sends give the rate for the stock, and in which a gateway that had
requests for a service takes part in trials."""

MAX_WAIT_MS: Final = 60_000
"""Longest wait for a permit that is reported."""


class PermitEvent(enum.Enum):
    """What happens to a permit.

    The issuer issues it; the gateway that gets it uses it, returns it to the issuer for
    others, or lets it expire.
    """

    ISSUED = "issued"
    USED = "used"
    EXPIRED = "expired"
    RETURNED = "returned"


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Right to send one request; `expires_ms` is on this gateway's clock."""

    incarnation: servers.Incarnation
    expires_ms: int
    is_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permits for one gateway.

    Attributes
    ----------
    asked_ms : int
        Time of the ask, from which the permits are valid for `PERMIT_MS`, and a trial
        for `TRIAL_PERMIT_MS`.
    number : int
        Distinguishes the grant from others, as datagrams may arrive twice.
    """

    incarnation: servers.Incarnation
    count: int
    asked_ms: int
    number: int
    is_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitMessage:
    """Asks and grants that one gateway sends to another."""

    vm: ids.VmName
    asks: tuple[permit_pacer.Ask, ...] = ()
    grants: tuple[Grant, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerReport:
    """What a gateway reports of the issuer of a limited server.

    Attributes
    ----------
    issuer : VmName or None
        Issuer that the gateway supports; None while it supports none.
    wait_ms : int or None
        Time after which a new ask would get a permit, if the gateway is the issuer.
    """

    incarnation: servers.Incarnation
    issuer: ids.VmName | None
    wait_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The requests of this gateway that could use permits of a server now."""

    waiting: int
    rank: int
    since_ms: int


@dataclasses.dataclass(slots=True)
class _HolderState:
    """State of a limited server at a gateway that sends to it.

    Attributes
    ----------
    permits : deque of Permit
        Permits in hand, in the order of their arrival.
    demand : Demand or None
        The requests that wait; None without any.
    outstanding : int
        Permits wanted by the last ask and not granted yet.
    asked_ms : int or None
        Time of the last ask to the present issuer.
    interest_ms : int or None
        Time of the last request that could have used a permit.
    sends_ms : deque of int
        Times of the recent sends to the server.
    number_expiry_ms : dict of int to int
        Numbers of the grants received, with the time until which they are kept.
    supports_from_ms : int
        Time from which the gateway supports the issuer.
    issuer_by_peer : dict
        Issuer that each peer supports, with the time of its last report.
    issuer_wait_until_ms : int
        Time at which a new ask would get a permit, by the issuer's last report.
    """

    permits: collections.deque[Permit] = dataclasses.field(
        default_factory=collections.deque
    )
    demand: Demand | None = None
    outstanding: int = 0
    asked_ms: int | None = None
    interest_ms: int | None = None
    sends_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    number_expiry_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    issuer: ids.VmName | None = None
    supports_from_ms: int = 0
    issuer_by_peer: dict[ids.VmName, tuple[ids.VmName, int]] = dataclasses.field(
        default_factory=dict
    )
    issuer_wait_until_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerIssuer:
    """Issuer of a server whose limit has ended.

    Attributes
    ----------
    supports_from_ms : int
        Time from which this gateway supported it.
    counts_until_ms : int
        Time until which it, or one before it, may count this gateway's support.
    """

    issuer: ids.VmName
    supports_from_ms: int
    counts_until_ms: int


class SendPermits:
    """Issues, asks for and uses the permits for limited backend servers.

    Invariants:

    - A request goes to a limited server only with a permit for it that was issued no
      longer than `PERMIT_MS` ago, `TRIAL_PERMIT_MS` for a trial.
    - Each gateway supports one issuer of a server at a time, and an issuer's rate is
      the limit times its supporters' fraction of the known gateways over `QUORUM`, at
      most the limit.  So in any time the issuers together issue at most 1 / `QUORUM`
      times what the limit allows, and one permit and the trials of each issuer more,
      whatever each gateway assumes of the others.

    Parameters
    ----------
    limits : RateLimits
        The limits in force.
    generator : Random
        Source of the numbers of grants and of the gateways that make trials.
    """

    def __init__(
        self,
        own_name: ids.VmName,
        limits: rate_limits.RateLimits,
        generator: random.Random,
    ) -> None:
        self._own_name = own_name
        self._limits = limits
        self._generator = generator
        self._holder_by_incarnation: dict[servers.Incarnation, _HolderState] = {}
        self._pacer_by_incarnation: dict[
            servers.Incarnation, permit_pacer.PermitPacer
        ] = {}
        self._former_by_incarnation: dict[servers.Incarnation, _FormerIssuer] = {}
        self._candidates: tuple[ids.VmName, ...] = (own_name,)
        self._known_count = 1
        self._support_blocked_until_ms: int | None = None
        self._next_number = generator.getrandbits(32)
        self._count_by_event = dict.fromkeys(PermitEvent, 0)

    @property
    def count_by_event(self) -> Mapping[str, int]:
        """Number of permits since the start, by the value of a `PermitEvent`."""
        return {event.value: count for event, count in self._count_by_event.items()}

    @property
    def waiting_count(self) -> int:
        """Number of requests of this gateway for which permits are asked."""
        demands = (each.demand for each in self._holder_by_incarnation.values())
        return sum(demand.waiting for demand in demands if demand is not None)

    def set_gateways(
        self, candidates: Sequence[ids.VmName], known_count: int, now_ms: int
    ) -> None:
        """Set the gateways that may issue permits, and choose the issuers.

        Parameters
        ----------
        candidates : sequence of VmName
            The live gateways that may be issuers.
        known_count : int
            Number of gateways that may be alive, this one included.
        """
        if self._support_blocked_until_ms is None:
            # An earlier process of this gateway may have supported other issuers.
            self._support_blocked_until_ms = now_ms + SUPPORT_MS
        self._known_count = known_count
        is_changed = tuple(candidates) != self._candidates
        # A gateway that leaves alone has no other to ask.
        self._candidates = tuple(candidates) or (self._own_name,)
        self._update_issuers(now_ms, is_changed=is_changed)

    def apply_limit_change(self, now_ms: int) -> None:
        """Choose issuers for servers with a new limit; discard those without one."""
        self._update_issuers(now_ms, is_changed=False)

    def _update_issuers(self, now_ms: int, *, is_changed: bool) -> None:
        limited = self._limits.limited()
        self._remove_unlimited(limited, now_ms)
        for incarnation in limited:
            holder = self._holder(incarnation)
            if holder.issuer is None or is_changed:
                self._choose_issuer(incarnation, holder, now_ms)

    def allows(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        """Return whether a request may be sent to a server now."""
        if self._limits.limit_of(incarnation) is None:
            return True
        return bool(self._valid_permits(incarnation, now_ms))

    def has_trial(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        """Return whether the next request to a server is a trial."""
        if self._limits.limit_of(incarnation) is None:
            return False
        permits = self._valid_permits(incarnation, now_ms)
        return bool(permits) and permits[0].is_trial

    def take(self, incarnation: servers.Incarnation, now_ms: int) -> Permit | None:
        """Take a permit for a request; None if the server has no limit.

        A permit that has expired since the call of `allows` is returned as such, and
        `may_send` rejects it.
        """
        if self._limits.limit_of(incarnation) is None:
            return None
        permits = self._valid_permits(incarnation, now_ms)
        if not permits:
            return Permit(incarnation, now_ms)
        permit = permits.popleft()
        self._holder(incarnation).sends_ms.append(now_ms)
        self._count_by_event[PermitEvent.USED] += 1
        return permit

    def may_send(
        self, incarnation: servers.Incarnation, permit: Permit | None, now_ms: int
    ) -> bool:
        """Return whether a request that was placed with a permit may be sent now."""
        if permit is not None and now_ms < permit.expires_ms:
            return True
        return self._limits.limit_of(incarnation) is None

    def give_back(self, permit: Permit) -> None:
        """Return a permit whose request was not sent."""
        if self._limits.limit_of(permit.incarnation) is not None:
            self._holder(permit.incarnation).permits.append(permit)
            self._count_by_event[PermitEvent.USED] -= 1

    def set_demand(
        self, incarnation: servers.Incarnation, demand: Demand | None, now_ms: int
    ) -> bool:
        """Set the demand for a server; return whether an ask is due."""
        if self._limits.limit_of(incarnation) is None:
            return False
        holder = self._holder(incarnation)
        holder.demand = demand
        return self._needs_ask(incarnation, holder, now_ms)

    def record_interest(self, incarnation: servers.Incarnation, now_ms: int) -> None:
        """Record that a request could have used a limited server."""
        if self._limits.limit_of(incarnation) is not None:
            self._holder(incarnation).interest_ms = now_ms

    def due_asks(self, now_ms: int) -> dict[ids.VmName, tuple[permit_pacer.Ask, ...]]:
        """Return the asks to send at once, by issuer, which may be this gateway."""
        asks_by_issuer: dict[ids.VmName, list[permit_pacer.Ask]] = {}
        for incarnation in self._limits.limited():
            holder = self._holder(incarnation)
            if holder.issuer is None or not self._is_ask_due(
                incarnation, holder, now_ms
            ):
                continue
            ask = self._make_ask(incarnation, holder, now_ms)
            asks_by_issuer.setdefault(holder.issuer, []).append(ask)
        return {name: tuple(asks) for name, asks in asks_by_issuer.items()}

    def asks_to_report(self, now_ms: int) -> tuple[permit_pacer.Ask, ...]:
        """Return the asks that a report to all gateways repeats."""
        asks = []
        for incarnation in self._limits.limited():
            holder = self._holder(incarnation)
            if (
                self._is_stocked(incarnation, holder, now_ms)
                or holder.demand is not None
            ):
                asks.append(self._make_ask(incarnation, holder, now_ms))
        return tuple(asks)

    def apply_asks(
        self, gateway: ids.VmName, asks: Iterable[permit_pacer.Ask], now_ms: int
    ) -> bool:
        """Record the asks of a gateway for servers of which this one is the issuer.

        Returns whether there are any.
        """
        is_any = False
        for ask in asks:
            pacer = self._pacer_by_incarnation.get(ask.incarnation)
            if pacer is not None:
                is_any |= pacer.record_ask(gateway, ask, now_ms)
        return is_any

    def issue(self, now_ms: int) -> dict[ids.VmName, tuple[Grant, ...]]:
        """Issue and return the permits that are due, by gateway."""
        grants_by_gateway: dict[ids.VmName, list[Grant]] = {}
        for incarnation, pacer in self._pacer_by_incarnation.items():
            fraction = self._supporter_fraction(incarnation, now_ms)
            issued = pacer.issue(self._interval_ms(incarnation, now_ms), now_ms)
            may_try = self._limits.is_named(incarnation)
            if not issued and may_try and fraction >= MIN_TRIAL_SUPPORT:
                issued = pacer.issue_trial(
                    self._limits.limit_of(incarnation) or 0.0,
                    self._limits.confirmed_ms(incarnation),
                    now_ms,
                )
            for each in issued:
                self._next_number = (self._next_number + 1) % 2**32
                self._count_by_event[PermitEvent.ISSUED] += each.count
                grant = Grant(
                    incarnation,
                    each.count,
                    each.asked_ms,
                    self._next_number,
                    each.is_trial,
                )
                grants_by_gateway.setdefault(each.gateway, []).append(grant)
        return {name: tuple(grants) for name, grants in grants_by_gateway.items()}

    def ms_until_due(self, now_ms: int) -> float | None:
        """Return the time until permits or asks are due; None if nothing waits."""
        due_ms: list[float] = []
        for incarnation, pacer in self._pacer_by_incarnation.items():
            next_ms = pacer.next_issue_ms(self._interval_ms(incarnation, now_ms))
            if next_ms is not None:
                due_ms.append(next_ms - now_ms)
        for incarnation in self._limits.limited():
            holder = self._holder(incarnation)
            if holder.issuer is None:
                continue
            if self._needs_ask(incarnation, holder, now_ms):
                asked_ms = holder.asked_ms or 0
                due_ms.append(asked_ms + MIN_ASK_INTERVAL_MS - now_ms)
        return min(due_ms, default=None)

    def apply_grants(
        self, grants: Iterable[Grant], now_ms: int
    ) -> tuple[servers.Incarnation, ...]:
        """Add permits; return the servers for which there are new ones."""
        granted = []
        for grant in grants:
            holder = self._holder_by_incarnation.get(grant.incarnation)
            valid_ms = TRIAL_PERMIT_MS if grant.is_trial else PERMIT_MS
            expires_ms = grant.asked_ms + valid_ms
            if (
                holder is None
                or not grant.asked_ms <= now_ms < expires_ms
                or grant.number in holder.number_expiry_ms
            ):
                continue
            holder.number_expiry_ms[grant.number] = expires_ms
            holder.outstanding = max(0, holder.outstanding - grant.count)
            permit = Permit(grant.incarnation, expires_ms, grant.is_trial)
            holder.permits.extend([permit] * grant.count)
            granted.append(grant.incarnation)
        return tuple(granted)

    def issuer_reports(self, now_ms: int) -> tuple[IssuerReport, ...]:
        """Return what to report of the issuers of the limited servers."""
        return tuple(
            IssuerReport(
                incarnation,
                self._supported(self._holder(incarnation), now_ms),
                self._issuer_wait_ms(incarnation, now_ms),
            )
            for incarnation in self._limits.limited()
        )

    def apply_issuer_reports(
        self,
        gateway: ids.VmName,
        reports: Iterable[IssuerReport],
        now_ms: int,
        *,
        sent_ms: int | None = None,
    ) -> None:
        """Record which issuers a peer supports, and the wait that an issuer reports.

        Parameters
        ----------
        sent_ms : int or None
            Earliest time at which the peer may have sent the reports, from which its
            support counts; None for the present time.
        """
        for report in reports:
            if self._limits.limit_of(report.incarnation) is None:
                continue
            holder = self._holder(report.incarnation)
            if report.issuer is None:
                holder.issuer_by_peer.pop(gateway, None)
            else:
                supported_ms = now_ms if sent_ms is None else sent_ms
                holder.issuer_by_peer[gateway] = (report.issuer, supported_ms)
            if report.wait_ms is not None and gateway == holder.issuer:
                holder.issuer_wait_until_ms = now_ms + report.wait_ms

    def expected_wait_ms(self, incarnation: servers.Incarnation, now_ms: int) -> float:
        """Return the estimated time until a new request gets a permit."""
        if self._valid_permits(incarnation, now_ms):
            return 0.0
        return self._pace_wait_ms(incarnation, self._holder(incarnation), now_ms)

    def _pace_wait_ms(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> float:
        """Return the time until the issuer's pace allows a new ask a permit."""
        if not self._limits.limit_of(incarnation):
            return float(MAX_WAIT_MS)
        if holder.issuer == self._own_name:
            return self._issuer_wait_ms(incarnation, now_ms) or 0.0
        return max(0.0, holder.issuer_wait_until_ms - now_ms)

    def issuer_of(self, incarnation: servers.Incarnation) -> ids.VmName | None:
        """Return the issuer for a server as this gateway sees it."""
        holder = self._holder_by_incarnation.get(incarnation)
        return holder.issuer if holder is not None else None

    def _holder(self, incarnation: servers.Incarnation) -> _HolderState:
        return self._holder_by_incarnation.setdefault(incarnation, _HolderState())

    def _remove_unlimited(
        self, limited: Sequence[servers.Incarnation], now_ms: int
    ) -> None:
        """Remove the states of servers without a limit.

        Their issuers are kept for as long as they may count this gateway's support, as
        a limit may begin again: a cold server's ends with time.
        """
        kept = frozenset(limited)
        self._former_by_incarnation = {
            incarnation: former
            for incarnation, former in self._former_by_incarnation.items()
            if now_ms < former.counts_until_ms
        }
        for incarnation, holder in self._holder_by_incarnation.items():
            if incarnation not in kept and holder.issuer is not None:
                from_ms = holder.supports_from_ms
                # Until then, one before it may still count this gateway.
                until_ms = now_ms + SUPPORT_MS if now_ms >= from_ms else from_ms
                self._former_by_incarnation[incarnation] = _FormerIssuer(
                    holder.issuer, from_ms, until_ms
                )
        for state_by_incarnation in (
            self._holder_by_incarnation,
            self._pacer_by_incarnation,
        ):
            for incarnation in tuple(state_by_incarnation):
                if incarnation not in kept:
                    del state_by_incarnation[incarnation]

    def _choose_issuer(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> None:
        ranked = rendezvous.ranked(incarnation.server_id, self._candidates, 1)
        issuer = ranked[0] if ranked else None
        if issuer == holder.issuer:
            return
        if holder.issuer is not None:
            holder.supports_from_ms = now_ms + SUPPORT_MS
        elif self._support_blocked_until_ms is not None:
            holder.supports_from_ms = max(now_ms, self._support_blocked_until_ms)
            former = self._former_by_incarnation.pop(incarnation, None)
            if former is not None:
                holder.supports_from_ms = max(
                    holder.supports_from_ms,
                    former.supports_from_ms
                    if former.issuer == issuer
                    else former.counts_until_ms,
                )
        holder.issuer = issuer
        holder.outstanding = 0
        holder.asked_ms = None
        holder.issuer_wait_until_ms = now_ms
        if issuer == self._own_name:
            self._pacer_by_incarnation[incarnation] = permit_pacer.PermitPacer(
                now_ms, self._generator
            )
        else:
            self._pacer_by_incarnation.pop(incarnation, None)

    def _supported(self, holder: _HolderState, now_ms: int) -> ids.VmName | None:
        return holder.issuer if now_ms >= holder.supports_from_ms else None

    def _supporter_fraction(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> float:
        """Return the supporters of this gateway as a fraction of the known gateways."""
        holder = self._holder(incarnation)
        count = int(self._supported(holder, now_ms) == self._own_name)
        count += sum(
            issuer == self._own_name and now_ms - reported_ms < SUPPORT_MS
            for issuer, reported_ms in holder.issuer_by_peer.values()
        )
        return count / max(self._known_count, count, 1)

    def _interval_ms(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> float | None:
        """Return the time between two permits; None if none may be issued."""
        per_second = self._limits.limit_of(incarnation)
        if not per_second:
            return None
        share = min(1.0, self._supporter_fraction(incarnation, now_ms) / QUORUM)
        return clocks.MS_PER_SECOND / (per_second * share) if share else None

    def _issuer_wait_ms(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> int | None:
        """Return the time after which a new ask gets a permit; None if not issuer."""
        pacer = self._pacer_by_incarnation.get(incarnation)
        if pacer is None:
            return None
        interval_ms = self._interval_ms(incarnation, now_ms)
        wait_ms = pacer.wait_ms(interval_ms, now_ms)
        return round(min(wait_ms, MAX_WAIT_MS))

    def _valid_permits(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> collections.deque[Permit]:
        holder = self._holder(incarnation)
        while holder.permits and holder.permits[0].expires_ms <= now_ms:
            holder.permits.popleft()
            self._count_by_event[PermitEvent.EXPIRED] += 1
        return holder.permits

    def _usable(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> int:
        """Return the permits that waiting requests and the stock can use."""
        is_stocked = (
            self._is_stocked(incarnation, holder, now_ms)
            and self._pace_wait_ms(incarnation, holder, now_ms) <= MAX_STOCK_WAIT_MS
        )
        return max(int(is_stocked), self._waiting_or_busy(holder, now_ms))

    def _waiting_or_busy(self, holder: _HolderState, now_ms: int) -> int:
        """Return the permits that waiting requests and recent sends call for."""
        while holder.sends_ms and holder.sends_ms[0] <= now_ms - USE_WINDOW_MS:
            holder.sends_ms.popleft()
        stock = len(holder.sends_ms) * STOCK_MS // USE_WINDOW_MS
        waiting = holder.demand.waiting if holder.demand is not None else 0
        return max(waiting, stock)

    def _wanted(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> int:
        """Return the permits to ask for, less those in hand."""
        usable = self._usable(incarnation, holder, now_ms)
        in_hand = len(self._valid_permits(incarnation, now_ms))
        return min(permit_pacer.MAX_WANTED, max(0, usable - in_hand))

    def _is_stocked(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> bool:
        """Return whether a permit for a server is wanted before a request needs it.

        Not for a server that is limited only while it is cold: it is warm after some
        seconds, and the asks of fifty gateways for the servers of a data centre would
        take a third of the processor time of the smallest ones.
        """
        return self._limits.is_named(incarnation) and self._is_interested(
            holder, now_ms
        )

    def _is_interested(self, holder: _HolderState, now_ms: int) -> bool:
        """Return whether a request could lately have used a permit."""
        return (
            holder.interest_ms is not None
            and now_ms - holder.interest_ms < USE_WINDOW_MS
        )

    def _surplus(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> int:
        """Return the permits in hand that can't be used; a trial is kept."""
        permits = self._valid_permits(incarnation, now_ms)
        if any(permit.is_trial for permit in permits):
            return 0
        return max(0, len(permits) - self._usable(incarnation, holder, now_ms))

    def _is_ask_due(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> bool:
        if holder.asked_ms is not None:
            if now_ms - holder.asked_ms < MIN_ASK_INTERVAL_MS:
                return False
            if now_ms - holder.asked_ms >= permit_pacer.ASK_MS:
                holder.outstanding = 0
        return self._needs_ask(incarnation, holder, now_ms)

    def _needs_ask(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> bool:
        """Return whether the issuer should know of another demand or a surplus."""
        wanted = self._wanted(incarnation, holder, now_ms)
        in_hand = len(self._valid_permits(incarnation, now_ms))
        needed = self._waiting_or_busy(holder, now_ms) - in_hand
        return (
            needed > holder.outstanding
            or wanted < holder.outstanding
            or self._surplus(incarnation, holder, now_ms) > 0
        )

    def _make_ask(
        self, incarnation: servers.Incarnation, holder: _HolderState, now_ms: int
    ) -> permit_pacer.Ask:
        for number, expires_ms in tuple(holder.number_expiry_ms.items()):
            if expires_ms <= now_ms:
                del holder.number_expiry_ms[number]
        surplus = self._surplus(incarnation, holder, now_ms)
        for _ in range(surplus):
            holder.permits.popleft()
        self._count_by_event[PermitEvent.RETURNED] += surplus
        wanted = self._wanted(incarnation, holder, now_ms)
        holder.outstanding = wanted
        holder.asked_ms = now_ms
        demand = holder.demand
        rank = permit_pacer.STOCK_RANK if wanted else permit_pacer.STANDING_RANK
        waited_ms = 0
        if demand is not None:
            rank = demand.rank
            waited_ms = max(0, now_ms - demand.since_ms)
        return permit_pacer.Ask(
            incarnation, wanted, rank, waited_ms, now_ms, returned=surplus
        )
