"""Tests of the ages of target versions that were set just before all were killed."""

import json
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import (
    fleet_state,
    row_consumers,
    store_clock,
    tables,
    target_marks,
    target_times,
)
from tests import builders_gateway as builders
from tests import builders_store as stored

BOUND_MS = 8_000
CUTOFF_MS = 6_400
TARGET_KEY = f"version/{builders.MODEL}"


class Store:
    """Tables with one counter of versions; its clock is that of the test."""

    def __init__(self) -> None:
        self.version = 0
        self.era = store_rows.FIRST_ERA
        self.rows_by_table: dict[tables.TableName, dict[str, store_rows.Row]] = {
            table: {} for table in tables.TableName
        }
        self.reads = 0

    def put(self, table: tables.TableName, key: str, text: str) -> store_rows.Row:
        """Write a row."""
        self.version += 1
        row = stored.make_row(key, text, self.version, era=self.era)
        self.rows_by_table[table][key] = row
        return row

    def set_target(self, version: int) -> store_rows.Row:
        """Set the target version as the operator does."""
        document = {"model": builders.MODEL, "version": version}
        return self.put(tables.TableName.OPERATOR, TARGET_KEY, json.dumps(document))

    async def read_all(self, table: tables.TableName) -> store_rows.Rows:
        """Return all rows of a table."""
        self.reads += table is tables.TableName.STREAMS
        rows = self.rows_by_table[table].values()
        return stored.make_rows(self.version, *rows, era=self.era)

    async def write(
        self,
        table: tables.TableName,
        key: str,
        text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write a row if its position is `expected`, or if there is no condition."""
        row = self.rows_by_table[table].get(key)
        current = stored.at(0, self.era) if row is None else row.position
        if expected not in (None, current):
            return store_rows.WriteResult(False, current, row.text if row else "")
        return store_rows.WriteResult(True, self.put(table, key, text).position)


class Gateway:
    """The parts of a gateway that date target versions."""

    def __init__(self, store: Store, now_ms: int, *, is_first: bool = True) -> None:
        self.clock = clocks.ManualClock(now_ms)
        self.store = store
        self.fleet = fleet_state.FleetState(builders.make_environment(), self.clock)
        directory = mock.Mock(own_name="entry-1")
        directory.first_ranked.return_value = ("entry-1" if is_first else "entry-2",)
        clock_of_store = store_clock.StoreClock()
        clock_of_store.observe(store_clock.Sample(now_ms, now_ms, now_ms))
        calls = mock.Mock(read_all=store.read_all, write=store.write)
        given = (self.fleet, directory, calls, clock_of_store, self.clock)
        marks = target_marks.TargetMarks(*given)
        self.times = target_times.TargetTimes(*given, marks)
        self.operator = row_consumers.OperatorRowConsumer(self.fleet, marks=marks)

    async def start(self) -> None:
        """Read the gateways' table and the operator's in full, and write."""
        store = self.store
        members = store.rows_by_table[tables.TableName.MEMBERS]
        self.times.handle_full_read(store.era)
        self.times.apply_rows(tuple(members.values()))
        await self.times.write_if_due()
        self.operator.apply_snapshot(await store.read_all(tables.TableName.OPERATOR))
        await self.times.write_if_due()

    async def run(self, for_ms: int) -> None:
        """Check as often as a gateway does."""
        for _ in range(0, for_ms, target_times.CHECK_MS):
            self.clock.advance(target_times.CHECK_MS)
            await self.times.write_if_due()

    def may_serve(self, version: int) -> bool:
        return self.fleet.target_versions.may_serve(
            builders.MODEL, version, self.clock.now_ms(), BOUND_MS
        )


class TargetMarksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = Store()
        text = builders.make_configuration_text()
        self.store.put(tables.TableName.OPERATOR, "config", text)
        self.store.set_target(1)
        self.first = Gateway(self.store, 100_000)
        await self.first.start()

    async def start_again(self, after_ms: int) -> Gateway:
        """Start another gateway some time after the first one has ended."""
        gateway = Gateway(self.store, self.first.clock.now_ms() + after_ms)
        await gateway.start()
        return gateway

    def marks(self) -> list[store_rows.Row]:
        rows = self.store.rows_by_table[tables.TableName.STREAMS].values()
        return [row for row in rows if row.key.startswith(target_marks.KEY_PREFIX)]

    async def test_a_target_set_just_before_all_were_killed_got_no_age(self) -> None:
        """Engines with outdated weights got nothing although its deadline ran on."""
        await self.first.run(2_000)
        self.store.set_target(2)
        second = await self.start_again(1_500)
        self.assertTrue(second.may_serve(1))
        # Late by the interval of the marks and a check at most, and never too late.
        second.clock.advance(CUTOFF_MS - 1_500)
        self.assertFalse(second.may_serve(1))
        second.clock.advance(-target_marks.MARK_MS - target_times.CHECK_MS)
        self.assertTrue(second.may_serve(1))

    async def test_a_target_before_the_newest_mark_is_dated_by_the_other(self) -> None:
        await self.first.run(2_000)
        self.store.set_target(2)
        await self.first.run(target_marks.MARK_MS)
        second = await self.start_again(1_000)
        self.assertTrue(second.may_serve(1))
        second.clock.advance(CUTOFF_MS - 1_000 - target_marks.MARK_MS)
        self.assertFalse(second.may_serve(1))

    async def test_a_target_before_all_marks_may_have_any_age(self) -> None:
        await self.first.run(2_000)
        self.store.set_target(2)
        await self.first.run(2 * target_marks.MARK_MS)
        self.assertFalse((await self.start_again(1_000)).may_serve(1))

    async def test_the_next_gateway_knows_the_age_after_the_marks_were_replaced(
        self,
    ) -> None:
        await self.first.run(2_000)
        self.store.set_target(2)
        second = await self.start_again(500)
        await second.run(2_000)
        third = Gateway(self.store, second.clock.now_ms() + 500)
        await third.start()
        self.assertTrue(third.may_serve(1))

    async def test_a_target_whose_row_was_written_again_is_not_dated(self) -> None:
        """Its first row may be older than all marks."""
        await self.first.run(2_000)
        self.store.set_target(2)
        second = await self.start_again(9_000)
        self.assertFalse(second.may_serve(1))
        await second.run(2_000)
        self.store.set_target(2)
        third = Gateway(self.store, second.clock.now_ms())
        await third.start()
        self.assertFalse(third.may_serve(1))

    async def test_marks_of_another_era_are_not_used(self) -> None:
        await self.first.run(2_000)
        self.store.era = 1
        for row in self.marks():
            self.store.put(tables.TableName.STREAMS, row.key, row.text)
        self.store.set_target(2)
        self.assertFalse((await self.start_again(500)).may_serve(1))

    async def test_odd_marks_are_ignored(self) -> None:
        await self.first.run(2_000)
        for text in ("", "[]", "{}", '{"era": 0, "storeMs": 1e400}', '{"era": "0"}'):
            key = target_marks.KEY_PREFIX + text[:1]
            self.store.put(tables.TableName.STREAMS, key, text)
        self.store.set_target(2)
        self.assertTrue((await self.start_again(500)).may_serve(1))

    async def test_one_gateway_writes_the_marks_and_none_reads_them_in_peace(
        self,
    ) -> None:
        other = Gateway(self.store, 100_000, is_first=False)
        await other.start()
        before = self.store.version
        await other.run(2_000)
        self.assertEqual(self.store.version, before)
        await self.first.run(2_000)
        self.assertLessEqual(
            self.store.version - before, 2_000 // target_marks.MARK_MS + 1
        )
        self.assertEqual(len(self.marks()), target_marks.MARK_COUNT)
        await self.start_again(100)
        # The first gateway read them once, as it found a target without a time.
        self.assertEqual(self.store.reads, 1)
