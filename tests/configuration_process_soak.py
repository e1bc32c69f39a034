"""Seeded soak of changes of the configuration on real processes.

`python -m tests.configuration_process_soak FIRST COUNT [GATEWAYS [SECONDS [LARGE]]]`
runs the seeds from FIRST on, prints a line for each violation with the folder of the
logs, and exits with 1 if there is any.  A large version has LARGE more routes.

Versions of all kinds are written in series.  Meanwhile gateways, most often those that
read the configuration from the store, are killed, suspended, shut down, refused or cut
off by the store, or get its answers late or at a low bandwidth; others start or return.
Some gateways run a part of the time only, all the while.  Requests on old, new and
unknown routes and keys go to every gateway.
"""

import asyncio
import calendar
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import shutil
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import followers, tables
from standins import launcher, platform_fleet
from tests import configuration_checker as checker
from tests import configuration_plan, fleet_relays, mutable_fleet, removal_checker

SERVER_BY_SERVICE: Final = {"records": ("record-0", "record-1"), "archive": ("old-0",)}
PROBES_PER_S: Final = 200.0
"""Requests a second to all gateways."""

MAX_PROBES_PER_GATEWAY: Final = 12.0
ANSWER_TIMEOUT_S: Final = 6.0
KEPT_SHARE: Final = 0.5
"""Share of the requests that use an open connection again."""

OTHER_KEY_SHARE: Final = 0.4
"""Share of the requests with any of the keys instead of the one that always holds."""

MIN_GAP_S: Final = 0.05
MAX_GAP_S: Final = 2.5
"""Bounds of the time between two versions."""

APPLY_MS: Final = 2_000
LARGE_FLEET: Final = 20
LARGE_FLEET_APPLY_MS: Final = 4_000
"""Time within which a version must be in force, from `LARGE_FLEET` gateways on."""

STARVED_SHARE: Final = 0.25
"""Share of the gateways that run a part of the time only."""

STARVED_RUN_S: Final = 0.02
STARVED_STOP_S: Final = 0.2

GRACE_S: Final = 8.0
READY_LIMIT_S: Final = 60.0
SETTLE_S: Final = 3.5
"""Time without faults at the end: the calm in which everything must be in force."""

POLL_S: Final = 0.02


def wall_ms() -> float:
    """Return the milliseconds since the epoch."""
    return time.time() * 1_000


class ConfigurationFleet(mutable_fleet.MutableFleet):
    """A fleet whose gateways reach the store by a relay each."""

    def __init__(self, folder: pathlib.Path, apply_ms: int) -> None:
        self._apply_ms = apply_ms
        self.relay_by_gateway: dict[str, fleet_relays.RelayThread] = {}
        super().__init__(folder)

    def __exit__(self, *exception: Any) -> None:
        super().__exit__(*exception)
        for relay in self.relay_by_gateway.values():
            relay.close()

    def _settings(self, name: str) -> platform_fleet.Document:
        if name not in self.relay_by_gateway:
            relay = fleet_relays.RelayThread(self.store.port)
            self.relay_by_gateway[name] = relay
        settings = super()._settings(name)
        settings["bounds"]["configApplyMs"] = self._apply_ms
        port = self.relay_by_gateway[name].port
        settings["platformSettings"]["address"] = f"127.0.0.1:{port}"
        return settings


