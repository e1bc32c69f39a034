"""Tests of the order in which the directory learns news."""

import unittest

from quincecrank import clock, directory_client, directory_service, ids, metrics, rpc
from tests import builders_decisions as builders

OWN = ids.VmName("vm-a")


class AnnouncerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        figures = metrics.AgentMetrics(ids.DeploymentName("lekhak"))
        self.service = directory_service.DirectoryService(figures, clock.ManualClock())
        self.announcer = directory_client.Announcer(
            OWN, lambda: (OWN,), {}, self.service.announce, clock.ManualClock()
        )
        self.keys = builders.chain_keys(builders.prompt(4))
        self.news = builders.news(self.keys, builders.engine())

    def held(self) -> int:
        lookup = rpc.LookupRequest(
            block_keys=self.keys,
            request=builders.fingerprint(),
        )
        reply = self.service.lookup(lookup.model_dump_json().encode())
        return reply.chain.held_prefix(builders.ADA)

    async def test_the_last_news_of_a_block_counts(self) -> None:
        self.announcer.withdraw([self.news])
        self.announcer.announce([self.news])
        await self.announcer.flush()
        self.assertEqual(self.held(), 4)
        self.announcer.announce([self.news])
        self.announcer.withdraw([self.news])
        await self.announcer.flush()
        self.assertEqual(self.held(), 0)

    async def test_a_snapshot_overrules_the_news_before_it(self) -> None:
        self.announcer.announce([self.news])
        self.announcer.withdraw([builders.news(self.keys[:2], builders.engine())])
        part = builders.news(self.keys[:2], builders.engine())
        self.announcer.snapshot(builders.engine(), [part])
        await self.announcer.flush()
        self.assertEqual(self.held(), 2)
