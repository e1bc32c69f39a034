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
    """Base of tests that share one fleet of processes.

    After each test, faults are cleared and ended processes restarted.  Random choices
    depend on `seed` and on the test's name.
    """

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
        self.clear_faults()

    def clear_faults(self) -> None:
        """Clear all faults, continue frozen processes and restart ended ones."""
        switches = {"down": "no", "slow_ms": 0, "lose_answers": 0, "lose_requests": 0}
        local_fleet.set_faults(self.fleet.table, **switches)
        local_fleet.set_faults(self.fleet.vm_list, frozen=False, down=False)
        for name, replica in self.fleet.replicas_by_name.items():
            replica.backend.thaw()
            if replica.backend.running:
                local_fleet.set_faults(replica.backend, **_cleared_faults(replica))
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

    def random_replica(self) -> local_fleet.Replica:
        """Return a random backend server with its agent."""
        names = sorted(self.fleet.replicas_by_name)
        return self.fleet.replicas_by_name[self.generator.choice(names)]

    def random_agent(self) -> launcher.Process:
        """Return a random agent."""
        agent = self.random_replica().agent
        assert agent is not None
        return agent

    def freeze_until_unreachable(self, process: launcher.Process) -> None:
        """Suspend a process until its peers consider it unreachable; continue it."""
        process.freeze()
        time.sleep(builders_fleet.FREEZE_S)
        process.thaw()

    @property
    def secret(self) -> bytes:
        """Return the secret from which cache salts are derived."""
        return self.fleet.account_secret()

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until `condition` holds; fail after `READY_TIMEOUT_S` with `what`."""
        end = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                self.fail(f"timed out waiting until {what}")
            time.sleep(POLL_S)

    def wait_ready(self) -> None:
        """Wait until every entry reports every agent as serving."""
        expected = len(self.fleet.replicas_by_name)
        for entry in range(len(self.fleet.entries)):
            all_serving = functools.partial(self._has_serving, entry, expected)
            self.wait_until(all_serving, "all backend servers serve")

    def _has_serving(self, entry: int, expected: int) -> bool:
        return self.serving_agent_count(entry) == expected

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry reports that it is ready."""
        url = f"{self.fleet.entries[entry].url}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=10) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def serving_agent_count(self, entry: int) -> int:
        """Return the number of agents that an entry reports as serving."""
        try:
            answer = self.callers.run_command(
                "show agents where state = serving", version=0, entry=entry
            )
        except (OSError, launcher.StartError):
            return 0
        return len(answer.get("table", {}).get("rows", ()))

    def random_pause(self, low_s: float, high_s: float) -> None:
        """Wait for a random time between `low_s` and `high_s` seconds."""
        time.sleep(self.generator.uniform(low_s, high_s))

    def check_calls(self) -> None:
        """Check the results of calls against what the plain services recorded."""
        effects = self.fleet.plain_service_records()
        found = history_checkers.call_violations(self.callers.calls, effects)
        self.assertEqual(found, [])

    def check_prompts(self) -> None:
        """Check that all answers to prompts are correct and the account's own."""
        prompts = self.callers.prompts
        found = history_checkers.wrong_answers(prompts, self.secret)
        found += history_checkers.foreign_answers(
            prompts, builders_fleet.ACCOUNTS, self.secret
        )
        self.assertEqual(found, [])


def _cleared_faults(replica: local_fleet.Replica) -> dict[str, object]:
    """Return the fault switches of a backend server, all off."""
    if replica.spec.deployment.kind is configuration.DeploymentKind.SERVICE:
        return {
            "slow_ms": 0,
            "drop_answers": False,
            "crash_on": "",
            "crash_after_effect": False,
        }
    return {"crash_on": "", "hang": False, "slow_factor": 1.0}
