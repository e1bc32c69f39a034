"""Seeded soak of shutdowns with real gateway processes and callers on kept connections.

`python -m tests.shutdown_process_soak FIRST COUNT [GATEWAYS [SECONDS]]` runs the seeds
from FIRST on, prints a line for each violation with the folder of the logs, and exits
with 1 if there is any.

Gateways get SIGTERM in series, one, some or all of them, and start again when they have
ended; SIGHUPs and versions of the configuration come in series.  Event loops run late
by stops of the process around its shutdown and by many new connections.  A share of the
answers takes seconds.  All of this overlaps.
"""

import collections
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Final

from standins import launcher, platform_fleet
from standins import platform_kept_callers as kept_callers
from tests import mutable_fleet, shutdown_checker

RECORD_SERVERS: Final = 4
ENGINES: Final = 3
KEPT_CALLERS: Final = 48
"""Kept callers of all gateways together; each gateway has at least three."""

MIN_KEPT_CALLERS: Final = 3
NEW_PER_S: Final = 100.0
BURST_FACTOR: Final = 5.0
BURST_S: Final = 1.5
GRACE_S: Final = shutdown_checker.GRACE_MS / 1_000
READY_LIMIT_S: Final = 60.0
POLL_S: Final = 0.02
PORT_IN_USE: Final = "Address already in use"
PORT_PAUSE_S: Final = 1.0
ROTATION_S: Final = 2.8
"""Time after the signal in which the balancer takes a gateway out of rotation."""

STOPS_S: Final = ((0.05, 0.25), (0.1, 0.6), (0.4, 0.6), (0.4, 0.6))
"""Stopped and running time of a process whose loop runs late."""

STARVED_STOPS_S: Final = ((0.25, 0.05), (0.6, 0.1))
"""The same of a process that runs for a sixth or a seventh of the time."""

STARVED_FROM_SEED: Final = 600
"""First seed that draws from `STARVED_STOPS_S`."""

PAUSE_S: Final = 0.5
"""Time for which a process without such stops is stopped as its rotation ends."""

MAX_STOPS_BEFORE_S: Final = 2.0
STOPS_SHARE: Final = 0.5
ANSWERS_MS: Final = (0, 200, 1_000, 3_000, 4_500, 6_000)

Steps = list[tuple[float, Callable[[], None]]]
Act = shutdown_checker.Act
wall_ms = kept_callers.wall_ms


