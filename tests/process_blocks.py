"""KV blocks in a store VM that is full, writes blocks partly, dies or restarts empty.

The content of every answer is checked: the stand-in engines import any payload, so a
wrong, incomplete or foreign block leads to a wrong answer.  Mutations
(`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`open-any-block`, `share-one-salt`.
"""

import time
from typing import ClassVar, Final

from quincecrank import configuration
from standins import local_fleet
from tests import builders_fleet, fleet_case, history_checkers

BLOCKS: Final = 8
GUIDES: Final = 4
ROUNDS: Final = 3
SETTLE_S: Final = 0.6


class BlocksTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(
        engines=2,
        stores=1,
        flags={
            "cache_blocks": 16,
            "prefill_tokens_per_second": 20_000,
            "event_loss": 0.2,
            "payload_bytes": 16_384,
        },
        weights=configuration.PolicyWeights(first_token=0.2, recomputed=60, link=2),
    )
    sent_count: ClassVar[int] = 0

    def clear_faults(self) -> None:
        store = self.fleet.stores_by_name[builders_fleet.STORE]
        store.thaw()
        if not store.running:
            self.fleet.start_store(builders_fleet.STORE, {})
        else:
            local_fleet.set_faults(
                store, full=False, torn_writes=0, slow_factor=1, drop_answers=0
            )
        super().clear_faults()

    def store_faults(self, **switches: object) -> None:
        store = self.fleet.stores_by_name[builders_fleet.STORE]
        local_fleet.set_faults(store, **switches)

    def send_rounds(self, name: str) -> list[history_checkers.PromptResult]:
        """Send prompts with long texts, whose blocks evict those of the others."""
        results = []
        for _ in range(ROUNDS):
            for guide in range(GUIDES):
                BlocksTest.sent_count += 1
                text = builders_fleet.prompt(f"{name} {guide}", BLOCKS)
                results.append(
                    self.callers.ask(
                        f"{text} {self.sent_count}",
                        account=builders_fleet.ACCOUNTS[guide % 2],
                        entry=self.sent_count % 2,
                    )
                )
            time.sleep(SETTLE_S)
        return results

    def check_answers(self, name: str) -> None:
        """Check that prompts get complete, correct answers whatever the store does."""
        results = self.send_rounds(name)
        self.assertEqual(history_checkers.unfinished_requests(results), [])
        refused = [result.kind for result in results if result.status != 200]
        self.assertEqual(refused, [])
        self.check_prompts()

    def stored_bytes(self) -> int:
        store = self.fleet.stores_by_name[builders_fleet.STORE]
        stats = local_fleet.call_json("GET", f"{store.url}/stats")
        return int(stats["memory_used"])

    def test_blocks_return_from_the_store(self) -> None:
        """Without a fault, blocks that engines evict are saved in the store."""
        self.check_answers("healthy")
        self.assertGreater(self.stored_bytes(), 0)

    def test_torn_writes(self) -> None:
        """Blocks that the store wrote only in part are never used."""
        self.store_faults(torn_writes=0.6)
        self.check_answers("torn")

    def test_lost_answers_of_the_store(self) -> None:
        """Writes take effect, but their answers are lost."""
        self.store_faults(drop_answers=0.6)
        self.check_answers("lost")

    def test_the_store_is_full(self) -> None:
        """A full store reduces reuse of blocks; prompts are still answered."""
        self.store_faults(full=True)
        self.check_answers("full")

    def test_the_store_is_slow(self) -> None:
        """With a slow store, prompts are still answered."""
        self.store_faults(slow_factor=50)
        self.check_answers("slow")

    def test_the_store_is_killed_and_restarted_empty(self) -> None:
        """Blocks of the store's earlier incarnation are not requested, or not found."""
        self.check_answers("killed")
        store = self.fleet.stores_by_name[builders_fleet.STORE]
        load = self.callers.start(self.send_rounds, "killed")
        self.random_pause(0.2, 1.0)
        store.kill()
        self.random_pause(0.2, 1.0)
        self.fleet.start_store(builders_fleet.STORE, {})
        self.assertEqual(history_checkers.unfinished_requests(load.result()), [])
        self.check_answers("killed")

    def test_the_store_freezes(self) -> None:
        """Prompts are answered while the store does not respond."""
        self.check_answers("frozen")
        store = self.fleet.stores_by_name[builders_fleet.STORE]
        load = self.callers.start(self.send_rounds, "frozen")
        self.random_pause(0.2, 1.0)
        store.freeze()
        time.sleep(builders_fleet.FREEZE_S)
        store.thaw()
        self.assertEqual(history_checkers.unfinished_requests(load.result()), [])
        self.check_prompts()

    def test_weights_are_rolled_between_rounds(self) -> None:
        """Blocks of the old weights, in engines and in the store, are not used."""
        self.check_answers("rolled")
        version = self.callers.run_command("show tiers", version=0)["version"]
        for new in (builders_fleet.V2, builders_fleet.V1):
            text = f"roll {builders_fleet.MODEL} to {new}"
            answer = self.callers.run_command(text, version=version)
            self.assertEqual(answer["status"], 200, answer)
            version = answer["version"]
            time.sleep(history_checkers.CONFIGURATION_LIMIT_MS / 1_000)
            self.wait_ready()
            for guide in range(GUIDES):
                result = self.callers.ask(
                    builders_fleet.prompt(f"rolled {guide}", BLOCKS),
                    account=builders_fleet.ACCOUNTS[guide % 2],
                    versions=(new,),
                )
                self.assertEqual(result.status, 200, result.kind)
        self.check_prompts()
