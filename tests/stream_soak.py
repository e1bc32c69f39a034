"""Seeded soak of resumed streams while software versions come and leave.

`python -m tests.stream_soak FIRST COUNT` runs the seeds from FIRST on, prints a line
for each violation and exits with 1 if there is any.
"""

import random
import sys
from typing import Final

from bench import stream_patterns, stream_policies, stream_simulation
from quincecrank.gateway import servers

DURATION_MS: Final = 30_000
FAULTS_UNTIL_MS: Final = 24_000
SIZES: Final = (4, 6, 10, 20)
OUT_OF_STEP_SIZES: Final = (6, 20, 45)
MAX_JOINED: Final = 2
MIN_RESUMED: Final = 12


_KINDS: Final = (
    stream_patterns.FaultKind.KILL,
    stream_patterns.FaultKind.CUT,
    stream_patterns.FaultKind.FREEZE,
    stream_patterns.FaultKind.ROWS_LATE,
    stream_patterns.FaultKind.STORE_AWAY,
    stream_patterns.FaultKind.RESTORE,
)


def make_pattern(
    seed: int, make: stream_patterns.PolicyMaker = stream_policies.Listed
) -> stream_patterns.Pattern:
    """Return a random load with releases and faults that overlap."""
    generator = random.Random(seed)
    gateways = generator.choice(SIZES)
    count = generator.randint(4, 8)
    return stream_patterns.Pattern(
        seed,
        make,
        gateways=gateways,
        servers=count,
        broken_share=generator.choice((0.0, 0.1, 0.3)),
        dropped_share=generator.choice((0.05, 0.2)),
        loss=generator.choice((0.0, 0.03, 0.2)),
        duration_ms=DURATION_MS,
        faults=tuple(
            _make_fault(generator, gateways) for _ in range(generator.randrange(6))
        ),
        changes=(*_make_releases(generator, count), *_make_crashes(generator, count)),
    )


