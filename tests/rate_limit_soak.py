"""Seeded soak of rate limits: faults of gateways in series that overlap.

`python -m tests.rate_limit_soak FIRST COUNT` runs the seeds from FIRST on, prints a
line for each violation and exits with 1 if there is any.
"""

import random
import sys
from typing import Final

from bench import rate_limit_simulation
from tests import rate_limit_checker

DURATION_MS: Final = 30_000
FAULTS_UNTIL_MS: Final = 18_000
LIMITS_END_MS: Final = 20_000
"""Time after which no server names a limit, and every gateway must notice that."""

SIZES: Final = (4, 6, 10, 20)
LIMITS_PER_S: Final = (0.0, 0.1, 0.5, 1.0, 1.7, 2.0, 5.0, 20.0)


def make_pattern(seed: int) -> rate_limit_simulation.Pattern:
    """Return a random load with changing limits and faults that overlap."""
    generator = random.Random(seed)
    gateways = generator.choice(SIZES)
    return rate_limit_simulation.Pattern(
        seed=seed,
        gateways=gateways,
        per_second=generator.choice((10.0, 30.0, 60.0)),
        limits_by_server=tuple(
            _make_changes(generator) for _ in range(generator.choice((1, 2, 4)))
        ),
        duration_ms=DURATION_MS,
        busy_gateways=generator.choice((0, 0, 2)),
        slots=generator.choice((4, 64)),
        freezes=tuple(_make_freezes(gateways, generator)),
        cuts=tuple(_make_cuts(gateways, generator)),
        restarts=tuple(_make_restarts(gateways, generator)),
    )


def _make_changes(
    generator: random.Random,
) -> tuple[rate_limit_checker.LimitChange, ...]:
    """Return limits that begin, change and end, the last one by `LIMITS_END_MS`."""
    changes: list[rate_limit_checker.LimitChange] = []
    at_ms = generator.uniform(1_000, 4_000)
    while at_ms < LIMITS_END_MS:
        is_end = bool(changes) and generator.random() < 0.25
        limit = None if is_end else generator.choice(LIMITS_PER_S)
        changes.append(rate_limit_checker.LimitChange(at_ms, limit))
        at_ms += generator.uniform(2_000, 9_000)
    return (*changes, rate_limit_checker.LimitChange(LIMITS_END_MS, None))


def _make_freezes(
    gateways: int, generator: random.Random
) -> list[rate_limit_simulation.Freeze]:
    freezes = []
    for _ in range(generator.randrange(4)):
        from_ms = generator.uniform(1_000, FAULTS_UNTIL_MS)
        until_ms = from_ms + generator.choice((300, 1_000, 2_500))
        freezes.append(
            rate_limit_simulation.Freeze(
                generator.randrange(gateways), from_ms, until_ms
            )
        )
    return freezes


def _make_cuts(
    gateways: int, generator: random.Random
) -> list[rate_limit_simulation.Cut]:
    everyone = frozenset(range(gateways))
    cuts = []
    for _ in range(generator.randrange(3)):
        count = generator.choice((1, 1, gateways // 2))
        some = frozenset(generator.sample(range(gateways), count))
        from_ms = generator.uniform(1_000, FAULTS_UNTIL_MS)
        until_ms = min(FAULTS_UNTIL_MS, from_ms + generator.uniform(500, 6_000))
        directions = [(some, everyone - some), (everyone - some, some)]
        for senders, receivers in directions[: generator.choice((1, 2, 2))]:
            cuts.append(
                rate_limit_simulation.Cut(senders, receivers, from_ms, until_ms)
            )
    return cuts


def _make_restarts(
    gateways: int, generator: random.Random
) -> list[rate_limit_simulation.Restart]:
    restarts = []
    for gateway in generator.sample(range(gateways), generator.randrange(3)):
        ends_ms = generator.uniform(2_000, FAULTS_UNTIL_MS - 4_000)
        starts_ms = ends_ms + generator.choice((300, 1_000, 4_000))
        restarts.append(rate_limit_simulation.Restart(gateway, ends_ms, starts_ms))
    return restarts


def violations(seed: int) -> list[str]:
    """Run one seed; return a line for each violation.

    No fault of a gateway excuses it.
    """
    pattern = make_pattern(seed)
    result = rate_limit_simulation.simulate(pattern)
    found = []
    for number, server in enumerate(result.servers):
        found += rate_limit_checker.excess_requests(
            f"i-{number}", server.changes, server.arrivals, server.answers
        )
        if result.believing[number]:
            found.append(
                f"i-{number} has named no limit for {DURATION_MS - LIMITS_END_MS} ms,"
                f" assumed by {sorted(result.believing[number])}"
            )
    return [f"seed {seed}: {line}" for line in found]


def main() -> int:
    """Run the seeds given by the arguments; return 1 if any has a violation."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        found = violations(seed)
        failed += bool(found)
        for line in found:
            print(line, flush=True)
    print(f"{count - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
