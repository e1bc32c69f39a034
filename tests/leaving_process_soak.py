"""Seeded soak of open streams at gateway processes that shut down.

`python -m tests.leaving_process_soak FIRST COUNT [GATEWAYS [SECONDS]]` runs the seeds
from FIRST on, prints a line for each violation with the folder of the logs, and exits
with 1 if there is any; see `leaving_checker` for the rules.

Gateways get SIGTERM alone and in rolls, beside SIGHUP and new configurations, and start
again when they have ended.  The time from the signal to its notice is a figure of its
own: the process is stopped for a drawn time, and the signal lies anywhere in it.
Further stops lie across the limits of the shutdown.  Servers leave, are killed, are
silent and break off.
"""

import collections
import dataclasses
import math
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
from tests import leaving_callers, leaving_checker, mutable_fleet, shutdown_checker

SERVERS: Final = 6
SLOTS: Final = 16
CALLERS: Final = 56
EVENTS_MS: Final = (50, 60, 70)
"""Intervals of the events of a stream."""

SILENCES_MS: Final = (0, 0, 800, 1_200)
SILENT_SHARE: Final = 0.1
BREAK_SHARE: Final = 0.04
DRAIN_S: Final = 2.5
"""Time from the entry of a server that leaves to its end."""

BEFORE_S: Final = 3.0
"""Time in which streams begin before the first shutdown."""

GRACE_S: Final = shutdown_checker.GRACE_MS / 1_000
ROTATION_S: Final = 2.8
READY_LIMIT_S: Final = 60.0
POLL_S: Final = 0.02
PORT_IN_USE: Final = "Address already in use"
PORT_PAUSE_S: Final = 1.0

MAX_NOTICE_S: Final = 1.25
LATE_NOTICE_S: Final = (1.33, 2.2)
LATE_NOTICE_EVERY: Final = 5
"""One in so many seeds draws notices from `LATE_NOTICE_S`."""

STARVED_EVERY: Final = 7
"""One in so many seeds has stops in series."""

STARVED_STOPS_S: Final = ((0.25, 0.05), (0.6, 0.1))
"""Stopped and running time of a gateway that is starved."""

LIMITS_S: Final = (2.8, 0.84 * GRACE_S, 0.9 * GRACE_S, 0.93 * GRACE_S, 0.96 * GRACE_S)
LIMIT_STOP_SHARE: Final = 0.35
MAX_LIMIT_STOP_S: Final = 1.3
LAST_STOP_S: Final = 7.7
"""Time after the signal at which the last stop has ended."""

PAUSE_S: Final = 2.0
PAUSE_AFTER_CUT_S: Final = 0.02
"""Length of the callers' pauses, and time from the cut to their end."""

FIRST_STOPS_S: Final = ((-1.2, 0.001), (-0.02, 0.85), (6.0, 7.5))
"""Stops of the first shutdowns of a seed, one each, in seconds from SIGTERM."""

GAPS_S: Final = (0.0, 0.1, 0.67)

Steps = list[tuple[float, Callable[[], None]]]
Stop = tuple[float, float]
"""Begin and end of a stop of the process, in seconds from SIGTERM."""

Act = shutdown_checker.Act
wall_ms = kept_callers.wall_ms


