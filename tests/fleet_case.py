"""Base of tests with a shared fleet of real processes."""

import functools
import pathlib
import random
import tempfile
import time
import unittest
import urllib.request
from collections.abc import Callable
from typing import ClassVar, Final

from quincecrank import configuration
from standins import launcher, local_fleet
from tests import builders_fleet, fleet_callers, history_checkers

READY_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05


class FleetTest(unittest.TestCase):
    """Base of tests that share one fleet; a test ends with a healthy fleet."""

    spec: ClassVar[local_fleet.FleetSpec]
    fleet: ClassVar[builders_fleet.ObservedFleet]
    callers: ClassVar[fleet_callers.Callers]
    seed: ClassVar[int] = 1

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.fleet = builders_fleet.ObservedFleet(cls.spec, pathlib.Path(folder))
        cls.enterClassContext(cls.fleet)
        cls.callers = fleet_callers.Callers(cls.fleet)
        cls.addClassCleanup(cls.callers.close)

    def setUp(self) -> None:
        self.generator = random.Random(f"{self.seed} {self.id()}")
        self.wait_ready()

    def tearDown(self) -> None:
        self.heal()

    def heal(self) -> None:
        """Clear every fault and start again what has ended."""
        switches = {"down": "no", "slow_ms": 0, "lose_answers": 0, "lose_requests": 0}
        local_fleet.set_faults(self.fleet.table, **switches)
        local_fleet.set_faults(self.fleet.vm_list, frozen=False, down=False)
        for name, replica in self.fleet.replicas_by_name.items():
            replica.backend.thaw()
            if replica.backend.running:
                local_fleet.set_faults(replica.backend, **_healthy(replica))
            else:
                self.fleet.restart_backend(name)
            assert replica.agent is not None
            replica.agent.thaw()
            if not replica.agent.running:
                self.fleet.start_agent(name)
        for number, process in enumerate(self.fleet.entries):
            process.thaw()
            if not process.running:
                self.fleet.start_entry(number)

    def replica(self) -> local_fleet.Replica:
        """Return a backend server and its agent, chosen by the seed."""
        names = sorted(self.fleet.replicas_by_name)
        return self.fleet.replicas_by_name[self.generator.choice(names)]

    def agent(self) -> launcher.Process:
        """Return an agent that the seed chooses."""
        agent = self.replica().agent
        assert agent is not None
        return agent

    def freeze(self, process: launcher.Process) -> None:
        """Stop a process for longer than links may be silent, and let it go on."""
        process.freeze()
        time.sleep(builders_fleet.FREEZE_S)
        process.thaw()

    @property
    def secret(self) -> bytes:
        """Return the secret that salts are derived from."""
        return self.fleet.account_secret()

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until `condition` holds."""
        end = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                self.fail(f"waited in vain until {what}")
            time.sleep(POLL_S)

    def wait_ready(self) -> None:
        """Wait until every entry sees every agent take work."""
        expected = len(self.fleet.replicas_by_name)
        for entry in range(len(self.fleet.entries)):
            all_serve = functools.partial(self._serves, entry, expected)
            self.wait_until(all_serve, "all backend servers serve")

    def _serves(self, entry: int, expected: int) -> bool:
        return self.serving(entry) == expected

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry says that it takes requests."""
        url = f"{self.fleet.entries[entry].url}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=10) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def serving(self, entry: int) -> int:
        """Return how many agents an entry sees serving."""
        try:
            answer = self.callers.operate(
                "show agents where state = serving", version=0, entry=entry
            )
        except (OSError, launcher.StartError):
            return 0
        return len(answer.get("table", {}).get("rows", ()))

    def pause(self, low_s: float, high_s: float) -> None:
        """Wait for a time that the seed chooses."""
        time.sleep(self.generator.uniform(low_s, high_s))

    def check_calls(self) -> None:
        """Check the history of the calls to plain services."""
        effects = self.fleet.effects()
        found = history_checkers.call_findings(self.callers.calls, effects)
        self.assertEqual(found, [])

    def check_prompts(self) -> None:
        """Check the history of the prompts."""
        prompts = self.callers.prompts
        found = history_checkers.wrong_answers(prompts, self.secret)
        found += history_checkers.foreign_answers(
            prompts, builders_fleet.ACCOUNTS, self.secret
        )
        self.assertEqual(found, [])


def _healthy(replica: local_fleet.Replica) -> dict[str, object]:
    """Return the switches of a backend server without a fault."""
    if replica.spec.deployment.kind is configuration.DeploymentKind.SERVICE:
        return {
            "slow_ms": 0,
            "drop_answers": False,
            "crash_on": "",
            "crash_after_effect": False,
        }
    return {"crash_on": "", "hang": False, "slow_factor": 1.0}
