"""Tests of the times of target versions, across the end of all gateways."""

import json
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import (
    fleet_state,
    followers,
    row_consumers,
    store_clock,
    tables,
    target_times,
)
from tests import builders_gateway as builders
from tests import builders_store as stored

BOUND_MS = 8_000
CLOCK_DIFFERENCE_MS = 70_000
"""Difference between the store's clock and that of the first gateway."""


class OneRowStore:
    """A store that holds one row of the members table."""

    def __init__(self, era: int = store_rows.FIRST_ERA) -> None:
        self.era = era
        self.row: store_rows.Row | None = None
        self.writes = 0

    async def write(
        self,
        table: tables.TableName,
        key: str,
        text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write the row if its position is `expected`."""
        assert table is tables.TableName.MEMBERS
        current = stored.at(0, self.era) if self.row is None else self.row.position
        if expected != current:
            text = "" if self.row is None else self.row.text
            return store_rows.WriteResult(False, current, text)
        self.writes += 1
        self.row = store_rows.Row(key, text, stored.at(self.writes, self.era))
        return store_rows.WriteResult(True, self.row.position)


class Gateway:
    """The parts of a gateway that handle target versions.

    Parameters
    ----------
    difference_ms : int
        Difference between the store's clock and this gateway's.
    is_first : bool
        Whether it is ranked first.
    """

    def __init__(
        self,
        store: OneRowStore,
        now_ms: int,
        difference_ms: int = CLOCK_DIFFERENCE_MS,
        *,
        is_first: bool = True,
    ) -> None:
        self.clock = clocks.ManualClock(now_ms)
        self.store = store
        self.fleet = fleet_state.FleetState(builders.make_environment(), self.clock)
        self.operator = row_consumers.OperatorRowConsumer(self.fleet)
        self.store_clock = store_clock.StoreClock()
        self.difference_ms = difference_ms
        directory = mock.Mock(own_name="entry-1")
        directory.first_ranked.return_value = ("entry-1" if is_first else "entry-2",)
        self.times = target_times.TargetTimes(
            self.fleet, directory, mock.Mock(write=store.write), self.store_clock,
            self.clock,
        )  # fmt: skip

    def read(self, version: int | None, took_ms: int = 4) -> None:
        """Read both tables in full: the row, and the operator's target version."""
        sent_ms = self.clock.now_ms()
        self.clock.advance(took_ms)
        self.observe_store_time(sent_ms)
        row = self.store.row
        self.times.handle_full_read(self.store.era)
        self.times.apply_rows(() if row is None else (row,))
        rows = () if version is None else (make_target_row(version),)
        self.operator.apply_snapshot(stored.make_rows(9, *rows))

    def observe_store_time(self, sent_ms: int) -> None:
        """Take the store's time from an answer that was made as the call was sent."""
        sample = store_clock.Sample(
            sent_ms + self.difference_ms, sent_ms, self.clock.now_ms()
        )
        self.store_clock.observe(sample)

    def receive(self, version: int) -> None:
        """Receive a target version as the operator sets it."""
        self.operator.apply_changes((make_target_row(version),))

    def may_serve(self, version: int) -> bool:
        return self.fleet.target_versions.may_serve(
            builders.MODEL, version, self.clock.now_ms(), BOUND_MS
        )


def make_target_row(version: int) -> store_rows.Row:
    text = json.dumps({"model": builders.MODEL, "version": version})
    return stored.make_row(f"version/{builders.MODEL}", text, version)


class ReceivedAgeTest(unittest.TestCase):
    """A target version that reaches a gateway after it was set."""

    def setUp(self) -> None:
        self.gateway = Gateway(OneRowStore(), 50_000)
        self.gateway.read(None)
        self.gateway.fleet.lateness_ms = lambda: 1_200

    def age_ms(self, arrival: followers.Arrival) -> int:
        self.gateway.operator.apply_changes((make_target_row(2),), arrival)
        since_ms = self.gateway.fleet.target_versions.outdated_since_ms(
            builders.MODEL, 1
        )
        assert since_ms is not None
        return self.gateway.clock.now_ms() - since_ms

    def test_a_target_read_after_a_standstill_counted_from_its_reading(self) -> None:
        asked_ms = self.gateway.clock.now_ms() - 2_000
        arrival = followers.Arrival(followers.STORE, asked_ms, None)
        self.assertEqual(self.age_ms(arrival), 1_200)

    def test_a_pushed_target_counted_from_its_reading(self) -> None:
        """Outdated weights got requests for longer than the operator allows."""
        now_ms = self.gateway.clock.now_ms()
        arrival = followers.Arrival(followers.PUSH, now_ms, now_ms - 300, "", 500)
        self.assertEqual(self.age_ms(arrival), 800)


class TargetTimesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = OneRowStore()

    async def start_first(self, version: int | None = None) -> Gateway:
        """Start a gateway with a store that names `version` or no target."""
        gateway = Gateway(self.store, 100_000)
        gateway.read(version)
        await gateway.times.write_if_due()
        return gateway

    async def start_again(self, version: int, after_ms: int) -> Gateway:
        """Start another gateway `after_ms` after 100,000, by a clock of its own."""
        difference_ms = 5_000
        own_ms = 100_000 + after_ms + CLOCK_DIFFERENCE_MS - difference_ms
        gateway = Gateway(self.store, own_ms, difference_ms)
        gateway.read(version)
        await gateway.times.write_if_due()
        return gateway

    async def test_outdated_engines_got_nothing_after_all_gateways_were_killed(
        self,
    ) -> None:
        """The deadline of a target version of the first read counted as passed."""
        first = await self.start_first()
        first.receive(2)
        await first.times.write_if_due()
        second = await self.start_again(2, after_ms=1_500)
        self.assertTrue(second.may_serve(1))
        second.clock.advance(4_800)
        self.assertTrue(second.may_serve(1))
        second.clock.advance(100)
        self.assertFalse(second.may_serve(1))

    async def test_a_target_that_is_not_in_the_row_may_have_any_age(self) -> None:
        first = await self.start_first()
        first.receive(2)
        second = await self.start_again(2, after_ms=1_500)
        self.assertFalse(second.may_serve(1))
        await second.times.write_if_due()
        third = await self.start_again(2, after_ms=1_700)
        self.assertFalse(third.may_serve(1))

    async def test_an_unknown_age_stays_unknown_at_a_second_full_read(self) -> None:
        gateway = await self.start_first(2)
        gateway.read(2)
        gateway.receive(2)
        await gateway.times.write_if_due()
        self.assertFalse(gateway.may_serve(1))
        self.assertFalse((await self.start_again(2, after_ms=100)).may_serve(1))

    async def test_a_later_target_does_not_extend_an_earlier_deadline(self) -> None:
        first = await self.start_first()
        first.receive(2)
        await first.times.write_if_due()
        first.clock.advance(7_000)
        first.receive(3)
        await first.times.write_if_due()
        second = await self.start_again(3, after_ms=8_000)
        self.assertEqual([second.may_serve(1), second.may_serve(2)], [False, True])

    async def test_a_later_target_does_not_stand_for_one_of_unknown_age(self) -> None:
        first = await self.start_first(2)
        first.receive(3)
        await first.times.write_if_due()
        second = await self.start_again(3, after_ms=1_000)
        self.assertEqual([second.may_serve(1), second.may_serve(2)], [False, True])

    async def test_a_time_read_before_the_target_is_used_once_it_is_read(self) -> None:
        first = await self.start_first()
        first.receive(2)
        await first.times.write_if_due()
        second = Gateway(self.store, 101_000)
        second.read(None)
        self.assertIsNone(second.fleet.target_versions.target_version(builders.MODEL))
        second.operator.apply_snapshot(stored.make_rows(9, make_target_row(2)))
        second.operator.apply_changes(())
        await second.times.write_if_due()
        self.assertEqual(second.fleet.target_versions.target_version(builders.MODEL), 2)

    async def test_times_of_another_era_are_not_used(self) -> None:
        first = await self.start_first()
        first.receive(2)
        await first.times.write_if_due()
        assert self.store.row is not None
        self.store.era = 1
        self.store.row = store_rows.Row(
            self.store.row.key, self.store.row.text, stored.at(1, era=1)
        )
        second = await self.start_again(2, after_ms=1_000)
        self.assertFalse(second.may_serve(1))
        # A gateway that was up through the restore writes the times of the new clock.
        first.store_clock.handle_new_era(1)
        first.times.handle_full_read(1)
        await first.times.write_if_due()
        first.difference_ms = 30_000
        first.observe_store_time(first.clock.now_ms())
        first.times.apply_rows((self.store.row,))
        await first.times.write_if_due()
        third = Gateway(self.store, 101_000, 30_000)
        third.read(2)
        await third.times.write_if_due()
        self.assertTrue(third.may_serve(1))

    async def test_a_slow_answer_does_not_shorten_an_age(self) -> None:
        first = await self.start_first()
        first.receive(2)
        await first.times.write_if_due()
        second = Gateway(self.store, 106_000)
        second.read(2, took_ms=900)
        await second.times.write_if_due()
        self.assertFalse(second.may_serve(1))

    async def test_odd_rows_are_ignored_and_written_again(self) -> None:
        target = {"model": builders.MODEL, "version": 2, "storeMs": 1}
        for text in (
            "", "[]", "{}", '{"era": 0, "targets": 3}', '{"era": 0, "targets": [1]}',
            json.dumps({"era": 0, "targets": [target | {"storeMs": -1}]}),
            json.dumps({"era": 0, "targets": [target | {"storeMs": 2.5}]}),
            json.dumps({"era": 0, "targets": [target | {"version": "2"}]}),
            json.dumps({"era": True, "targets": [target]}),
        ):  # fmt: skip
            with self.subTest(text):
                store = OneRowStore()
                gateway = Gateway(store, 100_000)
                store.row = stored.make_row(target_times.ROW_KEY, text, 7)
                gateway.read(None)
                gateway.receive(2)
                await gateway.times.write_if_due()
                self.assertEqual(store.writes, 1)
                self.assertTrue(gateway.may_serve(1))

    async def test_a_version_that_no_operator_set_is_no_target(self) -> None:
        first = await self.start_first()
        first.receive(2)
        times = {(builders.MODEL, 2): None, (builders.MODEL, 9): 170_000}
        text = target_times.encode(target_times.StoredTimes(0, times))
        first.times.apply_rows((stored.make_row(target_times.ROW_KEY, text, 5),))
        target = first.fleet.target_versions.target_version(builders.MODEL)
        self.assertEqual(target, 2)

    async def test_the_row_is_written_once_by_the_gateway_ranked_first(self) -> None:
        first = await self.start_first()
        other = Gateway(self.store, 100_000, is_first=False)
        other.read(None)
        for each in (other, first, first, other):
            each.receive(2)
            await each.times.write_if_due()
        self.assertEqual(self.store.writes, 1)

    async def test_another_gateway_writes_a_row_that_is_missing(self) -> None:
        other = Gateway(self.store, 100_000, is_first=False)
        other.read(None)
        other.receive(2)
        await other.times.write_if_due()
        self.assertEqual(self.store.writes, 0)
        other.clock.advance(2 * target_times.FALLBACK_DELAY_MS)
        await other.times.write_if_due()
        self.assertEqual(self.store.writes, 1)
