"""Seeded soak of prompt parts that crash servers, in a simulation.

`python -m tests.crash_part_soak FIRST COUNT` runs the seeds from FIRST on, prints a
line for each violation and exits with 1 if there is any.
"""

import random
import sys
from typing import Final

from bench import crash_simulation
from tests import crash_part_checker

DURATION_MS: Final = 16_000
SIZES: Final = ((4, 5), (6, 9), (10, 9), (20, 16))
"""Gateways and servers."""

PROMPTS: Final = (
    (("system", "document-7", "bad"),),
    (("bad", "document-7"), ("bad", "document-9")),
    (("system", "bad", "document-3"), ("system", "bad", "document-150")),
    (("system", "document-7", "bad"), ("system", "bad-2", "document-9")),
)
"""Shared parts of the prompts that crash servers: at the end, first, between, two."""


def make_pattern(seed: int) -> crash_simulation.Pattern:
    """Return a random load with a part that crashes servers, beside other faults."""
    generator = random.Random(seed)
    gateways, servers = generator.choice(SIZES)
    return crash_simulation.Pattern(
        seed,
        gateways=gateways,
        servers=servers,
        per_second=generator.choice((30.0, 60.0, 90.0)),
        share=generator.choice((0.01, 0.05, 0.1, 0.3)),
        crash_parts=generator.choice(PROMPTS),
        crashes_per_s=generator.choice((0.0, 0.0, 0.2, 0.5)),
        herd=generator.choice((0, 0, 0, 3)),
        documents=generator.choice((50, 200, 1_000)),
        accounts=generator.choice((1, 6)),
        duration_ms=DURATION_MS,
        loss=generator.choice((0.0, 0.03, 0.2)),
        frozen=generator.choice((None, 1)),
        late=generator.choice((None, 2)),
    )


def excess_sends(result: crash_simulation.Result) -> list[str]:
    """Return a line for each part of which too many requests were sent."""
    return [
        f"{part}: {line}"
        for part, crashes_ms in result.crash_ms_by_part.items()
        for line in crash_part_checker.excess_sends(
            crashes_ms,
            [
                crash_part_checker.Send(at_ms, "")
                for at_ms in result.bad_sends_ms_by_part[part]
            ],
        )
    ]


def violations(seed: int) -> list[str]:
    """Run one seed; return a line for each violation."""
    result = crash_simulation.simulate(make_pattern(seed))
    found = excess_sends(result)
    found += [f"sound part found: {key}" for key in sorted(result.wrong_parts)]
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