class Callers:
    """Callers that send requests to all gateways; a context manager.

    Attributes
    ----------
    probes : list of Probe
        Requests so far; the service that ran one is added later.
    """

    def __init__(
        self, fleet: ConfigurationFleet, plan: configuration_plan.Plan, seed: int
    ) -> None:
        self._fleet = fleet
        self._plan = plan
        self._generator = random.Random(seed)
        self._numbers = itertools.count()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._tasks: list[Any] = []
        self.process_by_gateway: dict[str, int] = {}
        self.probes: list[checker.Probe] = []

    def __enter__(self) -> "Callers":
        self._thread.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        asyncio.run_coroutine_threadsafe(asyncio.sleep(POLL_S), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def add(self, gateway: str, per_s: float) -> None:
        """Send requests to a gateway from now on."""
        self._tasks.append(
            asyncio.run_coroutine_threadsafe(self._call(gateway, per_s), self._loop)
        )

    async def _call(self, gateway: str, per_s: float) -> None:
        async with contextlib.AsyncExitStack() as stack:
            connection = _Connection(self._fleet, gateway)
            stack.callback(connection.close)
            while True:
                await asyncio.sleep(self._generator.uniform(0.5, 1.5) / per_s)
                if self._generator.random() > KEPT_SHARE:
                    connection.close()
                await self._send(gateway, connection)

    async def _send(self, gateway: str, connection: "_Connection") -> None:
        prefix = self._generator.choice(tuple(self._plan.prefixes))
        key = platform_fleet.KEY
        if self._generator.random() < OTHER_KEY_SHARE:
            key = self._generator.choice(tuple(self._plan.keys))
        request_id = f"{gateway}/{next(self._numbers)}"
        process = self.process_by_gateway.get(gateway, 0)
        sent_ms, status = wall_ms(), 0
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await connection.open()
                # The time in which a connection waits is not the request's.
                sent_ms = wall_ms()
                status = await connection.ask(request_id, prefix, key)
        except (OSError, EOFError, ValueError, TimeoutError):
            connection.close()
        if process == self.process_by_gateway.get(gateway, 0):
            self.probes.append(
                checker.Probe(
                    request_id,
                    gateway,
                    process,
                    prefix,
                    key,
                    sent_ms,
                    wall_ms(),
                    status,
                    "",
                )  # fmt: skip
            )


class _Connection:
    """A caller's connection to a gateway, opened again after it was closed."""

    def __init__(self, fleet: ConfigurationFleet, gateway: str) -> None:
        self._fleet = fleet
        self._gateway = gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection unless it is open."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._fleet.ip_by_gateway[self._gateway],
                self._fleet.callers_port_by_gateway[self._gateway],
            )

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(self, request_id: str, prefix: str, key: str) -> int:
        """Send a request; return the answer's status."""
        assert self._reader is not None and self._writer is not None
        self._writer.write(
            f"GET {prefix}x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
            f"Request-Id: {request_id}\r\nAuthorization: Token {key}\r\n"
            "Deadline-Ms: 5000\r\n\r\n".encode()
        )
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        await self._reader.readexactly(length)
        if "connection: close" in head:
            self.close()
        return int(head.split(" ")[1])


