"""Compares ways to share a rate limit among gateways, in a seeded simulation.

`python -m bench.rate_limit_shapes [GATEWAYS...]` prints for each way, fleet size, limit
and fault the worst window of 4 s as a fraction of its allowance, the part of the limit
that is used while work waits, and the messages a second of one gateway, reports not
counted.
"""

import random
import sys
from collections.abc import Mapping
from typing import Final

from bench import rate_limit_simulation
from quincecrank import clock as clocks
from quincecrank import ids, rendezvous
from quincecrank.gateway import permit_pacer, rate_limits, send_permits, servers
from tests import rate_limit_checker

LIMITS_PER_S: Final = (0.5, 2.0, 10.0, 100.0)
GATEWAYS: Final = (6, 10, 20, 45, 68)
NAMED_MS: Final = 2_000
DURATION_MS: Final = 14_000
DEMAND_FACTOR: Final = 2.5
FAULTS: Final = ("none", "few callers", "cut", "killed", "two views")


class LocalPermits(send_permits.SendPermits):
    """Base of the ways in which each gateway decides alone by its view of the fleet."""

    def __init__(
        self,
        own_name: ids.VmName,
        limits: rate_limits.RateLimits,
        generator: random.Random,
    ) -> None:
        super().__init__(own_name, limits, generator)
        self._paced_ms_by_incarnation: dict[servers.Incarnation, float] = {}

    def share(self, incarnation: servers.Incarnation, per_second: float) -> float:
        """Return this gateway's part of a limit, in requests a second."""
        raise NotImplementedError

    def next_send_ms(self, incarnation: servers.Incarnation, now_ms: int) -> float:
        """Return the time of the next send to a limited server."""
        share = self.share(incarnation, self._limits.limit_of(incarnation) or 0.0)
        if not share:
            return float("inf")
        paced_ms = self._paced_ms_by_incarnation.get(incarnation, 0.0)
        return paced_ms + clocks.MS_PER_SECOND / share

    def allows(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        """Return whether this gateway's part allows a request now."""
        if self._limits.limit_of(incarnation) is None:
            return True
        return self.next_send_ms(incarnation, now_ms) <= now_ms

    def has_trial(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        """Return False: there are no trials."""
        return False

    def take(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> send_permits.Permit | None:
        """Count a request."""
        if self._limits.limit_of(incarnation) is None:
            return None
        self._paced_ms_by_incarnation[incarnation] = float(now_ms)
        return send_permits.Permit(incarnation, now_ms + send_permits.PERMIT_MS)

    def due_asks(self, now_ms: int) -> dict[ids.VmName, tuple[permit_pacer.Ask, ...]]:
        """Return nothing: no gateway asks another."""
        return {}

    def asks_to_report(self, now_ms: int) -> tuple[permit_pacer.Ask, ...]:
        """Return nothing: no gateway asks another."""
        return ()

    def ms_until_due(self, now_ms: int) -> float | None:
        """Return None: nothing is exchanged."""
        return None

    def expected_wait_ms(self, incarnation: servers.Incarnation, now_ms: int) -> float:
        """Return the time until this gateway's part allows a request."""
        return max(0.0, self.next_send_ms(incarnation, now_ms) - now_ms)


class EqualShares(LocalPermits):
    """Each live gateway sends its equal share."""

    def share(self, incarnation: servers.Incarnation, per_second: float) -> float:
        """Return an equal share."""
        return per_second / len(self._candidates)


class FewSenders(LocalPermits):
    """As many gateways as the limit has requests a second send, the others don't."""

    def share(self, incarnation: servers.Incarnation, per_second: float) -> float:
        """Return the share of a sender, 0 for other gateways."""
        count = min(len(self._candidates), max(1, int(per_second)))
        senders = rendezvous.ranked(incarnation.server_id, self._candidates, count)
        return per_second / count if self._own_name in senders else 0.0


class RotatingSlots(LocalPermits):
    """The live gateways take turns, in time slots of one request each."""

    def share(self, incarnation: servers.Incarnation, per_second: float) -> float:
        """Return the whole limit, as one gateway sends at a time."""
        return per_second

    def next_send_ms(self, incarnation: servers.Incarnation, now_ms: int) -> float:
        """Return the start of this gateway's next unused slot."""
        per_second = self._limits.limit_of(incarnation) or 0.0
        if not per_second:
            return float("inf")
        slot_ms = clocks.MS_PER_SECOND / per_second
        ranked = sorted({*self._candidates, self._own_name})
        rank = ranked.index(self._own_name)
        slot = int(now_ms / slot_ms)
        turn_ms = (slot + (rank - slot) % len(ranked)) * slot_ms
        last_ms = self._paced_ms_by_incarnation.get(incarnation, -slot_ms)
        if last_ms >= turn_ms:
            turn_ms += slot_ms * len(ranked)
        return turn_ms


SHAPES: Final[Mapping[str, rate_limit_simulation.PermitsMaker]] = {
    "issuer": send_permits.SendPermits,
    "few senders": FewSenders,
    "slots": RotatingSlots,
    "equal shares": EqualShares,
}


def make_pattern(
    shape: str, gateways: int, per_second: float, fault: str, seed: int = 1
) -> rate_limit_simulation.Pattern:
    """Return the load, limit and fault of one comparison."""
    everyone = frozenset(range(gateways))
    half = frozenset(range(gateways // 2))
    cuts: tuple[rate_limit_simulation.Cut, ...] = ()
    if fault == "cut":
        alone = frozenset({0})
        cuts = (
            rate_limit_simulation.Cut(alone, everyone, 4_000, DURATION_MS),
            rate_limit_simulation.Cut(everyone, alone, 4_000, DURATION_MS),
        )
    if fault == "two views":
        cuts = (
            rate_limit_simulation.Cut(half, everyone - half, 4_000, 11_000),
            rate_limit_simulation.Cut(everyone - half, half, 4_000, 11_000),
        )
    restarts: tuple[rate_limit_simulation.Restart, ...] = ()
    if fault == "killed":
        issuer = rendezvous.ranked("i-0", [f"gateway-{n}" for n in everyone], 1)[0]
        number = int(issuer.rpartition("-")[2])
        restarts = (rate_limit_simulation.Restart(number, 6_000, float("inf")),)
    return rate_limit_simulation.Pattern(
        seed=seed,
        gateways=gateways,
        per_second=max(10.0, DEMAND_FACTOR * per_second),
        limits_by_server=((rate_limit_checker.LimitChange(NAMED_MS, per_second),),),
        duration_ms=DURATION_MS,
        busy_gateways=max(2, gateways // 5) if fault == "few callers" else 0,
        cuts=cuts,
        restarts=restarts,
        make_permits=SHAPES[shape],
    )


def compare(shape: str, gateways: int, per_second: float, fault: str) -> str:
    """Return one line of figures."""
    pattern = make_pattern(shape, gateways, per_second, fault)
    result = rate_limit_simulation.simulate(pattern)
    server = result.servers[0]
    worst = server.worst_window()
    from_ms = NAMED_MS + rate_limit_checker.CONTACT_MS
    seconds = (DURATION_MS - from_ms) / clocks.MS_PER_SECOND
    used = server.requests_between(from_ms, DURATION_MS) / seconds / per_second
    messages = result.messages / (DURATION_MS - NAMED_MS) * clocks.MS_PER_SECOND
    return (
        f"{shape:<13} {gateways:>4} {per_second:>6} {fault:<12}"
        f" {worst.ratio if worst else 0.0:>6.2f} {used:>6.2f}"
        f" {messages / gateways:>8.2f}"
    )


def main() -> None:
    """Print the comparison for the fleet sizes given as arguments."""
    sizes = [int(each) for each in sys.argv[1:]] or GATEWAYS
    print("way           size  limit fault         worst   used messages")
    for gateways in sizes:
        for per_second in LIMITS_PER_S:
            for fault in FAULTS:
                for shape in SHAPES:
                    print(compare(shape, gateways, per_second, fault), flush=True)


if __name__ == "__main__":
    main()