class StopPlan:
    """Draws the stops of the shutdowns of a seed."""

    def __init__(self, seed: int) -> None:
        self._draw = random.Random(f"stops {seed}")
        self._first = list(FIRST_STOPS_S)
        self._is_late = seed % LATE_NOTICE_EVERY == LATE_NOTICE_EVERY - 1
        self._is_starved = seed % STARVED_EVERY == STARVED_EVERY - 1

    def draw_stops(self) -> list[Stop]:
        """Return the stops of one shutdown, in order."""
        if self._first:
            return [self._first.pop(0)]
        draw = self._draw
        stops = self._stops_at_signal()
        if self._is_starved:
            stopped_s, running_s = draw.choice(STARVED_STOPS_S)
            at_s = stops[-1][1] + running_s if stops else 0.0
            while at_s < GRACE_S:
                stops.append((at_s, at_s + stopped_s))
                at_s += stopped_s + running_s
            return stops
        for limit_s in LIMITS_S:
            if draw.random() < LIMIT_STOP_SHARE:
                lasts_s = draw.uniform(0.1, MAX_LIMIT_STOP_S)
                begin_s = limit_s - draw.uniform(0.1, 0.9) * lasts_s
                stops.append((begin_s, min(begin_s + lasts_s, LAST_STOP_S)))
        return _joined(stops)

    def _stops_at_signal(self) -> list[Stop]:
        """Return the stop of the process around the signal, if any."""
        draw = self._draw
        ranges_s = [(0.0, 0.6), (0.6, MAX_NOTICE_S), (1.0, MAX_NOTICE_S)]
        if self._is_late:
            ranges_s += [LATE_NOTICE_S] * 2
        elif draw.random() < 1 / 6:
            return []
        lasts_s = draw.uniform(*draw.choice(ranges_s))
        match draw.choice(("begin", "within", "within", "end", "end", "after")):
            case "begin":  # A little before or after the signal.
                begin_s = draw.uniform(-0.005, 0.005)
            case "within":
                begin_s = -draw.random() * lasts_s
            case "end":
                begin_s = 0.001 - lasts_s
            case _:  # The process runs again, and handles what has arrived.
                begin_s = -lasts_s - draw.uniform(0.0, 0.03)
        return [(begin_s, begin_s + lasts_s)]


def _joined(stops: list[Stop]) -> list[Stop]:
    """Return stops in order, those that overlap as one."""
    joined: list[Stop] = []
    for begin_s, end_s in sorted(stops):
        if joined and begin_s <= joined[-1][1]:
            earlier_s, until_s = joined.pop()
            begin_s, end_s = earlier_s, max(until_s, end_s)
        if begin_s < end_s:
            joined.append((begin_s, end_s))
    return joined


def _cut_s(stops: list[Stop]) -> float:
    """Return when begun answers are cut, in seconds from SIGTERM."""
    around = [stop for stop in stops if stop[0] <= 0.0 <= stop[1]]
    earliest_s, latest_s = around[0] if around else (0.0, 0.0)
    cut_s = max(earliest_s + 0.93 * GRACE_S, latest_s + 0.84 * GRACE_S)
    return max(
        [cut_s, *(end_s for begin_s, end_s in stops if begin_s <= cut_s <= end_s)]
    )


