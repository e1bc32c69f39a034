"""Service times that gateways find in the store after the loss of all others."""

import dataclasses
import os
import unittest

import structlog

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows
from quincecrank.gateway import (
    order_lease,
    peers,
    row_consumers,
    service_times,
    stored_service_times,
)
from tests import builders_gateway as builders
from tests import builders_store as stored
from tests import test_gateway_followers as cases
from tests import wrapped_program

LEARNED = service_times.Times(70.0, 0.012, 0.01, 0.5, 1.0, 9.0, 80.0)
FAST_PEER = dataclasses.replace(LEARNED, base_ms=20.0)
WORK = service_times.Work(missing_tokens=9_000)


def setUpModule() -> None:
    """Apply the mutation of `run_mutations`, if any."""
    mutation = os.environ.get("QUINCE_MUTATION")
    if mutation:
        wrapped_program.MUTATIONS_BY_NAME[mutation]()


class StoredServiceTimesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(0)
        self.store = cases.FakeStore()
        self.times, self.row, self.members = self.make_gateway("entry-1")

    def make_gateway(
        self, name: str
    ) -> tuple[
        service_times.ServiceTimes,
        stored_service_times.StoredServiceTimes,
        row_consumers.MemberRowConsumer,
    ]:
        own_settings = dataclasses.replace(
            builders.make_environment(), vm=ids.VmName(name)
        )
        directory = peers.PeerDirectory(own_settings, self.clock, store_era.StoreEra())
        times = service_times.ServiceTimes()
        row = stored_service_times.StoredServiceTimes(
            times, directory, self.store, self.clock
        )
        lease = order_lease.OrderLease(self.store, own_settings.vm, 3_000, self.clock)
        members = row_consumers.MemberRowConsumer(directory, lease, stored_times=row)
        members.apply_snapshot(stored.make_rows(0))
        return times, row, members

    def apply_row(self, text: str, version: int, era: int = 0) -> None:
        row = stored.make_row(stored_service_times.ROW_KEY, text, version, era=era)
        self.members.apply_snapshot(stored.make_rows(version, row, era=era))

    async def write_for_seconds(self, seconds: int) -> None:
        for _ in range(seconds):
            self.clock.advance(1_000)
            await self.row.write_if_due()

    def test_gateways_knew_no_service_times_after_the_loss_of_all(self) -> None:
        text = stored_service_times.encode({"llm": LEARNED})
        # The row of an earlier era is as good.
        self.apply_row(text, 5, era=3)
        self.apply_row("{}", 1, era=4)
        expected_ms = LEARNED.expected_ms(WORK)
        self.assertAlmostEqual(
            self.times.times_of("llm").expected_ms(WORK), expected_ms
        )
        self.assertEqual(self.times.times_of("other"), service_times.PRIOR)

    def test_stored_times_replaced_those_of_live_peers(self) -> None:
        self.times.apply_peer_times("llm", FAST_PEER)
        self.apply_row(stored_service_times.encode({"llm": LEARNED}), 5)
        self.assertEqual(self.times.times_of("llm"), FAST_PEER)

    def test_a_malformed_row_stopped_the_reading_of_members(self) -> None:
        times = stored_service_times.encode({"llm": LEARNED})
        for text in (
            "",
            "[]",
            '{"services": 1}',
            '{"services": [1]}',
            times.replace("70.0", "NaN"),
            times.replace("70.0", "-1"),
            times.replace("70.0", "1e300"),
            times.replace("70.0", "true"),
        ):
            with self.subTest(text), structlog.testing.capture_logs() as lines:
                self.apply_row(text, 5)
                self.assertEqual(self.times.times_of("llm"), service_times.PRIOR)
                self.assertEqual(len(lines), 1)

    async def test_the_row_was_written_for_each_small_change(self) -> None:
        self.times.apply_peer_times("llm", LEARNED)
        await self.write_for_seconds(20)
        self.assertEqual(len(self.store.writes), 1)
        slower = dataclasses.replace(LEARNED, base_ms=LEARNED.base_ms * 1.05)
        self.times.apply_peer_times("llm", slower)
        await self.write_for_seconds(20)
        self.assertEqual(len(self.store.writes), 1)
        slower = dataclasses.replace(LEARNED, base_ms=LEARNED.base_ms * 1.2)
        self.times.apply_peer_times("llm", slower)
        await self.write_for_seconds(20)
        self.assertEqual(len(self.store.writes), 2)

    async def test_the_row_was_written_more_often_than_every_five_seconds(
        self,
    ) -> None:
        for second in range(30):
            base_ms = LEARNED.base_ms * 1.3**second
            changed = dataclasses.replace(LEARNED, base_ms=base_ms)
            self.times.apply_peer_times("llm", changed)
            await self.write_for_seconds(1)
        self.assertLessEqual(len(self.store.writes), 6)
        self.assertGreaterEqual(len(self.store.writes), 5)

    async def test_two_gateways_that_rank_first_wrote_in_turn(self) -> None:
        """Each knew nothing of the other."""
        other_times, other, _ = self.make_gateway("entry-2")
        self.times.apply_peer_times("llm", LEARNED)
        other_times.apply_peer_times("llm", FAST_PEER)
        self.clock.advance(5_000)
        await self.row.write_if_due()
        await other.write_if_due()
        await self.row.write_if_due()
        self.assertEqual(self.store.row_position, stored.at(10))

    async def test_a_failed_write_was_repeated_at_once(self) -> None:
        self.times.apply_peer_times("llm", LEARNED)
        self.store.fail_writes = [store_rows.OutcomeUnknownError("lost")]
        self.clock.advance(5_000)
        with self.assertRaises(store_rows.StoreUnavailableError):
            await self.row.write_if_due()
        await self.write_for_seconds(4)
        self.assertEqual(len(self.store.writes), 1)
        await self.write_for_seconds(1)
        self.assertEqual(len(self.store.writes), 2)
