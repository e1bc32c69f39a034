"""Limits on failed prompts, retries and waits under overload and partial outages.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`retry-without-bound`, `hold-without-table`.
"""

import concurrent.futures
import time
from collections.abc import Callable
from typing import Final

from quincecrank import retry_budget
from standins import launcher, local_fleet
from tests import builders_fleet, fleet_case
from tests import history_checkers as checkers

REPLICAS: Final = 3
BURST: Final = 48
ROUNDS: Final = 4
WARM_UP_CALLS: Final = 12
DEADLINE_MS: Final = 3_000
PROMPTS_PER_ROUND: Final = 24
PROMPT_ROUNDS: Final = 3


class BoundsTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(
        engines=REPLICAS,
        services=2,
        flags={"max_batch": 2, "max_waiting": 1, "decode_ms": 20},
    )

    def test_retries_under_overload(self) -> None:
        """Retries stay within a tenth of first attempts plus the budget's floor."""
        for number, process in enumerate(self.fleet.entries):
            # A new entry starts without budget accumulated from earlier requests.
            process.kill()
            self.fleet.start_entry(number)
        started = time.monotonic()
        self.wait_ready()
        for number in range(ROUNDS):
            self.send_burst(f"overload {number}")
        elapsed_s = time.monotonic() - started
        retries = self.count("quince_retries_total")
        answers = self.count("quince_answers_total")
        floor = 1 + elapsed_s * retry_budget.MIN_RETRIES_PER_SECOND
        allowed = retry_budget.RETRIES_PER_FIRST_ATTEMPT * answers + floor * len(
            self.fleet.entries
        )
        self.assertGreaterEqual(answers, ROUNDS * BURST)
        self.assertLessEqual(retries, allowed)
        self.check_prompts()

    def test_a_dead_engine_costs_its_share(self) -> None:
        """After an engine is killed, at most its share of the prompts fails."""
        engine = self.fleet.replicas_by_name[f"{builders_fleet.MODEL}-1"].backend
        self.check_failed_share(engine.kill)

    def test_a_silent_agent_costs_its_share(self) -> None:
        """After an agent freezes, at most its share of the prompts fails."""
        self.check_failed_share(self.model_agent().freeze)

    def test_a_dead_agent_costs_its_share(self) -> None:
        """After an agent is killed, at most its share of the prompts fails."""
        self.check_failed_share(self.model_agent().kill)

    def test_the_table_is_out(self) -> None:
        """Without the table, prompts are served; keyed calls get "not run" in time."""
        for fault in ({"down": "refused"}, {"down": "silent"}, {"slow_ms": 30_000}):
            with self.subTest(fault):
                local_fleet.set_faults(self.fleet.table, **fault)
                try:
                    self.check_without_table(str(fault))
                finally:
                    self.clear_faults()
                self.check_recovered(str(fault))

    def check_without_table(self, name: str) -> None:
        # The first calls detect that the table is unavailable.
        for each in self.calls(f"{name} early", WARM_UP_CALLS):
            self.assertIn(each.ran, ("not-run", "unknown"), each)
        for each in self.calls(name, WARM_UP_CALLS):
            seen = (each.kind, each.ran, each.retry_after_ms > 0)
            self.assertEqual(seen, ("platform-table-out", "not-run", True))
        prompts = [
            self.callers.ask(builders_fleet.prompt(f"{name} {number}"), entry=number)
            for number in range(2)
        ]
        self.assertEqual([each.status for each in prompts], [200, 200])
        self.check_calls()
        self.check_prompts()

    def check_recovered(self, name: str) -> None:
        result = self.callers.call_until_final(f"{name} recovered")
        self.assertTrue(result.succeeded, result)
        self.check_calls()

    def calls(self, name: str, count: int) -> list[checkers.CallResult]:
        sent = [
            self.callers.start(
                self.callers.call,
                f"{name} {number}",
                entry=number % 2,
                deadline_ms=DEADLINE_MS,
            )
            for number in range(count)
        ]
        return [each.result() for each in sent]

    def model_agent(self) -> launcher.Process:
        agent = self.fleet.replicas_by_name[f"{builders_fleet.MODEL}-1"].agent
        assert agent is not None
        return agent

    def check_failed_share(self, inject_fault: Callable[[], None]) -> None:
        """Inject a fault; check how many of the prompts sent after it fail."""
        inject_fault()
        results = []
        for number in range(PROMPT_ROUNDS):
            results += self.send_prompts(f"{self.id()} {number}")
        failed = [result.kind for result in results if not is_answered(result)]
        self.assertLessEqual(len(failed), len(results) // REPLICAS, failed)
        self.check_prompts()

    def send_prompts(self, name: str) -> list[checkers.PromptResult]:
        """Send prompts at a rate that two backend servers can serve."""
        sent: list[concurrent.futures.Future[checkers.PromptResult]] = []
        for number in range(PROMPTS_PER_ROUND):
            text = builders_fleet.prompt(f"{name} {number}")
            sent.append(
                self.callers.start(
                    self.callers.ask, text, entry=number % 2, max_tokens=4
                )
            )
            time.sleep(0.05)
        return [each.result() for each in sent]

    def send_burst(self, name: str) -> None:
        sent = [
            self.callers.start(
                self.callers.ask,
                builders_fleet.prompt(f"{name} {number}", 1),
                entry=number % 2,
                max_tokens=8,
            )
            for number in range(BURST)
        ]
        for each in sent:
            each.result()

    def count(self, name: str) -> float:
        return sum(
            self.callers.metric(name, entry) for entry in range(len(self.fleet.entries))
        )


def is_answered(result: checkers.PromptResult) -> bool:
    """Return whether a caller received a complete, successful answer."""
    return result.is_complete and result.status == 200