@dataclasses.dataclass
class Server:
    """A started server, and when it was killed: infinite if it was not."""

    process: launcher.Process
    killed_ms: float = math.inf


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
    callers : LeavingCallers
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
        self._stop_plan = StopPlan(seed)
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._duration_s = duration_s
        self._busy: set[str] = set()
        self._servers: list[Server] = []
        self._gateways: list[launcher.Process] = []
        self._serving: list[Server] = []
        self._helpers: list[threading.Thread] = []
        self._configuration = 1
        self._failures: list[str] = []
        self.figures = ""
        self.operations: list[shutdown_checker.Operation] = []
        self.callers = leaving_callers.LeavingCallers(fleet, seed, CALLERS)

    def run(self) -> list[str]:
        """Return a line for each violation."""
        self._write_configuration()
        for _ in range(SERVERS):
            self._add_server()
        for name in self._names:
            self._add_gateway(name)
        for name in self._names:
            self._wait_ready(name)
        with self.callers:
            started = time.monotonic()
            for at_s, step in self._plan():
                time.sleep(max(0.0, started + at_s - time.monotonic()))
                step()
            for helper in self._helpers:
                helper.join()
        runs_by_id = leaving_checker.read_logs(
            leaving_checker.ServerLog(each.process.log(), each.killed_ms)
            for each in self._servers
        )
        gateways = leaving_checker.read_gateway_logs(
            (each.name, each.log()) for each in self._gateways
        )
        record = leaving_checker.Record(
            self.callers.streams, runs_by_id, self.operations, gateways
        )
        self._count(record)
        return self._failures + record.violations()

    def timeline(self) -> str:
        """Return a line for each operation and each attempt."""
        lines = [(e.at_ms, f"{e.gateway} {e.act.value}") for e in self.operations]
        for stream in self.callers.streams:
            for each in stream.attempts:
                at_ms = min(each.sent_ms, each.ended_ms)
                lines.append((at_ms, f"{stream.length} {each}"))
        lines += [
            (each.killed_ms, f"{each.process.name} killed")
            for each in self._servers
            if each.killed_ms < math.inf
        ]
        return "".join(f"{at_ms:.0f} {text}\n" for at_ms, text in sorted(lines))

    def _plan(self) -> Steps:
        """Return the steps of this seed with their times."""
        draw = self._generator
        steps: Steps = []
        kinds = (
            (self._terminate_series, 2.0, 5.0),
            (self._reload_series, 2.0, 6.0),
            (self._configuration_series, 2.0, 6.0),
            (self._change_servers, 1.5, 4.0),
            (self._remove_server, 4.0, 9.0),
        )
        for step, least_s, most_s in kinds:
            at_s = BEFORE_S + draw.uniform(0.0, least_s)
            while at_s < BEFORE_S + self._duration_s:
                steps.append((at_s, step))
                at_s += draw.uniform(least_s, most_s)
        return sorted(steps, key=lambda step: step[0])

    def _help(self, function: Callable[..., None], *given: object) -> None:
        helper = threading.Thread(target=function, args=given)
        helper.start()
        self._helpers.append(helper)

    def _note(self, gateway: str, act: shutdown_checker.Act) -> None:
        self.operations.append(shutdown_checker.Operation(wall_ms(), gateway, act))

    # Servers and configuration

    def _add_server(self) -> None:
        server_id = f"engine-{len(self._servers)}"
        process = self._fleet.add_server(server_id, "drafting", slots=SLOTS)
        server = Server(process)
        self._servers.append(server)
        self._serving.append(server)
        self._set_faults(server)

    def _set_faults(self, server: Server) -> None:
        draw = self._generator
        self._fleet.set_faults(
            server.process,
            event_ms=draw.choice(EVENTS_MS),
            silent_ms=draw.choice(SILENCES_MS),
            silent_streams=SILENT_SHARE,
            break_streams=draw.choice((0.0, BREAK_SHARE)),
        )

    def _change_servers(self) -> None:
        for server in self._serving:
            self._set_faults(server)

    def _remove_server(self) -> None:
        """Kill a server, or have it leave before; another one takes its place."""
        server = self._serving.pop(self._generator.randrange(len(self._serving)))
        if self._generator.random() < 0.5:
            self._fleet.set_faults(server.process, draining=True)
            self._help(self._end_server, server, DRAIN_S)
        else:
            self._end_server(server, 0.0)
        self._add_server()

    def _end_server(self, server: Server, wait_s: float) -> None:
        time.sleep(wait_s)
        server.killed_ms = wall_ms()
        server.process.kill()

    def _write_configuration(self) -> None:
        self._configuration += 1
        number = self._configuration
        routes = [
            platform_fleet.route(
                "r-5",
                leaving_callers.PREFIX,
                "drafting",
                "streaming",
                resumable=True,
                timeoutMs=leaving_callers.DEADLINE_MS,
            ),
            platform_fleet.route(
                f"r-n{number}", f"/n{number}/", "drafting", "streaming"
            ),
        ]
        document = platform_fleet.configuration(number, *routes)
        self._note("", Act.WRITE)
        self._fleet.write_operator_row("config", document)
        self._note("", Act.ACKNOWLEDGE)

    def _configuration_series(self) -> None:
        for _ in range(self._generator.randint(1, 3)):
            self._write_configuration()

    def _reload_series(self) -> None:
        count = self._generator.randint(1, len(self._names))
        for name in self._generator.sample(self._names, count):
            # A gateway that has just started has no handler of the signal yet.
            if self._is_served(name):
                self._note(name, Act.RELOAD)
                self._fleet.process_by_name[name].reload()

    # Gateways

    def _add_gateway(self, name: str) -> None:
        self._gateways.append(self._fleet.add_gateway(name))

    def _terminate_series(self) -> None:
        """Shut down one, some or all of the gateways that serve, one after another."""
        draw = self._generator
        idle = [name for name in self._names if name not in self._busy]
        count = draw.choice((1, 1, (len(idle) + 1) // 2, len(idle)))
        gap_s = draw.choice(GAPS_S)
        for number, name in enumerate(draw.sample(idle, min(count, len(idle)))):
            self._busy.add(name)
            stops = self._stop_plan.draw_stops()
            down_s = draw.uniform(0.1, 1.0)
            self._help(self._shut_down, name, number * gap_s, stops, down_s)

    def _shut_down(
        self, name: str, wait_s: float, stops: list[Stop], down_s: float
    ) -> None:
        """Shut a gateway down as the operator does, and start it again."""
        process = self._fleet.process_by_name[name]
        first_s = min(0.0, stops[0][0]) if stops else 0.0
        signal_s = time.monotonic() + wait_s - first_s
        pause_end_s = signal_s + _cut_s(stops) + PAUSE_AFTER_CUT_S
        self.callers.pause_by_gateway[name] = (pause_end_s - PAUSE_S, pause_end_s)
        steps: Steps = [(0.0, lambda: self._terminate(process))]
        steps.append((ROTATION_S, lambda: self.callers.left_gateways.add(name)))
        for begin_s, end_s in stops:
            steps.append((begin_s, lambda: self._stop(process)))
            steps.append((end_s, lambda: self._continue(process)))
        steps.append((GRACE_S, lambda: self._kill(process)))
        for at_s, step in sorted(steps, key=lambda step: step[0]):
            while process.running and time.monotonic() < signal_s + at_s:
                left_s = signal_s + at_s - time.monotonic()
                time.sleep(min(POLL_S, max(0.0, left_s)))
            if process.running:
                step()
            if at_s == 0.0:
                # This thread may have been late; SIGKILL counts from the signal.
                signal_s = time.monotonic()
        self._note(name, Act.END)
        self.callers.left_gateways.add(name)
        time.sleep(down_s)
        self._add_gateway(name)
        self._wait_ready(name)
        self.callers.left_gateways.discard(name)
        self._busy.discard(name)

    def _terminate(self, process: launcher.Process) -> None:
        self._note(process.name, Act.TERMINATE)
        process.terminate()

    def _kill(self, process: launcher.Process) -> None:
        self._note(process.name, Act.KILL)
        process.kill()

    def _stop(self, process: launcher.Process) -> None:
        self._note(process.name, Act.STOP)
        process.freeze()

    def _continue(self, process: launcher.Process) -> None:
        process.thaw()
        self._note(process.name, Act.CONTINUE)

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
                self._add_gateway(name)
            if time.monotonic() > deadline:
                self._failures.append(f"START: {name} is not ready")
                return
            time.sleep(0.1)

    def _count(self, record: leaving_checker.Record) -> None:
        streams = self.callers.streams
        attempts = [each for stream in streams for each in stream.attempts]
        endings = collections.Counter(
            each.ending.value if each.ending else "open" for each in attempts
        )
        statuses = collections.Counter(each.status for each in attempts if each.status)
        acts = collections.Counter(each.act.value for each in self.operations)
        self.figures = (
            f"{len(streams)} streams, {len(attempts)} attempts, {dict(endings)},"
            f" {dict(sorted(statuses.items()))}, {len(record.cut_attempts())} cut by"
            f" gateways, {record.killed_count} lost by kills without time to end,"
            f" {dict(acts)}, callers late by {self.callers.max_lag_ms:.0f} ms"
        )


def violations(seed: int, gateways: int, duration_s: float) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation.

    The logs are kept if there is any.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"leaving-{seed}-"))
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
    gateways = int(sys.argv[3]) if sys.argv[3:] else 4
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
