"""Seeded soak of rate limits with real gateway processes.

`python -m tests.rate_limit_process_soak FIRST COUNT [GATEWAYS [SECONDS]]` runs the
seeds from FIRST on, prints a line for each violation and exits with 1 if there is any.

Callers keep their connections open until a gateway has ended.  Freezes, kills,
terminations and restarts of gateways, and changes of limits come in series and overlap.
"""

import dataclasses
import http.client
import json
import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Final

from standins import platform_fleet
from tests import rate_limit_checker

SERVICES_BY_SERVER: Final = {
    "record-1": "records", "record-2": "records", "record-3": "records",
    "engine-1": "drafting", "engine-2": "drafting",
}  # fmt: skip
LIMITS: Final = ("", "0", "0.4", "1.7", "2", "6")
CALL_INTERVAL_S: Final = 0.08
CALL_TIMEOUT_S: Final = 8.0
READY_LIMIT_S: Final = 60.0
NOTICE_LIMIT_S: Final = 20.0
MAX_FROZEN_S: Final = 2.5


def wall_ms() -> float:
    """Return the time of day in milliseconds, as the servers' logs give it."""
    return time.time() * 1_000


@dataclasses.dataclass
class _Outage:
    """A fault of a gateway; `until_ms` is infinite while it lasts."""

    gateway: str
    from_ms: float
    until_ms: float = float("inf")


