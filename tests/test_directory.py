"""Tests of the directory shard."""

import random
import unittest

from quincecrank import directory, ids
from tests import builders_decisions as builders


class DirectoryShardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shard = directory.DirectoryShard(max_blocks=20)
        self.keys = builders.chain_keys(builders.prompt(5))

    def test_lookup_joins_engines_and_copies(self) -> None:
        self.shard.announce(builders.news(self.keys[:3], builders.engine()))
        self.shard.announce(builders.news(self.keys, builders.store()))
        view = self.shard.lookup(self.keys)
        self.assertEqual(view.held_prefix(builders.ADA), 3)
        self.assertEqual([copy.index for copy in view.copies], [0, 1, 2, 3, 4])
        self.assertEqual(len(self.shard), 5)

    def test_a_hole_ends_the_held_prefix(self) -> None:
        self.shard.announce(builders.news(self.keys, builders.engine()))
        hole = directory.Announcement(self.keys[0], (self.keys[1],), builders.engine())
        self.shard.withdraw(hole)
        view = self.shard.lookup(self.keys)
        self.assertEqual(view.held_prefix(builders.ADA), 1)
        self.assertEqual(view.held_by_server[builders.ADA], {0, 2, 3, 4})

    def test_only_old_incarnations_are_withdrawn(self) -> None:
        self.shard.announce(builders.news(self.keys, builders.engine()))
        self.shard.announce(builders.news(self.keys[:2], builders.store("s1")))
        self.shard.announce(builders.news(self.keys[:1], builders.store("s2")))
        removed = self.shard.withdraw_engine(builders.ADA, ids.Incarnation("i1"))
        self.assertEqual(removed, 0)
        self.assertEqual(self.shard.withdraw_engine(builders.ADA, None), 5)
        removed = self.shard.withdraw_store(builders.STORE, ids.Incarnation("s2"))
        self.assertEqual(removed, 2)
        view = self.shard.lookup(self.keys)
        self.assertFalse(view.held_by_server)
        self.assertEqual(len(view.copies), 1)
        self.assertEqual(len(self.shard), 1)

    def test_a_snapshot_clears_doubt_and_replaces_what_was_known(self) -> None:
        holder = builders.engine()
        self.shard.announce(builders.news(self.keys, holder))
        self.shard.mark_doubtful(holder)
        self.assertEqual(self.shard.lookup(self.keys).doubtful, {builders.ADA})
        self.shard.replace_engine(holder, [builders.news(self.keys[:2], holder)])
        view = self.shard.lookup(self.keys)
        self.assertFalse(view.doubtful)
        self.assertEqual(view.held_prefix(builders.ADA), 2)

    def test_the_least_recently_used_root_leaves_first(self) -> None:
        chains = [builders.chain_keys(builders.prompt(5, seed)) for seed in range(5)]
        for keys in chains[:4]:
            self.shard.announce(builders.news(keys, builders.engine()))
        self.shard.lookup(chains[0])
        self.shard.announce(builders.news(chains[4], builders.engine()))
        known = [bool(self.shard.lookup(keys).held_by_server) for keys in chains]
        self.assertEqual(known, [True, False, True, True, True])
        self.assertEqual(len(self.shard), 20)

    def test_the_entry_count_survives_random_changes(self) -> None:
        generator = random.Random(5)
        chains = [builders.chain_keys(builders.prompt(3, seed)) for seed in range(4)]
        holders = (builders.engine(), builders.engine(builders.BELA), builders.store())
        held: dict[tuple[ids.BlockKey, int], None] = {}
        for _ in range(300):
            keys = generator.choice(chains)
            number = generator.randrange(len(holders))
            part = keys[: generator.randint(1, 3)]
            change = directory.Announcement(keys[0], part, holders[number])
            if generator.random() < 0.5:
                self.shard.announce(change)
                held.update(dict.fromkeys((key, number) for key in part))
            else:
                self.shard.withdraw(change)
                for key in part:
                    held.pop((key, number), None)
            self.assertEqual(len(self.shard), len({key for key, _ in held}))


class ResponsibleAgentsTest(unittest.TestCase):
    def test_a_lost_agent_moves_only_its_own_roots(self) -> None:
        agents = [ids.VmName(f"agent-{number}") for number in range(6)]
        for number in range(50):
            root = ids.BlockKey(f"{number:032x}")
            before = directory.responsible_agents(root, agents)
            after = directory.responsible_agents(root, agents[1:])
            self.assertEqual(len(set(before)), directory.SHARD_COPIES)
            if agents[0] not in before:
                self.assertEqual(before, after)
