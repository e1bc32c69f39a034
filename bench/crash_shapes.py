"""Compares ways to find a part of prompts that crashes servers, in a seeded simulation.

`python -m bench.crash_shapes [SEEDS]` prints a line for each way and load: servers
ended by the part, sends of it later than `CONTACT_MS` after the fifth crash, time to
the finding, sound requests rejected, sound ones begun at the first attempt, and wrong
findings.  `python -m bench.crash_shapes false [SEEDS]` prints wrong findings an hour
while servers end for other reasons only.
"""

import functools
import sys
from collections.abc import Mapping
from typing import Final

from bench import crash_simulation
from quincecrank.gateway import crash_findings, crash_suspicions

MS_PER_HOUR: Final = 3_600_000


class InSequence(crash_suspicions.CrashSuspicions):
    """Counts a crash only if its request was sent after the crash before it."""

    def _counted(
        self, key: crash_findings.SuspectKey
    ) -> list[crash_suspicions.CrashRecord]:
        counted: list[crash_suspicions.CrashRecord] = []
        for record in super()._counted(key):
            if not counted or record.sent_ms >= counted[-1].at_ms:
                counted.append(record)
        return counted


class Likelihood(crash_suspicions.CrashSuspicions):
    """Weighs each crash by the requests beside it: one of few is likelier at fault."""

    def _found_scope(
        self, key: crash_findings.SuspectKey
    ) -> tuple[crash_findings.Scope, list[crash_suspicions.CrashRecord]] | None:
        counted = self._counted(key) if key in self._records_by_key else []
        beside = [
            len(
                {
                    each.request
                    for records in self._records_by_key.values()
                    for each in records
                    if each.server == record.server and each.parts
                }
            )
            for record in counted
        ]
        scope = crash_findings.Scope(key)
        if len(counted) < 2 or sum(1 / each for each in beside if each) < 1.0:
            return None
        return None if self.findings.find(scope) else (scope, counted)


class WholeRequests(crash_suspicions.CrashSuspicions):
    """Counts whole requests only."""

    def _add(
        self,
        key: crash_findings.SuspectKey,
        record: crash_suspicions.CrashRecord,
        now_ms: int,
    ) -> bool:
        return not crash_findings.is_part(key) and super()._add(key, record, now_ms)


def may_send_alone(
    suspicions: crash_suspicions.CrashSuspicions,
    subject: crash_suspicions.Subject,
    running: set[crash_findings.SuspectKey],
) -> bool:
    """Return whether no other request with a suspected part of it is running."""
    return suspicions.may_repeat(subject) or not running.intersection(subject.parts)


WAYS: Final[Mapping[str, Mapping[str, object]]] = {
    "parts, three": {},
    "parts, two": {
        "make": functools.partial(crash_suspicions.CrashSuspicions, crash_limit=2)
    },
    "parts, four": {
        "make": functools.partial(crash_suspicions.CrashSuspicions, crash_limit=4)
    },
    "parts, three in sequence": {"make": InSequence},
    "likelihood": {"make": Likelihood},
    "one suspect at a time": {"may_send": may_send_alone},
    "no repeats": {"repeats": False},
    "whole requests": {"make": WholeRequests},
}

TWO_PARTS: Final = (("system", "document-7", "bad"), ("system", "bad-2", "document-9"))
LOADS: Final[Mapping[str, Mapping[str, object]]] = {
    "4 gateways": {"gateways": 4},
    "10 gateways": {},
    "45 gateways": {"gateways": 45, "servers": 22, "per_second": 200.0},
    "68 gateways": {"gateways": 68, "servers": 30, "per_second": 300.0},
    "share .005": {"share": 0.005},
    "share .3": {"share": 0.3},
    "loss .3": {"loss": 0.3},
    "one frozen": {"frozen": 1},
    "one starts": {"late": 1},
    "two parts": {"crash_parts": TWO_PARTS},
    "first part": {"crash_parts": (("bad", "document-7"), ("bad", "document-9"))},
    "other crashes": {"crashes_per_s": 0.5},
    "herd": {"herd": 4},
}


def compare(seeds: int) -> None:
    """Print a line for each way and load."""
    for load_name, load in LOADS.items():
        for way_name, way in WAYS.items():
            results = [
                crash_simulation.simulate(
                    crash_simulation.Pattern(seed, **{**load, **way})  # type: ignore[arg-type]
                )
                for seed in range(1, seeds + 1)
            ]
            found = [
                each.found_ms[0] - each.crash_ms[0] for each in results if each.found_ms
            ]
            sound = sum(each.sound for each in results)
            print(
                f"{load_name:<14} {way_name:<26}"
                f" ended {sum(len(each.crash_ms) for each in results) / seeds:5.1f}"
                f" late sends {max(each.late_sends for each in results):3}"
                f" found {len(found)}/{seeds}"
                f" after {sum(found) / len(found) if found else 0:5.0f} ms"
                f" refused {sum(each.refused for each in results) / sound:.4f}"
                f" begun {sum(each.begun for each in results) / sound:.3f}"
                f" wrong parts {sum(len(each.wrong_parts) for each in results)}"
                f" requests {sum(len(each.wrong_requests) for each in results)}",
                flush=True,
            )


def count_false_findings(seeds: int) -> None:
    """Print wrong findings an hour, with one crash a second for other reasons."""
    ways = ("parts, three", "parts, two", "parts, three in sequence")
    for gateways, servers, per_server in (
        (10, 9, 8), (10, 9, 32), (10, 9, 128), (68, 30, 8), (68, 30, 32),
    ):  # fmt: skip
        for way_name in ways:
            results = [
                crash_simulation.simulate(
                    crash_simulation.Pattern(
                        seed,
                        gateways=gateways,
                        servers=servers,
                        per_second=servers * per_server / 1.2,
                        share=0.0,
                        crashes_per_s=1.0,
                        documents=2_000,
                        duration_ms=60_000,
                        **WAYS[way_name],  # type: ignore[arg-type]
                    )
                )
                for seed in range(1, seeds + 1)
            ]
            wrong = sum(len(each.wrong_parts) for each in results)
            print(
                f"{gateways} gateways, {servers} servers, {per_server} requests each,"
                f" {way_name}: {wrong} in {seeds} minutes,"
                f" {wrong * MS_PER_HOUR / (seeds * 60_000):.1f} an hour",
                flush=True,
            )


def main() -> None:
    """Run the comparison that the arguments select."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["false"]:
        count_false_findings(int(arguments[1]) if arguments[1:] else 20)
        return
    compare(int(arguments[0]) if arguments else 3)


if __name__ == "__main__":
    main()
