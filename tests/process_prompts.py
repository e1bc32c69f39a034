"""Prompts while engines, agents, entries and store VMs die, freeze or crash.

Every answer is checked by content against its own request.  Mutations
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
CRASHES_ALLOWED = 2

_Sent = list[concurrent.futures.Future[history_checkers.PromptResult]]


class PromptsTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=3, stores=1)

    def test_many_prompts_at_once(self) -> None:
        """Answers of two accounts' equal prompts don't cross; some callers leave."""
        sent: _Sent = []
        for number in range(PROMPTS):
            text = builders_fleet.prompt(f"many {number}", BLOCKS)
            for account in builders_fleet.ACCOUNTS:
                sent.append(self.send(text, number, account))
        self.settle(sent)
        self.check_prompts()
        found = history_checkers.cut_requests([each.result() for each in sent])
        self.assertEqual(found, [])

    def test_equal_prompts_of_two_accounts_share_nothing(self) -> None:
        """The second account's first prompt finds nothing cached."""
        text = builders_fleet.prompt("shared", BLOCKS)
        first = self.callers.ask(text)
        again = self.callers.ask(text)
        other = self.callers.ask(text, account=builders_fleet.RIVAL)
        self.assertEqual((first.cached_tokens, other.cached_tokens), (0, 0))
        self.assertGreater(again.cached_tokens, 0)
        self.check_prompts()

    def test_an_engine_is_killed(self) -> None:
        """An engine is killed while answers stream."""
        self.disturbed(self.replica().backend.kill)

    def test_an_agent_is_killed(self) -> None:
        """An agent is killed while answers stream."""
        self.disturbed(self.agent().kill)

    def test_an_entry_is_killed(self) -> None:
        """An entry is killed while answers stream."""
        self.disturbed(self.fleet.entries[0].kill)

    def test_an_agent_is_frozen(self) -> None:
        """An agent freezes while answers stream; its late frames are no one's."""
        self.disturbed(lambda: self.freeze(self.agent()))

    def test_an_engine_is_frozen(self) -> None:
        """An engine freezes while answers stream, and goes on."""
        self.disturbed(lambda: self.freeze(self.replica().backend))

    def test_an_entry_is_frozen(self) -> None:
        """An entry freezes while answers stream, and goes on."""
        self.disturbed(lambda: self.freeze(self.fleet.entries[0]))

    def test_a_prompt_that_crashes_its_engine(self) -> None:
        """Sent again and again through both entries, it ends at most two engines."""
        fatal = "fatal words " + builders_fleet.prompt("fatal")
        for replica in self.fleet.replicas_by_name.values():
            local_fleet.set_faults(replica.backend, crash_on="fatal words")
        bystanders = self.stream_prompts("bystander")
        results = []
        for number in range(RESENDS):
            results.append(self.callers.ask(fatal, entry=number % 2))
            time.sleep(0.3)
        self.settle(bystanders)
        self.assertLessEqual(self.engines_down(), CRASHES_ALLOWED)
        refused = [result.kind for result in results[CRASHES_ALLOWED:]]
        expected = "request-crashes-backend-servers"
        self.assertEqual(refused, [expected] * len(refused))
        wrongly = [each.result().kind == expected for each in bystanders]
        self.assertEqual(wrongly.count(True), 0)
        self.check_prompts()

    def test_a_crashing_prompt_sent_at_once_through_both_entries(self) -> None:
        """Two entries that learn of the crashes at the same time end two engines."""
        fatal = "fatal words " + builders_fleet.prompt("fatal twice")
        for replica in self.fleet.replicas_by_name.values():
            local_fleet.set_faults(replica.backend, crash_on="fatal words")
        sent = [
            self.callers.start(self.callers.ask, fatal, entry=number)
            for number in range(2)
        ]
        self.settle(sent)
        self.callers.ask(fatal, entry=0)
        self.assertLessEqual(self.engines_down(), CRASHES_ALLOWED)

    def test_an_engine_is_killed_in_each_phase(self) -> None:
        """An engine is killed while prompts wait, are computed, and stream."""
        for phase, seconds in (("waiting", 0.02), ("prefill", 0.1), ("stream", 0.5)):
            with self.subTest(phase):
                self.wait_ready()
                sent: _Sent = []
                for number in range(PROMPTS):
                    text = builders_fleet.prompt(f"{phase} {number}", 4)
                    sent.append(self.send(text, number, builders_fleet.ROOM))
                time.sleep(seconds)
                self.replica().backend.kill()
                self.settle(sent)
                self.check_prompts()
                self.heal()

    def engines_down(self) -> int:
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
        """Send prompts and return while most of them run."""
        sent: _Sent = []
        for number in range(PROMPTS):
            text = builders_fleet.prompt(f"{name} {number}", number % BLOCKS)
            account = builders_fleet.ACCOUNTS[number % 3 % 2]
            sent.append(self.send(text, number, account))
        self.pause(0.1, 0.8)
        return sent

    def disturbed(self, disturb: Callable[[], None]) -> None:
        """Stream answers, do the fault, and check every answer by content."""
        sent = self.stream_prompts(self.id().rpartition(".")[2])
        disturb()
        self.settle(sent)
        self.check_prompts()

    def settle(self, sent: _Sent) -> None:
        for each in sent:
            each.result()
