"""Calls with an idempotency key run at most once, whichever process fails.

Each test injects one fault (a process is killed or frozen, an answer is lost, the
table stops answering) while callers repeat their calls; the checkers then examine the
complete history of the shared fleet.
Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`claim-what-is-taken`, `admit-started`, `say-not-run`.
"""

import concurrent.futures
import time
from collections.abc import Callable

from standins import local_fleet
from tests import builders_fleet, fleet_case, history_checkers

KEYS = 8
SLOW_MS = 400


class AtMostOnceTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(services=2, deadline_ms=5_000)

    def service_faults(self, **switches: object) -> None:
        for replica in self.fleet.replicas_by_name.values():
            if replica.backend.running:
                local_fleet.set_faults(replica.backend, **switches)

    def test_answers_of_the_service_are_lost(self) -> None:
        """A call runs, its answer is lost, and the caller sends it again elsewhere."""
        self.service_faults(drop_answers=True)
        self.check_with_fault(lambda: None)

    def test_a_service_dies_before_the_effect(self) -> None:
        """A service dies between the claim of a call and its effect."""
        self.service_faults(crash_on="fatal")
        self.check_with_fault(lambda: None, body="fatal")

    def test_a_service_dies_after_the_effect(self) -> None:
        """A service dies after the effect and before the outcome is recorded."""
        self.service_faults(crash_on="fatal", crash_after_effect=True)
        self.check_with_fault(lambda: None, body="fatal")

    def test_a_service_is_killed(self) -> None:
        """A service is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(self.random_replica().backend.kill)

    def test_an_agent_is_killed(self) -> None:
        """An agent is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(self.random_agent().kill)

    def test_an_entry_is_killed(self) -> None:
        """An entry is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(self.fleet.entries[0].kill)

    def test_an_agent_is_frozen(self) -> None:
        """An agent freezes for longer than its links may be silent, then resumes."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.random_agent())
        )

    def test_an_entry_is_frozen(self) -> None:
        """An entry freezes for longer than its links may be silent, then resumes."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.fleet.entries[0])
        )

    def test_a_frozen_agent_during_slow_claims(self) -> None:
        """An agent freezes while its claims are in flight to the table."""
        local_fleet.set_faults(self.fleet.table, slow_ms=SLOW_MS)
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.random_agent())
        )

    def test_an_agent_is_killed_during_slow_claims(self) -> None:
        """An agent is killed while its claims are in flight to the table."""
        local_fleet.set_faults(self.fleet.table, slow_ms=SLOW_MS)
        self.check_with_fault(self.random_agent().kill)

    def test_processes_restart_while_the_table_is_silent(self) -> None:
        """An agent and an entry are killed and restart while the table is silent."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(self.restart_without_table)

    def test_answers_of_the_table_are_lost(self) -> None:
        """Writes to the table take effect or not, and the answers are lost."""
        local_fleet.set_faults(self.fleet.table, lose_answers=0.4, lose_requests=0.2)
        self.check_with_fault(lambda: None)

    def test_the_table_goes_silent_during_claims(self) -> None:
        """The table stops answering while claims and outcomes are in flight."""
        self.service_faults(slow_ms=SLOW_MS)
        self.check_with_fault(self.silence_table)

    def silence_table(self) -> None:
        local_fleet.set_faults(self.fleet.table, down="silent")
        time.sleep(builders_fleet.FREEZE_S)
        local_fleet.set_faults(self.fleet.table, down="no")

    def restart_without_table(self) -> None:
        local_fleet.set_faults(self.fleet.table, down="silent")
        replica = self.random_replica()
        assert replica.agent is not None
        replica.agent.kill()
        self.fleet.entries[1].kill()
        self.fleet.start_agent(replica.name)
        self.fleet.start_entry(1)
        time.sleep(builders_fleet.FREEZE_S)
        local_fleet.set_faults(self.fleet.table, down="no")

    def check_with_fault(
        self, inject_fault: Callable[[], None], body: str = "bulletin"
    ) -> None:
        """Repeat calls until each has a final answer, and inject a fault meanwhile."""
        prefix = self.id().rpartition(".")[2]
        pending_calls: list[concurrent.futures.Future[history_checkers.CallResult]] = []
        for number in range(KEYS):
            for entry in range(2):
                pending_call = self.callers.start(
                    self.callers.call_until_final,
                    f"{prefix}-{number}",
                    body,
                    entry=entry,
                    seconds=6.0,
                )
                pending_calls.append(pending_call)
            self.random_pause(0.0, 0.1)
        inject_fault()
        self.wait_for_results(pending_calls)
        self.check_calls()

    def wait_for_results(
        self,
        pending_calls: list[concurrent.futures.Future[history_checkers.CallResult]],
    ) -> None:
        for pending_call in pending_calls:
            pending_call.result()
