"""Seeded soak of prompt parts that crash servers, with real gateway processes.

`python -m tests.crash_part_process_soak FIRST COUNT [GATEWAYS [SECONDS]]` runs the
seeds from FIRST on, prints a line for each violation and exits with 1 if there is any.

Callers keep their connections open until a gateway has ended.  Servers that crash start
again after some seconds.  Freezes, kills, terminations and restarts of gateways, and
kills of servers for another reason, come in series and overlap.
"""

import dataclasses
import http.client
import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Final

from standins import platform_fleet
from tests import crash_part_checker, mutable_fleet

ENGINES: Final = tuple(f"engine-{number}" for number in range(8))
BAD_PART: Final = "bad0"
CALL_INTERVAL_S: Final = 0.08
CALL_TIMEOUT_S: Final = 8.0
READY_LIMIT_S: Final = 60.0
RESTART_S: Final = 2.0
CALM_S: Final = 5.0
MAX_FROZEN_S: Final = 2.5
BAD_SHARE: Final = 0.06
DOCUMENTS: Final = 30


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
        Time in which requests with the part arrive.
    has_faults : bool
        Whether gateways and servers fail for other reasons meanwhile.
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        seed: int,
        gateways: int,
        duration_s: float,
        has_faults: bool,
    ) -> None:
        self._fleet = fleet
        self._seed = seed
        self._generator = random.Random(seed)
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._duration_s = duration_s
        self._has_faults = has_faults
        self._outages: list[_Outage] = []
        self._busy: set[str] = set()
        self._stopped = threading.Event()
        self._is_bad_time = threading.Event()
        self._lock = threading.Lock()
        self._logs: list[str] = []
        self._sound: list[crash_part_checker.SoundRequest] = []
        self._last_bad_ms = 0.0

    def run(self) -> list[str]:
        """Return a line for each violation."""
        for engine in ENGINES:
            self._start_engine(engine)
        for name in self._names:
            self._fleet.add_gateway(name)
        for name in self._names:
            self._wait_ready(name)
        threads = [
            threading.Thread(target=self._call, args=(name, number))
            for number, name in enumerate(self._names)
        ]
        threads.append(threading.Thread(target=self._restart_engines))
        for thread in threads:
            thread.start()
        try:
            time.sleep(CALM_S)
            self._is_bad_time.set()
            self._disturb()
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()
        return self._violations()

    def _disturb(self) -> None:
        helpers: list[threading.Thread] = []
        until = time.monotonic() + self._duration_s
        while time.monotonic() < until:
            time.sleep(self._generator.uniform(0.4, 1.6))
            if not self._has_faults:
                continue
            if self._generator.random() < 0.3:
                engine = self._generator.choice(ENGINES)
                self._fleet.process_by_name[engine].kill()
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

    def _start_engine(self, engine: str) -> None:
        process = self._fleet.add_server(engine, "drafting")
        self._fleet.set_faults(process, crash_parts=BAD_PART)

    def _restart_engines(self) -> None:
        ended_at: dict[str, float] = {}
        while not self._stopped.wait(0.1):
            for engine in ENGINES:
                process = self._fleet.process_by_name[engine]
                if process.running:
                    continue
                since = ended_at.setdefault(engine, time.monotonic())
                if time.monotonic() - since >= RESTART_S:
                    del ended_at[engine]
                    self._logs.append(process.log())
                    self._start_engine(engine)

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
        outage.until_ms = wall_ms() + crash_part_checker.CONTACT_MS
        self._busy.discard(outage.gateway)

    def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_LIMIT_S
        while not self._fleet.is_ready(name):
            if time.monotonic() > deadline:
                raise AssertionError(f"{name} is not ready")
            time.sleep(0.1)

    def _call(self, name: str, number: int) -> None:
        """Send requests to a gateway, on one connection until it closes."""
        generator = random.Random(self._seed * 1_000 + number)
        connection = None
        count = 0
        while not self._stopped.wait(CALL_INTERVAL_S):
            if connection is None:
                connection = self._fleet.connect(name, CALL_TIMEOUT_S)
            count += 1
            is_bad = self._is_bad_time.is_set() and generator.random() < BAD_SHARE
            shared = f"aa:600,d{generator.randrange(DOCUMENTS)}:300"
            if is_bad:
                shared = f"aa:600,d7:300,{BAD_PART}:200"
            kind = "bad" if is_bad else "sound"
            request_id = f"{name}/{kind}-{self._seed}-{count}"
            headers = platform_fleet.caller_headers(request_id) | {
                "Model": platform_fleet.MODEL,
                "Token-Count": "1200,3",
                "Prompt-Prefix": f"{shared},{kind}{number}x{count}:100",
            }
            at_ms = wall_ms()
            has_begun = False
            try:
                connection.request("POST", "/draft/", request_id.encode(), headers)
                answer = connection.getresponse()
                has_begun = answer.status == 200
                answer.read()
            except (http.client.HTTPException, OSError):
                connection.close()
                connection = None
            self._record(at_ms, name, has_begun=has_begun, is_bad=is_bad)
        if connection is not None:
            connection.close()

    def _record(
        self, at_ms: float, name: str, *, has_begun: bool, is_bad: bool
    ) -> None:
        with self._lock:
            if is_bad:
                self._last_bad_ms = max(self._last_bad_ms, at_ms)
            elif self._is_in_touch(name, at_ms):
                self._sound.append(crash_part_checker.SoundRequest(at_ms, has_begun))

    def _is_in_touch(self, name: str, at_ms: float) -> bool:
        return not any(
            each.gateway == name and each.from_ms <= at_ms < each.until_ms
            for each in tuple(self._outages)
        )

    def _violations(self) -> list[str]:
        logs = [
            *self._logs,
            *(self._fleet.process_by_name[each].log() for each in ENGINES),
        ]
        words = [line.split() for log in logs for line in log.splitlines()]
        crashes_ms = [float(each[1]) for each in words if each[:1] == ["crashed"]]
        sends = [
            crash_part_checker.Send(float(each[1]), each[2][3:].partition("/")[0])
            for each in words
            if each[:1] == ["arrived"] and "/bad-" in each[2]
        ]
        self.crashes = len(crashes_ms)
        found = crash_part_checker.excess_sends(crashes_ms, sends, self._is_in_touch)
        if not self._has_faults:
            found += crash_part_checker.lost_sound_requests(
                crashes_ms, self._last_bad_ms, self._sound
            )
        return found


def violations(
    seed: int, gateways: int, duration_s: float, *, has_faults: bool = True
) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation."""
    with (
        tempfile.TemporaryDirectory() as folder,
        mutable_fleet.MutableFleet(pathlib.Path(folder)) as fleet,
    ):
        soak = Soak(fleet, seed, gateways, duration_s, has_faults)
        found = soak.run()
        print(f"seed {seed}: {soak.crashes} crashes", flush=True)
    return [f"seed {seed}: {line}" for line in found]


def main() -> int:
    """Run the seeds given by the arguments; return 1 if any has a violation."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    gateways = int(sys.argv[3]) if sys.argv[3:] else 6
    duration_s = float(sys.argv[4]) if sys.argv[4:] else 18.0
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
