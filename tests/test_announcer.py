"""Tests of the announcer: the directory must end in the state that was queued last.

A request carries additions and removals separately, so that their order would be lost
if the announcer did not merge the changes of a block before it sends them.
"""

import unittest

from quincecrank import clock, directory_client, directory_service, ids, metrics, rpc
from tests import builders_decisions as builders

OWN = ids.VmName("vm-a")


class AnnouncerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        figures = metrics.AgentMetrics(ids.DeploymentName("lekhak"))
        self.service = directory_service.DirectoryService(figures, clock.ManualClock())
        self.announcer = directory_client.Announcer(
            OWN,
            lambda: (OWN,),
            {},
            self.service.apply_announcements,
            clock.ManualClock(),
        )
        self.keys = builders.chain_keys(builders.prompt(4))
        self.announcement = builders.announcement(self.keys, builders.engine())

    def held_blocks(self) -> int:
        lookup = rpc.LookupRequest(
            block_keys=self.keys,
            request=builders.fingerprint(),
        )
        reply = self.service.lookup(lookup.model_dump_json().encode())
        return reply.chain.held_prefix(builders.ADA)

    async def test_the_last_change_of_a_block_wins(self) -> None:
        self.announcer.withdraw([self.announcement])
        self.announcer.announce([self.announcement])
        await self.announcer.flush()
        self.assertEqual(self.held_blocks(), 4)
        self.announcer.announce([self.announcement])
        self.announcer.withdraw([self.announcement])
        await self.announcer.flush()
        self.assertEqual(self.held_blocks(), 0)

    async def test_snapshot_replaces_changes_queued_before_it(self) -> None:
        self.announcer.announce([self.announcement])
        self.announcer.withdraw(
            [builders.announcement(self.keys[:2], builders.engine())]
        )
        first_two = builders.announcement(self.keys[:2], builders.engine())
        self.announcer.announce_snapshot(builders.engine(), [first_two])
        await self.announcer.flush()
        self.assertEqual(self.held_blocks(), 2)