class Soak:
    """One run with a seed.

    Parameters
    ----------
    gateways : int
        Number of gateway processes.
    duration_s : float
        Time in which limits and gateways change.
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
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._duration_s = duration_s
        self._changes_by_server: dict[str, list[rate_limit_checker.LimitChange]] = {
            server: [] for server in SERVICES_BY_SERVER
        }
        self._outages: list[_Outage] = []
        self._busy: set[str] = set()
        self._stopped = threading.Event()
        self._count = 0

    def run(self) -> list[str]:
        """Return a line for each violation."""
        for server, service in SERVICES_BY_SERVER.items():
            self._fleet.add_server(server, service)
        for name in self._names:
            self._fleet.add_gateway(name)
        for name in self._names:
            self._wait_ready(name)
        callers = [
            threading.Thread(target=self._call, args=(name,)) for name in self._names
        ]
        for caller in callers:
            caller.start()
        found: list[str] = []
        try:
            self._change_things()
            for server in SERVICES_BY_SERVER:
                self._set_limit(server, "")
            found += self._unnoticed_ends()
        finally:
            self._stopped.set()
            for caller in callers:
                caller.join()
        return found + self._excess_requests()

    def _change_things(self) -> None:
        """Change limits and gateways at random moments."""
        helpers: list[threading.Thread] = []
        until = time.monotonic() + self._duration_s
        while time.monotonic() < until:
            time.sleep(self._generator.uniform(0.2, 1.2))
            if self._generator.random() < 0.5:
                server = self._generator.choice(list(SERVICES_BY_SERVER))
                self._set_limit(server, self._generator.choice(LIMITS))
                continue
            idle = [name for name in self._names if name not in self._busy]
            if len(idle) <= len(self._names) // 2:
                continue
            name = self._generator.choice(idle)
            fault = self._generator.choice((self._freeze, self._kill, self._terminate))
            pause_s = self._generator.uniform(0.2, MAX_FROZEN_S)
            self._busy.add(name)
            helper = threading.Thread(target=fault, args=(name, pause_s))
            helper.start()
            helpers.append(helper)
        for helper in helpers:
            helper.join()

    def _freeze(self, name: str, pause_s: float) -> None:
        outage = self._begin_outage(name)
        self._fleet.process_by_name[name].freeze()
        time.sleep(pause_s)
        self._fleet.process_by_name[name].thaw()
        self._end_outage(outage)

    def _kill(self, name: str, pause_s: float) -> None:
        outage = self._begin_outage(name)
        self._fleet.process_by_name[name].kill()
        time.sleep(pause_s)
        self._restart(outage)

    def _terminate(self, name: str, _pause_s: float) -> None:
        outage = self._begin_outage(name)
        process = self._fleet.process_by_name[name]
        process.terminate()
        process.wait(READY_LIMIT_S)
        self._restart(outage)

    def _restart(self, outage: _Outage) -> None:
        self._fleet.add_gateway(outage.gateway)
        self._wait_ready(outage.gateway)
        self._end_outage(outage)

    def _begin_outage(self, name: str) -> _Outage:
        outage = _Outage(name, wall_ms())
        self._outages.append(outage)
        return outage

    def _end_outage(self, outage: _Outage) -> None:
        outage.until_ms = wall_ms() + rate_limit_checker.CONTACT_MS
        self._busy.discard(outage.gateway)

    def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_LIMIT_S
        while not self._fleet.is_ready(name):
            if time.monotonic() > deadline:
                raise AssertionError(f"{name} is not ready")
            time.sleep(0.1)

    def _set_limit(self, server: str, text: str) -> None:
        process = self._fleet.process_by_name[server]
        before_ms = wall_ms()
        self._fleet.set_faults(process, rate_limit=text)
        changes = self._changes_by_server[server]
        limit = float(text) if text else None
        if not changes and limit is None:
            return
        if not changes or changes[-1].per_second != limit:
            changes.append(rate_limit_checker.LimitChange(before_ms, limit))

    def _call(self, name: str) -> None:
        """Send requests to a gateway, on one connection until it closes."""
        connection = None
        while not self._stopped.wait(CALL_INTERVAL_S):
            if connection is None:
                connection = self._fleet.connect(name, CALL_TIMEOUT_S)
            self._count += 1
            headers = platform_fleet.caller_headers(f"{name}/q-{self._count}")
            try:
                if self._count % 3:
                    connection.request("GET", "/look/x", headers=headers)
                else:
                    headers |= {
                        "Model": platform_fleet.MODEL,
                        "Token-Count": "100,2",
                        "Prompt-Prefix": "a1:60,b2:40",
                    }
                    connection.request("POST", "/draft/", b"p", headers)
                connection.getresponse().read()
            except (http.client.HTTPException, OSError):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _unnoticed_ends(self) -> list[str]:
        """Return a line for each limit that a gateway still assumes."""
        deadline = time.monotonic() + NOTICE_LIMIT_S
        assumed = assumed_limits(self._fleet)
        while assumed and time.monotonic() < deadline:
            time.sleep(0.5)
            assumed = assumed_limits(self._fleet)
        return assumed

    def _excess_requests(self) -> list[str]:
        excuses = [
            rate_limit_checker.Excuse(each.gateway, each.from_ms, each.until_ms)
            for each in self._outages
        ]
        return [
            line
            for server, changes in self._changes_by_server.items()
            for line in rate_limit_checker.excess_requests(
                server, changes, self._arrivals(server), self._answers(server), excuses
            )
        ]

    def _arrivals(self, server: str) -> list[rate_limit_checker.Arrival]:
        return [
            rate_limit_checker.Arrival(
                float(words[1]), rate_limit_checker.gateway_of(words[2])
            )
            for words in self._log_words(server, "arrived")
        ]

    def _answers(self, server: str) -> list[rate_limit_checker.Answer]:
        return [
            rate_limit_checker.Answer(
                float(words[1]),
                rate_limit_checker.gateway_of(words[2]),
                float(words[3]),
            )
            for words in self._log_words(server, "named")
        ]

    def _log_words(self, server: str, event: str) -> list[list[str]]:
        lines = self._fleet.process_by_name[server].log().splitlines()
        return [line.split() for line in lines if line.startswith(f"{event} ")]


def assumed_limits(fleet: platform_fleet.PlatformFleet) -> list[str]:
    """Return a line for each limit that a gateway assumes now, according to its log."""
    found = []
    for name in fleet.ip_by_gateway:
        is_limited: dict[str, bool] = {}
        for line in fleet.process_by_name[name].log().splitlines():
            if '"component": "knowledge"' not in line or not line.endswith("}"):
                continue
            event = json.loads(line)
            if event["event"].startswith("rate limit "):
                is_limited[event["server"]] = event["event"] != "rate limit ended"
        found += [
            f"{name} assumes a limit of {server}"
            for server, limited in is_limited.items()
            if limited
        ]
    return found


def violations(seed: int, gateways: int, duration_s: float) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation."""
    with (
        tempfile.TemporaryDirectory() as folder,
        platform_fleet.PlatformFleet(pathlib.Path(folder)) as fleet,
    ):
        found = Soak(fleet, seed, gateways, duration_s).run()
    return [f"seed {seed}: {line}" for line in found]


def main() -> int:
    """Run the seeds given by the arguments; return 1 if any has a violation."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    gateways = int(sys.argv[3]) if sys.argv[3:] else 6
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