def out_of_step_faults(
    gateways: int, from_ms: int, until_ms: int
) -> dict[str, tuple[stream_patterns.Fault, ...]]:
    """Return faults by name in which gateway 1, or more, is out of step."""
    kinds = stream_patterns.FaultKind
    others = tuple(each for each in range(gateways) if each != 1)
    half = others[: len(others) // 2]
    several = tuple(range(1, 1 + max(2, gateways // 4)))

    def fault(
        kind: stream_patterns.FaultKind,
        some: tuple[int, ...] = (1,),
        peers: tuple[int, ...] = (),
        later_ms: int = 0,
    ) -> stream_patterns.Fault:
        return stream_patterns.Fault(kind, from_ms + later_ms, until_ms, some, peers)

    return {
        "cut": (fault(kinds.CUT),),
        "suspended": (fault(kinds.FREEZE),),
        "several cut": (fault(kinds.CUT, several),),
        "several suspended": (fault(kinds.FREEZE, several),),
        "writer suspended": (fault(kinds.FREEZE, (0,)),),
        "writer and one suspended": (fault(kinds.FREEZE, (0, 1)),),
        "no store": (fault(kinds.STORE_CUT),),
        "no store, half of the peers": (
            fault(kinds.STORE_CUT),
            fault(kinds.PEERS_CUT, peers=half),
        ),
        "half of the peers": (fault(kinds.PEERS_CUT, peers=half),),
        "mute": (fault(kinds.MUTE),),
        "deaf": (fault(kinds.DEAF),),
        "mute, no store": (fault(kinds.MUTE), fault(kinds.STORE_CUT)),
        "deaf, no store": (fault(kinds.DEAF), fault(kinds.STORE_CUT)),
        "peers, then store": (
            fault(kinds.PEERS_CUT, peers=others),
            fault(kinds.STORE_CUT, later_ms=700),
        ),
        "store, then peers": (
            fault(kinds.STORE_CUT),
            fault(kinds.PEERS_CUT, peers=others, later_ms=700),
        ),
        "just started, then cut": (
            stream_patterns.Fault(kinds.KILL, from_ms - 700, from_ms - 200, (1,)),
            fault(kinds.CUT),
        ),
        "store restored beside a cut": (
            fault(kinds.CUT),
            stream_patterns.Fault(kinds.RESTORE, from_ms + 2_500, from_ms + 4_000),
        ),
        "most without store": (
            fault(kinds.STORE_CUT, others[len(others) // 4 :] + (1,)),
            fault(
                kinds.PEERS_CUT,
                others[len(others) // 4 :] + (1,),
                others[: len(others) // 4],
            ),
        ),
    }


def make_out_of_step_pattern(
    seed: int,
    name: str,
    gateways: int,
    make: stream_patterns.PolicyMaker = stream_policies.Listed,
) -> stream_patterns.Pattern:
    """Return a release while gateways are out of step, to which callers return."""
    generator = random.Random(f"{seed} {name} {gateways}")
    release_ms = 6_000
    from_ms = release_ms + generator.randint(-1_500, 1_500)
    until_ms = from_ms + generator.choice((1_200, 2_000, 3_000, 6_000))
    return stream_patterns.Pattern(
        seed,
        make,
        gateways=gateways,
        servers=6,
        per_second=max(34.0, 2.0 * gateways),
        broken_share=0.5,
        slow_share=0.1,
        duration_ms=15_000,
        faults=out_of_step_faults(gateways, from_ms, until_ms)[name],
        changes=stream_patterns.release(
            release_ms,
            generator.choice((3, 3, 6)),
            generator.choice((10, 300)),
            old=range(6),
            stay_ms=generator.choice((0, 1_000, 4_000)),
        ),
        resumed_at=(1,),
    )


def out_of_step_violations(seed: int, name: str, gateways: int) -> list[str]:
    """Run one seed of a fault; return a line for each violation, any joined stream."""
    pattern = make_out_of_step_pattern(seed, name, gateways)
    result = stream_simulation.simulate(pattern)
    lines = result_lines(result)
    if 0 < result.joined <= MAX_JOINED:
        lines.append(f"ORDER: {result.joined} streams joined from two versions")
    return [f"{name}, {gateways} gateways, seed {seed}: {line}" for line in lines]


def _make_releases(
    generator: random.Random, count: int
) -> list[stream_patterns.ServerChange]:
    """Return releases one after the other, of all servers or of some."""
    changes: list[stream_patterns.ServerChange] = []
    serving = list(range(count))
    at_ms = generator.randint(3_000, 8_000)
    for number in range(generator.randint(1, 3)):
        replaced = generator.choice((1, count // 2, count))
        gap_ms = generator.choice((10, 300, 2_000, 5_000))
        first_new = 100 * (number + 1)
        changes += stream_patterns.release(
            at_ms,
            replaced,
            gap_ms,
            old=serving,
            version=servers.SoftwareVersion(f"v{number + 2}"),
            first_new=first_new,
            stay_ms=generator.choice((0, 500, 2_000, 6_000)),
        )
        serving = [*serving[replaced:], *range(first_new, first_new + replaced)]
        at_ms += generator.randint(1_000, 12_000)
    return changes


def _make_crashes(
    generator: random.Random, count: int
) -> list[stream_patterns.ServerChange]:
    """Return crashes of servers, some of which start again at another version."""
    return [
        stream_patterns.ServerChange(
            generator.randint(2_000, FAULTS_UNTIL_MS),
            generator.randrange(count),
            stream_patterns.ChangeKind.CRASH,
            generator.choice((stream_patterns.FIRST_VERSION, stream_patterns.V2)),
            generator.choice((300, 1_000, 3_000)),
        )
        for _ in range(generator.randrange(4))
    ]


def _make_fault(generator: random.Random, gateways: int) -> stream_patterns.Fault:
    kind = generator.choice(_KINDS)
    from_ms = generator.randint(4_000, FAULTS_UNTIL_MS)
    count = generator.choice((1, max(1, gateways // 4), gateways // 2))
    some = tuple(generator.sample(range(gateways), count))
    shortest_ms, longest_ms = 500, 6_000
    if kind is stream_patterns.FaultKind.KILL:
        shortest_ms, longest_ms = 1_000, 3_000
        if generator.random() < 0.6:
            some = tuple(range(gateways))
    elif kind is stream_patterns.FaultKind.CUT:
        longest_ms = 10_000
    until_ms = from_ms + generator.randint(shortest_ms, longest_ms)
    return stream_patterns.Fault(kind, from_ms, until_ms, some)


def result_lines(result: stream_patterns.Result) -> list[str]:
    """Return a line for each rule that a run breaks."""
    found = []
    if result.joined > MAX_JOINED:
        found.append(f"ORDER: {result.joined} streams joined from two versions")
    if result.resumed >= MIN_RESUMED:
        share = result.went_on / result.resumed
        begun = result.begun / max(1, result.arrived)
        if share < begun / 2:
            found.append(
                f"LOST: of {result.resumed} resumed streams {share:.2f} went on,"
                f" of {result.arrived} new ones {begun:.2f} began"
            )
    return found


def violations(
    seed: int, make: stream_patterns.PolicyMaker = stream_policies.Listed
) -> list[str]:
    """Run one seed; return a line for each violation."""
    result = stream_simulation.simulate(make_pattern(seed, make))
    return [f"seed {seed}: {line}" for line in result_lines(result)]


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
