"""Tests of the directory shard: which holders have which blocks of a chain.

Guards against records of removed holders that remain, and against a wrong count of
block records, by which the shard would evict too early or too late.
"""

import random
import unittest

from quincecrank import directory, ids
from tests import builders_decisions as builders


class DirectoryShardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shard = directory.DirectoryShard(max_blocks=20)
        self.keys = builders.chain_keys(builders.prompt(5))

    def test_lookup_returns_engines_and_copies(self) -> None:
        self.shard.announce(builders.announcement(self.keys[:3], builders.engine()))
        self.shard.announce(builders.announcement(self.keys, builders.store()))
        view = self.shard.lookup(self.keys)
        self.assertEqual(view.held_prefix(builders.ADA), 3)
        self.assertEqual([copy.index for copy in view.copies], [0, 1, 2, 3, 4])
        self.assertEqual(len(self.shard), 5)

    def test_held_prefix_ends_at_the_first_missing_block(self) -> None:
        self.shard.announce(builders.announcement(self.keys, builders.engine()))
        missing_block = directory.Announcement(
            self.keys[0], (self.keys[1],), builders.engine()
        )
        self.shard.withdraw(missing_block)
        view = self.shard.lookup(self.keys)
        self.assertEqual(view.held_prefix(builders.ADA), 1)
        self.assertEqual(view.held_by_server[builders.ADA], {0, 2, 3, 4})

    def test_withdrawal_removes_only_older_incarnations(self) -> None:
        self.shard.announce(builders.announcement(self.keys, builders.engine()))
        self.shard.announce(builders.announcement(self.keys[:2], builders.store("s1")))
        self.shard.announce(builders.announcement(self.keys[:1], builders.store("s2")))
        removed = self.shard.withdraw_engine(builders.ADA, ids.Incarnation("i1"))
        self.assertEqual(removed, 0)
        self.assertEqual(self.shard.withdraw_engine(builders.ADA, None), 5)
        removed = self.shard.withdraw_store(builders.STORE, ids.Incarnation("s2"))
        self.assertEqual(removed, 2)
        view = self.shard.lookup(self.keys)
        self.assertFalse(view.held_by_server)
        self.assertEqual(len(view.copies), 1)
        self.assertEqual(len(self.shard), 1)

    def test_snapshot_replaces_records_and_clears_the_doubtful_mark(self) -> None:
        holder = builders.engine()
        self.shard.announce(builders.announcement(self.keys, holder))
        self.shard.mark_doubtful(holder)
        self.assertEqual(self.shard.lookup(self.keys).doubtful, {builders.ADA})
        self.shard.replace_engine(
            holder, [builders.announcement(self.keys[:2], holder)]
        )
        view = self.shard.lookup(self.keys)
        self.assertFalse(view.doubtful)
        self.assertEqual(view.held_prefix(builders.ADA), 2)

    def test_full_shard_evicts_the_least_recently_used_root(self) -> None:
        chains = [builders.chain_keys(builders.prompt(5, seed)) for seed in range(5)]
        for keys in chains[:4]:
            self.shard.announce(builders.announcement(keys, builders.engine()))
        self.shard.lookup(chains[0])
        self.shard.announce(builders.announcement(chains[4], builders.engine()))
        is_held = [bool(self.shard.lookup(keys).held_by_server) for keys in chains]
        self.assertEqual(is_held, [True, False, True, True, True])
        self.assertEqual(len(self.shard), 20)

    def test_block_count_is_right_after_random_changes(self) -> None:
        generator = random.Random(5)
        chains = [builders.chain_keys(builders.prompt(3, seed)) for seed in range(4)]
        holders = (builders.engine(), builders.engine(builders.BELA), builders.store())
        held: dict[tuple[ids.BlockKey, int], None] = {}
        for _ in range(300):
            keys = generator.choice(chains)
            number = generator.randrange(len(holders))
            changed_keys = keys[: generator.randint(1, 3)]
            change = directory.Announcement(keys[0], changed_keys, holders[number])
            if generator.random() < 0.5:
                self.shard.announce(change)
                held.update(dict.fromkeys((key, number) for key in changed_keys))
            else:
                self.shard.withdraw(change)
                for key in changed_keys:
                    held.pop((key, number), None)
            self.assertEqual(len(self.shard), len({key for key, _ in held}))


class ResponsibleAgentsTest(unittest.TestCase):
    def test_removed_agent_moves_only_its_own_roots(self) -> None:
        agents = [ids.VmName(f"agent-{number}") for number in range(6)]
        for number in range(50):
            root = ids.BlockKey(f"{number:032x}")
            before = directory.responsible_agents(root, agents)
            after = directory.responsible_agents(root, agents[1:])
            self.assertEqual(len(set(before)), directory.SHARD_COPIES)
            if agents[0] not in before:
                self.assertEqual(before, after)