class Soak:
    """One run with a seed.

    Attributes
    ----------
    figures : str
        Counts of the run, for the reader.
    """

    def __init__(
        self,
        fleet: ConfigurationFleet,
        seed: int,
        gateways: int,
        seconds: float,
        large: int,
    ) -> None:
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._spare = [f"spare-{number}" for number in range(1 + gateways // 8)]
        self._apply_ms = fleet._apply_ms
        self._seconds = seconds
        self._plan = configuration_plan.Plan(random.Random(seed), large)
        self._callers = Callers(fleet, self._plan, seed)
        self._versions: list[checker.Version] = []
        self._disturbed: dict[str, list[tuple[float, float]]] = {}
        self._busy: set[str] = set()
        self._starved: frozenset[str] = frozenset()
        self._helpers: list[threading.Thread] = []
        self._ended = threading.Event()
        self._faults: dict[str, int] = {}
        self.figures = ""

    def run(self) -> list[str]:
        """Return a line for each violation."""
        for service, names in SERVER_BY_SERVICE.items():
            for name in names:
                self._fleet.add_server(name, service)
        self._write(self._plan.first())
        per_s = min(MAX_PROBES_PER_GATEWAY, PROBES_PER_S / len(self._names))
        with self._callers:
            for name in self._names:
                self._start(name)
            for name in self._names:
                self._wait_ready(name)
                self._callers.add(name, per_s)
            count = round(STARVED_SHARE * len(self._names))
            self._starved = frozenset(self._generator.sample(self._names, count))
            for name in sorted(self._starved):
                self._help(self._starve, name)
            self._help(self._change_often)
            self._disturb_often(per_s)
            time.sleep(SETTLE_S + self._apply_ms / 1_000)
            self._ended.set()
            for helper in self._helpers:
                helper.join()
        return self._violations()

    def _help(self, target: Any, *given: Any) -> None:
        helper = threading.Thread(target=target, args=given)
        helper.start()
        self._helpers.append(helper)

    def _write(self, written: configuration_plan.Written) -> None:
        sent_ms = wall_ms()
        self._fleet.write_operator_row("config", written.document)
        self._versions.append(
            checker.Version(
                written.document["version"],
                sent_ms,
                wall_ms(),
                written.kind is not configuration_plan.Kind.INVALID,
                written.services_by_prefix,
                written.keys,
            )
        )

    def _change_often(self) -> None:
        generator = random.Random(self._generator.random())
        until_s = time.monotonic() + self._seconds
        while time.monotonic() < until_s:
            time.sleep(generator.choice((MIN_GAP_S, 0.5, MAX_GAP_S)))
            self._write(self._plan.draw())
        while not self._versions[-1].is_valid:
            self._write(self._plan.draw())

    def _disturb_often(self, per_s: float) -> None:
        until_s = time.monotonic() + self._seconds
        actions = (
            self._kill,
            self._shut_down,
            self._suspend,
            self._cut,
            self._refuse,
            self._slow,
            self._limit_bandwidth,
        )
        while time.monotonic() < until_s:
            time.sleep(self._generator.uniform(0.1, 1.0))
            if self._spare and self._generator.random() < 0.1:
                name = self._spare.pop()
                self._names.append(name)
                self._busy.add(name)
                self._help(self._add, name, per_s)
            if len(self._busy) < max(2, len(self._names) // 4):
                action = self._generator.choice(actions)
                name = self._draw_gateway()
                self._busy.add(name)
                self._faults[action.__name__] = self._faults.get(action.__name__, 0) + 1
                self._help(self._run_action, action, name, self._generator.random())

    def _draw_gateway(self) -> str:
        """Return a gateway that is not disturbed, mostly a reader."""
        idle = sorted(set(self._names) - self._busy)
        readers = rendezvous.ranked(
            tables.TableName.OPERATOR.value,
            [ids.VmName(name) for name in idle],
            followers.READERS_PER_TABLE,
        )
        if self._generator.random() < 0.7:
            return self._generator.choice(readers)
        return self._generator.choice(idle)

    def _run_action(self, action: Any, name: str, number: float) -> None:
        began_ms = wall_ms()
        # Open until it ends, so that requests meanwhile count as disturbed.
        intervals = self._disturbed.setdefault(name, [])
        intervals.append((began_ms, float("inf")))
        index = len(intervals) - 1
        action(name, random.Random(number))
        intervals[index] = (began_ms, wall_ms())
        self._busy.discard(name)

    def _add(self, name: str, per_s: float) -> None:
        def act(added: str, _draw: random.Random) -> None:
            self._start(added)
            self._callers.add(added, per_s)
            self._wait_ready(added)

        self._run_action(act, name, 0.0)

    def _kill(self, name: str, draw: random.Random) -> None:
        self._fleet.process_by_name[name].kill()
        time.sleep(draw.uniform(0.0, 2.0))
        self._start(name)
        self._wait_ready(name)

    def _shut_down(self, name: str, draw: random.Random) -> None:
        process = self._fleet.process_by_name[name]
        process.terminate()
        until_s = time.monotonic() + GRACE_S
        while process.running and time.monotonic() < until_s:
            time.sleep(POLL_S)
        self._kill(name, draw)

    def _suspend(self, name: str, draw: random.Random) -> None:
        process = self._fleet.process_by_name[name]
        process.freeze()
        time.sleep(draw.uniform(0.3, 4.0))
        process.thaw()

    def _cut(self, name: str, draw: random.Random) -> None:
        relay = self._fleet.relay_by_gateway[name]
        relay.silence(also_new=True)
        time.sleep(draw.uniform(1.0, 6.0))
        relay.heal()

    def _refuse(self, name: str, draw: random.Random) -> None:
        relay = self._fleet.relay_by_gateway[name]
        relay.refuse(is_refusing=True)
        time.sleep(draw.uniform(1.0, 6.0))
        relay.refuse(is_refusing=False)

    def _slow(self, name: str, draw: random.Random) -> None:
        relay = self._fleet.relay_by_gateway[name]
        relay.delay(draw.randint(100, 450))
        time.sleep(draw.uniform(1.0, 6.0))
        relay.delay(0)

    def _limit_bandwidth(self, name: str, draw: random.Random) -> None:
        relay = self._fleet.relay_by_gateway[name]
        relay.limit(draw.randint(20_000, 200_000))
        time.sleep(draw.uniform(1.0, 6.0))
        relay.limit(0)

    def _starve(self, name: str) -> None:
        """Let a gateway run a part of the time only, until the end."""
        while not self._ended.is_set():
            process = self._fleet.process_by_name[name]
            if name not in self._busy:
                process.freeze()
                time.sleep(STARVED_STOP_S)
                process.thaw()
            time.sleep(STARVED_RUN_S)

    def _start(self, name: str) -> None:
        self._callers.process_by_gateway[name] = (
            self._callers.process_by_gateway.get(name, 0) + 1
        )
        self._disturbed.setdefault(name, []).append((wall_ms(), wall_ms()))
        self._fleet.add_gateway(name)

    def _wait_ready(self, name: str) -> None:
        until_s = time.monotonic() + READY_LIMIT_S
        while not self._fleet.is_ready(name) and time.monotonic() < until_s:
            time.sleep(0.1)

    def _violations(self) -> list[str]:
        log_by_server = {
            name: self._fleet.process_by_name[name].log()
            for names in SERVER_BY_SERVICE.values()
            for name in names
        }
        service_by_server = {
            name: service
            for service, names in SERVER_BY_SERVICE.items()
            for name in names
        }
        service_by_request = {
            each.request_id: service_by_server[each.server]
            for each in removal_checker.arrivals(log_by_server)
        }
        probes = [
            dataclasses.replace(
                each, service=service_by_request.get(each.request_id, "")
            )
            for each in self._callers.probes
        ]
        statuses = sorted({probe.status for probe in probes})
        counts = {
            status: sum(probe.status == status for probe in probes)
            for status in statuses
        }
        self.figures = (
            f"{len(self._versions)} versions, {len(probes)} requests {counts},"
            f" faults {self._faults}, "
            + delays(self._fleet, self._versions, self._disturbed, self._starved)
        )
        return checker.violations(
            self._versions, probes, self._disturbed, self._apply_ms
        )


def delays(
    fleet: platform_fleet.PlatformFleet,
    versions: Sequence[checker.Version],
    disturbed_by_gateway: checker.Intervals,
    starved: frozenset[str],
) -> str:
    """Return the times from acknowledgements until versions were in force, in words.

    Gateways that run a part of the time count apart, as do those that were disturbed
    for the contact time before the acknowledgement or since.
    """
    acknowledged_ms = {each.number: each.acknowledged_ms for each in versions}
    found: dict[str, list[tuple[float, str]]] = {}
    for name in fleet.ip_by_gateway:
        for at_ms, line in in_force(fleet.process_by_name[name]):
            began_ms = acknowledged_ms.get(line["version"])
            if began_ms is None or not line.get("previous"):
                continue
            if checker.overlaps(disturbed_by_gateway.get(name, ()), began_ms, at_ms):
                group = "disturbed"
            else:
                group = "starved" if name in starved else "undisturbed"
            found.setdefault(group, []).append((at_ms - began_ms, name))
    words = []
    for group, group_delays in sorted(found.items(), reverse=True):
        median_ms = statistics.median(delay_ms for delay_ms, _ in group_delays)
        last_ms, name = max(group_delays)
        words.append(f"{group} {median_ms:.0f} ms (median), {last_ms:.0f} ({name})")
    return "in force after: " + "; ".join(words)


def in_force(process: launcher.Process) -> list[tuple[float, Mapping[str, Any]]]:
    """Return the lines of versions that a gateway put in force, with their times."""
    lines = []
    for text in process.log().splitlines():
        if '"configuration in force"' in text:
            with contextlib.suppress(ValueError):
                line = json.loads(text)
                at = time.strptime(line["timestamp"][:19], "%Y-%m-%dT%H:%M:%S")
                fraction_ms = float("0" + line["timestamp"][19:-1]) * 1_000
                lines.append((calendar.timegm(at) * 1_000 + fraction_ms, line))
    return lines


def violations(
    seed: int, gateways: int, seconds: float = 20.0, large: int = 300
) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation.

    The logs are kept if there is any.
    """
    apply_ms = LARGE_FLEET_APPLY_MS if gateways >= LARGE_FLEET else APPLY_MS
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"configurations-{seed}-"))
    with ConfigurationFleet(folder, apply_ms) as fleet:
        soak = Soak(fleet, seed, gateways, seconds, large)
        found = soak.run()
    print(f"seed {seed}: {soak.figures}", flush=True)
    if not found:
        shutil.rmtree(folder)
        return []
    return [f"seed {seed}: {line} ({folder})" for line in found]


def main() -> int:
    """Run the seeds that the arguments name; return 1 if a rule was broken."""
    given = [int(each) for each in sys.argv[1:]]
    first, count, gateways, seconds, large = (*given, *(1, 1, 8, 20, 300)[len(given) :])
    found: list[str] = []
    for seed in range(first, first + count):
        found += violations(seed, gateways, seconds, large)
    for line in found:
        print(line)
    print(f"{count} seeds, {len(found)} violations")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
