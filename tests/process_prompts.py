"""Prompts while engines, agents and entries are killed, freeze or crash.

The content of every answer is checked against its own request.  Mutations
(`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`reuse-stream-numbers`, `share-one-salt`, `answer-from-the-start`, `forget-crashes`,
`keep-crashes-apart`.
"""

import concurrent.futures
import time
from collections.abc import Callable

from quincecrank import ids
from standins import local_fleet
from tests import builders_fleet, fleet_case, history_checkers

PROMPTS = 16
BLOCKS = 3
LONG_ANSWER = 120
RESENDS = 6
MAX_CRASHES = 2

_Sent = list[concurrent.futures.Future[history_checkers.PromptResult]]


class PromptsTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=3, stores=1)

    def test_many_prompts_at_once(self) -> None:
        """Equal prompts of two accounts get their own, complete answers."""
        sent: _Sent = []
        for number in range(PROMPTS):
            text = builders_fleet.prompt(f"many {number}", BLOCKS)
            for account in builders_fleet.ACCOUNTS:
                sent.append(self.send(text, number, account))
        self.wait_for_results(sent)
        self.check_prompts()
        found = history_checkers.unfinished_requests([each.result() for each in sent])
        self.assertEqual(found, [])

    def test_equal_prompts_of_two_accounts_share_nothing(self) -> None:
        """The first prompt of the second account finds no cached tokens."""
        text = builders_fleet.prompt("shared", BLOCKS)
        first = self.callers.ask(text)
        again = self.callers.ask(text)
        other = self.callers.ask(text, account=builders_fleet.RIVAL)
        self.assertEqual((first.cached_tokens, other.cached_tokens), (0, 0))
        self.assertGreater(again.cached_tokens, 0)
        self.check_prompts()

    def test_an_engine_is_killed(self) -> None:
        """An engine is killed while answers stream."""
        self.check_with_fault(self.random_replica().backend.kill)

    def test_an_agent_is_killed(self) -> None:
        """An agent is killed while answers stream."""
        self.check_with_fault(self.random_agent().kill)

    def test_an_entry_is_killed(self) -> None:
        """An entry is killed while answers stream."""
        self.check_with_fault(self.fleet.entries[0].kill)

    def test_an_agent_is_frozen(self) -> None:
        """An agent freezes while answers stream; its late frames reach no answer."""
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.random_agent())
        )

    def test_an_engine_is_frozen(self) -> None:
        """An engine freezes while answers stream, then resumes."""
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.random_replica().backend)
        )

    def test_an_entry_is_frozen(self) -> None:
        """An entry freezes while answers stream, then resumes."""
        self.check_with_fault(
            lambda: self.freeze_until_unreachable(self.fleet.entries[0])
        )

    def test_a_prompt_that_crashes_its_engine(self) -> None:
        """Sent repeatedly through both entries, it crashes at most two engines."""
        fatal = "fatal words " + builders_fleet.prompt("fatal")
        for replica in self.fleet.replicas_by_name.values():
            local_fleet.set_faults(replica.backend, crash_on="fatal words")
        bystanders = self.stream_prompts("bystander")
        results = []
        for number in range(RESENDS):
            results.append(self.callers.ask(fatal, entry=number % 2))
            time.sleep(0.3)
        self.wait_for_results(bystanders)
        self.assertLessEqual(self.stopped_engine_count(), MAX_CRASHES)
        refused = [result.kind for result in results[MAX_CRASHES:]]
        expected = "request-crashes-backend-servers"
        self.assertEqual(refused, [expected] * len(refused))
        rejected = [each.result().kind == expected for each in bystanders]
        self.assertEqual(rejected.count(True), 0)
        self.check_prompts()

    def test_a_crashing_prompt_sent_at_once_through_both_entries(self) -> None:
        """Sent to both entries at the same time, it crashes at most two engines."""
        fatal = "fatal words " + builders_fleet.prompt("fatal twice")
        for replica in self.fleet.replicas_by_name.values():
            local_fleet.set_faults(replica.backend, crash_on="fatal words")
        sent = [
            self.callers.start(self.callers.ask, fatal, entry=number)
            for number in range(2)
        ]
        self.wait_for_results(sent)
        self.callers.ask(fatal, entry=0)
        self.assertLessEqual(self.stopped_engine_count(), MAX_CRASHES)

    def test_an_engine_is_killed_in_each_phase(self) -> None:
        """An engine is killed while prompts wait, in prefill, and while they stream."""
        for phase, seconds in (("waiting", 0.02), ("prefill", 0.1), ("stream", 0.5)):
            with self.subTest(phase):
                self.wait_ready()
                sent: _Sent = []
                for number in range(PROMPTS):
                    text = builders_fleet.prompt(f"{phase} {number}", 4)
                    sent.append(self.send(text, number, builders_fleet.ROOM))
                time.sleep(seconds)
                self.random_replica().backend.kill()
                self.wait_for_results(sent)
                self.check_prompts()
                self.clear_faults()

    def stopped_engine_count(self) -> int:
        return sum(
            not replica.backend.running
            for replica in self.fleet.replicas_by_name.values()
        )

    def send(
        self, text: str, number: int, account: ids.AccountName
    ) -> "concurrent.futures.Future[history_checkers.PromptResult]":
        return self.callers.start(
            self.callers.ask,
            text,
            account=account,
            entry=number % 2,
            max_tokens=LONG_ANSWER,
            streamed=number % 4 > 0,
        )

    def stream_prompts(self, name: str) -> _Sent:
        """Send prompts; return while most of them are running."""
        sent: _Sent = []
        for number in range(PROMPTS):
            text = builders_fleet.prompt(f"{name} {number}", number % BLOCKS)
            account = builders_fleet.ACCOUNTS[number % 3 % 2]
            sent.append(self.send(text, number, account))
        self.random_pause(0.1, 0.8)
        return sent

    def check_with_fault(self, inject_fault: Callable[[], None]) -> None:
        """Inject a fault while answers stream; check the content of every answer."""
        sent = self.stream_prompts(self.id().rpartition(".")[2])
        inject_fault()
        self.wait_for_results(sent)
        self.check_prompts()

    def wait_for_results(self, sent: _Sent) -> None:
        for each in sent:
            each.result()