class Soak:
    """One run with a seed.

    Parameters
    ----------
    gateways : int
        Number of gateway processes.
    duration_s : float
        Time in which shutdowns begin.

    Attributes
    ----------
    figures : str
        Counts of the run, for the reader.
    operations : list of Operation
        What was done to the gateways.
    callers : KeptCallers
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        seed: int,
        gateways: int,
        duration_s: float,
    ) -> None:
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._stops_s = STARVED_STOPS_S if seed >= STARVED_FROM_SEED else STOPS_S
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._duration_s = duration_s
        self._busy: set[str] = set()
        self._servers: list[launcher.Process] = []
        self._helpers: list[threading.Thread] = []
        self._configuration = 1
        self._failures: list[str] = []
        self.figures = ""
        self.operations: list[shutdown_checker.Operation] = []
        self.callers = kept_callers.KeptCallers(
            fleet, seed, max(MIN_KEPT_CALLERS, KEPT_CALLERS // gateways), NEW_PER_S
        )

    def run(self) -> list[str]:
        """Return a line for each violation."""
        for number in range(RECORD_SERVERS):
            self._servers.append(self._fleet.add_server(f"record-{number}", "records"))
        for number in range(ENGINES):
            self._servers.append(self._fleet.add_server(f"engine-{number}", "drafting"))
        self._change_answers()
        for name in self._names:
            self._fleet.add_gateway(name)
        for name in self._names:
            self._wait_ready(name)
        with self.callers:
            started = time.monotonic()
            for at_s, step in self._plan():
                time.sleep(max(0.0, started + at_s - time.monotonic()))
                step()
            for helper in self._helpers:
                helper.join()
        for name in self._names:
            self._fleet.process_by_name[name].kill()
        servers = shutdown_checker.read_logs(each.log() for each in self._servers)
        self._count(servers)
        return self._failures + shutdown_checker.violations(
            self.callers.requests, servers, self.operations
        )

    def timeline(self) -> str:
        """Return a line for each operation and each request."""
        lines = [(e.at_ms, f"{e.gateway} {e.act.value}") for e in self.operations]
        lines += [
            (each.sent_ms, f"{each.request_id} {each.kind.value} kept={each.is_kept}"
             f" ended={each.ended_ms:.0f} status={each.status} {each.ending}")
            for each in self.callers.requests
        ]  # fmt: skip
        return "".join(f"{at_ms:.0f} {text}\n" for at_ms, text in sorted(lines))

    def _plan(self) -> Steps:
        """Return the steps of this seed with their times."""
        draw = self._generator
        steps: Steps = []
        kinds = (
            (self._terminate_series, 2.0, 6.0),
            (self._reload_series, 1.0, 4.0),
            (self._configuration_series, 1.0, 4.0),
            (self._burst, 2.0, 6.0),
            (self._change_answers, 2.0, 5.0),
        )
        for step, least_s, most_s in kinds:
            at_s = draw.uniform(0.5, least_s + 1.0)
            while at_s < self._duration_s:
                steps.append((at_s, step))
                at_s += draw.uniform(least_s, most_s)
        return sorted(steps, key=lambda step: step[0])

    def _help(self, function: Callable[..., None], *given: object) -> None:
        helper = threading.Thread(target=function, args=given)
        helper.start()
        self._helpers.append(helper)

    def _note(self, gateway: str, act: shutdown_checker.Act) -> None:
        self.operations.append(shutdown_checker.Operation(wall_ms(), gateway, act))

    # Servers, configuration and callers

    def _change_answers(self) -> None:
        for server in self._servers:
            self._fleet.set_faults(
                server,
                answer_ms=self._generator.choice(ANSWERS_MS),
                slow_answers=self._generator.choice((0.02, 0.1, 0.3)),
                event_ms=self._generator.choice((10, 40, 150)),
            )

    def _configuration_series(self) -> None:
        for _ in range(self._generator.randint(1, 4)):
            self._configuration += 1
            number = self._configuration
            added = platform_fleet.route(
                f"r-n{number}", f"/n{number}/", "drafting", "streaming"
            )
            self._note("", Act.WRITE)
            document = platform_fleet.configuration(number, added)
            self._fleet.write_operator_row("config", document)
            self._note("", Act.ACKNOWLEDGE)

    def _reload_series(self) -> None:
        count = self._generator.randint(1, len(self._names))
        for name in self._generator.sample(self._names, count):
            # A gateway that has just started has no handler of the signal yet.
            if self._is_served(name):
                self._note(name, Act.RELOAD)
                self._fleet.process_by_name[name].reload()

    def _burst(self) -> None:
        self._help(self._open_many)

    def _open_many(self) -> None:
        self.callers.burst_factor = BURST_FACTOR
        time.sleep(BURST_S)
        self.callers.burst_factor = 1.0

    # Gateways

    def _terminate_series(self) -> None:
        """Shut down one, some or all of the gateways that serve, one after another."""
        draw = self._generator
        idle = [name for name in self._names if name not in self._busy]
        count = draw.choice((1, (len(idle) + 1) // 2, len(idle)))
        gap_s = draw.choice((0.0, 0.1, 0.67))
        for number, name in enumerate(draw.sample(idle, min(count, len(idle)))):
            self._busy.add(name)
            stops_s = (
                draw.choice(self._stops_s) if draw.random() < STOPS_SHARE else None
            )
            before_s = draw.uniform(0.0, MAX_STOPS_BEFORE_S) if stops_s else 0.0
            down_s = draw.uniform(0.1, 1.0)
            given = number * gap_s, stops_s, before_s, down_s
            self._help(self._shut_down, name, *given)

    def _shut_down(
        self,
        name: str,
        wait_s: float,
        stops_s: tuple[float, float] | None,
        before_s: float,
        down_s: float,
    ) -> None:
        """Shut a gateway down as the operator does, and start it again."""
        time.sleep(wait_s)
        process = self._fleet.process_by_name[name]
        stopping = threading.Thread(target=self._stop_often, args=(process, stops_s))
        stopping.start()
        time.sleep(before_s)
        self._note(name, Act.TERMINATE)
        signalled_s = time.monotonic()
        process.terminate()
        is_in_rotation = True
        is_to_pause = stops_s is None
        while process.running and time.monotonic() < signalled_s + GRACE_S:
            pause_s = signalled_s + ROTATION_S - PAUSE_S / 2
            if is_to_pause and time.monotonic() > pause_s:
                is_to_pause = False
                self._note(name, Act.STOP)
                process.freeze()
                time.sleep(PAUSE_S)
                process.thaw()
                self._note(name, Act.CONTINUE)
            if is_in_rotation and time.monotonic() > signalled_s + ROTATION_S:
                is_in_rotation = False
                self.callers.left_gateways.add(name)
            time.sleep(POLL_S)
        if process.running:
            self._note(name, Act.KILL)
            process.kill()
        self._note(name, Act.END)
        stopping.join()
        time.sleep(down_s)
        self._fleet.add_gateway(name)
        self._wait_ready(name)
        self.callers.left_gateways.discard(name)
        self._busy.discard(name)

    def _stop_often(
        self, process: launcher.Process, stops_s: tuple[float, float] | None
    ) -> None:
        """Stop and continue a process in turn until it has ended."""
        while stops_s is not None and process.running:
            self._note(process.name, Act.STOP)
            process.freeze()
            time.sleep(stops_s[0])
            process.thaw()
            self._note(process.name, Act.CONTINUE)
            time.sleep(stops_s[1])

    def _is_served(self, name: str) -> bool:
        process = self._fleet.process_by_name[name]
        return process.running and '"event": "started"' in process.log()

    def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_LIMIT_S
        while not self._fleet.is_ready(name):
            process = self._fleet.process_by_name[name]
            if not process.running and PORT_IN_USE in process.log():
                # Another process of the machine has it for a while.
                time.sleep(PORT_PAUSE_S)
                self._fleet.add_gateway(name)
            if time.monotonic() > deadline:
                self._failures.append(f"START: {name} is not ready")
                return
            time.sleep(0.1)

    def _count(self, servers: shutdown_checker.ServerRecord) -> None:
        requests = self.callers.requests
        endings = collections.Counter(
            each.ending.value if each.ending else "open" for each in requests
        )
        statuses = collections.Counter(each.status for each in requests if each.status)
        acts = collections.Counter(each.act.value for each in self.operations)
        kept = sum(each.is_kept for each in requests)
        self.figures = (
            f"{len(requests)} requests, {kept} on kept connections,"
            f" {len(servers.arrived_ids)} passed on, {dict(endings)},"
            f" {dict(sorted(statuses.items()))}, {dict(acts)}"
        )


def violations(seed: int, gateways: int, duration_s: float) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation.

    The logs are kept if there is any.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"shutdowns-{seed}-"))
    with mutable_fleet.MutableFleet(folder) as fleet:
        soak = Soak(fleet, seed, gateways, duration_s)
        found = soak.run()
    print(f"seed {seed}: {soak.figures}", flush=True)
    if not found:
        shutil.rmtree(folder)
        return []
    (folder / "timeline.txt").write_text(soak.timeline())
    return [f"seed {seed}: {line} ({folder})" for line in found]


def main() -> int:
    """Run the seeds given by the arguments; return 1 if any has a violation."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    gateways = int(sys.argv[3]) if sys.argv[3:] else 5
    duration_s = float(sys.argv[4]) if sys.argv[4:] else 20.0
    failed = 0
    for seed in range(first, first + count):
        found = violations(seed, gateways, duration_s)
        failed += bool(found)
        for line in found:
            print(line, flush=True)
    print(f"{count - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
