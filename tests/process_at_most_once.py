"""Keyed calls that may not be repeated, while processes are killed, frozen or cut off.

Each test has one fault; the checkers look at the whole history of the shared fleet.
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
        """A call ran, its answer is lost, its caller repeats it elsewhere."""
        self.service_faults(drop_answers=True)
        self.disturbed(lambda: None)

    def test_a_service_dies_before_the_effect(self) -> None:
        """A service dies between the claim of a call and its effect."""
        self.service_faults(crash_on="fatal")
        self.disturbed(lambda: None, body="fatal")

    def test_a_service_dies_after_the_effect(self) -> None:
        """A service dies after the effect and before the outcome is recorded."""
        self.service_faults(crash_on="fatal", crash_after_effect=True)
        self.disturbed(lambda: None, body="fatal")

    def test_a_service_is_killed(self) -> None:
        """A service is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(self.replica().backend.kill)

    def test_an_agent_is_killed(self) -> None:
        """An agent is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(self.agent().kill)

    def test_an_entry_is_killed(self) -> None:
        """An entry is killed at any time of a call."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(self.fleet.entries[0].kill)

    def test_an_agent_is_frozen(self) -> None:
        """An agent freezes longer than its links may be silent, and goes on."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(lambda: self.freeze(self.agent()))

    def test_an_entry_is_frozen(self) -> None:
        """An entry freezes longer than its links may be silent, and goes on."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(lambda: self.freeze(self.fleet.entries[0]))

    def test_a_frozen_agent_during_slow_claims(self) -> None:
        """An agent freezes while its claims are on their way."""
        local_fleet.set_faults(self.fleet.table, slow_ms=SLOW_MS)
        self.disturbed(lambda: self.freeze(self.agent()))

    def test_an_agent_is_killed_during_slow_claims(self) -> None:
        """An agent is killed while its claims are on their way."""
        local_fleet.set_faults(self.fleet.table, slow_ms=SLOW_MS)
        self.disturbed(self.agent().kill)

    def test_processes_restart_while_the_table_is_silent(self) -> None:
        """An agent and an entry are killed and start again without the table."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(self.restart_without_table)

    def test_answers_of_the_table_are_lost(self) -> None:
        """Writes of the table take effect or not, and nobody is told."""
        local_fleet.set_faults(self.fleet.table, lose_answers=0.4, lose_requests=0.2)
        self.disturbed(lambda: None)

    def test_the_table_goes_silent_during_claims(self) -> None:
        """The table goes silent while claims and outcomes are on their way."""
        self.service_faults(slow_ms=SLOW_MS)
        self.disturbed(self.silence_table)

    def silence_table(self) -> None:
        local_fleet.set_faults(self.fleet.table, down="silent")
        time.sleep(builders_fleet.FREEZE_S)
        local_fleet.set_faults(self.fleet.table, down="no")

    def restart_without_table(self) -> None:
        local_fleet.set_faults(self.fleet.table, down="silent")
        replica = self.replica()
        assert replica.agent is not None
        replica.agent.kill()
        self.fleet.entries[1].kill()
        self.fleet.start_agent(replica.name)
        self.fleet.start_entry(1)
        time.sleep(builders_fleet.FREEZE_S)
        local_fleet.set_faults(self.fleet.table, down="no")

    def disturbed(self, disturb: Callable[[], None], body: str = "bulletin") -> None:
        """Send calls again and again until each is settled, with a fault in between."""
        prefix = self.id().rpartition(".")[2]
        senders: list[concurrent.futures.Future[history_checkers.CallResult]] = []
        for number in range(KEYS):
            for entry in range(2):
                sender = self.callers.start(
                    self.callers.call_until_final,
                    f"{prefix}-{number}",
                    body,
                    entry=entry,
                    seconds=6.0,
                )
                senders.append(sender)
            self.pause(0.0, 0.1)
        disturb()
        self.settle(senders)
        self.check_calls()

    def settle(
        self, senders: list[concurrent.futures.Future[history_checkers.CallResult]]
    ) -> None:
        for sender in senders:
            sender.result()
