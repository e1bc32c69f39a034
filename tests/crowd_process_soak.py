"""Soak of a gateway process beside crowds of clients over the limits.

`python -m tests.crowd_process_soak FIRST COUNT` runs the seeds from FIRST on.  Each has
a gateway whose listeners get crowds that overlap, in an order that depends on the seed,
beside reloads, suspensions and restarts of the process, and new configurations.

Checked after each step: the process lives, its memory with what it has not read and its
descriptors stay within the settings, it ends within its grace time, and an ordinary
request is answered.
"""

import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import Final

from standins import launcher, platform_fleet
from tests import (
    listener_crowd,
    mutable_fleet,
    process_gateway,
    resource_watch,
)

GATEWAY: Final = "entry-1"
MEMORY_MB: Final = 136
MAX_DESCRIPTORS: Final = 1_000
MAX_CLIENTS: Final = 400
MAX_CROWDS: Final = 2
STEPS: Final = 5
STEP_S: Final = 1.5
SUSPENDED_S: Final = 0.7
END_S: Final = 12.0
"""Time in which a process ends: its grace time of 8 s, and a margin."""

PATIENCE_S: Final = 8.0
BODY_LIMITS: Final = (100_000, 1_000_000, 4_000_000)
PATH_BY_LISTENER: Final = {
    "callers": "/record/x",
    "readiness": "/other",
    "peers": "/tables/op",
    "metrics": "/metrics",
}


class CrowdRun:
    """The run of one seed.

    Attributes
    ----------
    failures : list of str
        What was found, in order.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.failures: list[str] = []
        self._generator = random.Random(seed)
        self._fleet = mutable_fleet.MutableFleet(folder)
        self._fleet.memory_mb = MEMORY_MB
        self._fleet.max_descriptors = MAX_DESCRIPTORS
        self._crowds: list[subprocess.Popen[bytes]] = []
        self._version = 1
        self._step = ""

    def run(self) -> None:
        """Run all steps."""
        with self._fleet:
            self._fleet.add_server("record-1", "records")
            self._start()
            try:
                for number in range(STEPS):
                    self._run_step(number)
            finally:
                self._watch.end()
                for crowd in self._crowds:
                    _end(crowd)

    def _run_step(self, number: int) -> None:
        self._add_crowd()
        change = self._generator.choice(
            (self._reload, self._suspend, self._configure, self._restart, self._wait)
        )
        self._step = f"step {number}, {self._crowd_text}, {change.__name__}"
        time.sleep(self._generator.uniform(0, STEP_S))
        change()
        time.sleep(self._generator.uniform(0, STEP_S))
        self._check()

    def _add_crowd(self) -> None:
        """Start a crowd, and end the oldest one beyond `MAX_CROWDS`."""
        while len(self._crowds) >= MAX_CROWDS:
            _end(self._crowds.pop(0))
        name = self._generator.choice(sorted(PATH_BY_LISTENER))
        kind = self._generator.choice(sorted(listener_crowd.KIND_BY_NAME))
        clients = self._generator.randint(20, MAX_CLIENTS)
        self._crowd_text = f"{clients} clients at {name}: {kind}"
        address = self._address_by_listener[name]
        arguments = [kind, address.ip, str(address.port), PATH_BY_LISTENER[name]]
        command = [sys.executable, "-m", "tests.listener_crowd", *arguments]
        self._crowds.append(
            subprocess.Popen([*command, str(clients)], stdout=subprocess.DEVNULL)
        )

    def _start(self) -> None:
        """Start the gateway and watch it."""
        self._gateway: launcher.Process = self._fleet.add_gateway(GATEWAY)
        process_gateway.wait_until(lambda: self._ask() == 200, "records served")
        ip = self._fleet.ip_by_gateway[GATEWAY]
        ports = {
            "callers": self._fleet.callers_port_by_gateway[GATEWAY],
            "readiness": self._fleet.ready_port_by_gateway[GATEWAY],
            "peers": self._fleet.peer_port,
            "metrics": self._fleet.metrics_port,
        }
        self._address_by_listener = {
            name: resource_watch.Address(ip, port) for name, port in ports.items()
        }
        self._watch = resource_watch.ResourceWatch(
            self._gateway.pid, self._address_by_listener.values()
        )

    def _wait(self) -> None:
        time.sleep(STEP_S)

    def _reload(self) -> None:
        self._gateway.reload()

    def _suspend(self) -> None:
        """Suspend the gateway, so that what clients send lies unread."""
        self._gateway.freeze()
        time.sleep(SUSPENDED_S)
        self._gateway.thaw()

    def _configure(self) -> None:
        self._version += 1
        document = platform_fleet.configuration(self._version)
        document["limits"]["maxBodyBytes"] = self._generator.choice(BODY_LIMITS)
        self._fleet.write_operator_row("config", document)

    def _restart(self) -> None:
        """End the gateway and start it again while the crowds stay."""
        self._check_resources()
        self._gateway.terminate()
        try:
            code = self._gateway.wait(END_S)
        except subprocess.TimeoutExpired:
            self._fail("not ended in its grace time")
            self._gateway.kill()
        else:
            if code:
                self._fail(f"ended with {code}")
        self._watch.end()
        self._start()

    def _check(self) -> None:
        if not self._gateway.running:
            self._fail(f"the process has ended: {self._gateway.exit_code}")
            self._watch.end()
            self._start()
            return
        status = self._ask()
        if status != 200:
            self._fail(f"an ordinary request got {status or 'no answer'}")
        self._check_resources()

    def _check_resources(self) -> None:
        watch = self._watch
        is_over = watch.most_bytes > MEMORY_MB * 1024**2
        if is_over or watch.most_descriptors > MAX_DESCRIPTORS:
            self._fail(str(watch))

    def _ask(self) -> int:
        """Send an ordinary request; return the status, 0 without an answer."""
        connection = self._fleet.connect(GATEWAY, PATIENCE_S)
        headers = platform_fleet.caller_headers("ordinary")
        try:
            connection.request("GET", "/look/x", headers=headers)
            response = connection.getresponse()
            response.read()
        except OSError:
            return 0
        finally:
            connection.close()
        return response.status

    def _fail(self, what: str) -> None:
        self.failures.append(f"{self._step}: {what}")


def run_seed(seed: int) -> list[str]:
    """Run a seed; return its failures."""
    with tempfile.TemporaryDirectory() as folder:
        run = CrowdRun(seed, pathlib.Path(folder))
        run.run()
    return run.failures


def _end(crowd: subprocess.Popen[bytes]) -> None:
    crowd.kill()
    crowd.wait()


def main() -> int:
    """Run the seeds that the arguments name; return 1 if one of them failed."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        failures = run_seed(seed)
        failed += bool(failures)
        print(f"seed {seed}: {'; '.join(failures) or 'passed'}", flush=True)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
