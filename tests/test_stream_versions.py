"""Records and listings of the software versions of streams."""

import dataclasses
import unittest
from typing import Final
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import (
    fleet_state,
    peer_messages,
    servers,
    stream_versions,
    tables,
)
from quincecrank.gateway import stream_version_exchange as exchange
from tests import builders_gateway as builders
from tests import builders_store as stored

V1: Final = servers.SoftwareVersion("v1")
V2: Final = servers.SoftwareVersion("v2")
ACCOUNT: Final = ids.AccountName("patan")
KEY: Final = stream_versions.stream_key(ACCOUNT, ids.RequestId("q-1"))
RECORD: Final = stream_versions.Record(builders.LLM, KEY, V1)


def make_listing(*listed: servers.SoftwareVersion) -> stream_versions.Listing:
    """Return a listing of the builder's service without announced versions."""
    return stream_versions.Listing(builders.LLM, frozenset(listed))


class StreamVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = stream_versions.StreamVersions()
        self.versions.retention_ms = 20_000

    def see(self, now_ms: int, *versions: servers.SoftwareVersion) -> None:
        self.versions.observe_servers({builders.LLM: set(versions)}, now_ms)

    def version_of(
        self, now_ms: int = 0, *present: servers.SoftwareVersion
    ) -> servers.SoftwareVersion | stream_versions.Resumption:
        return self.versions.version_of(builders.LLM, KEY, set(present), now_ms)

    def write_due(
        self, now_ms: int, *ready: servers.SoftwareVersion
    ) -> stream_versions.Listing | None:
        """Apply the listing that is to be written, as its writer does."""
        listing = self.versions.listing_to_write(builders.LLM, set(ready), now_ms)
        if listing is not None:
            self.versions.apply_listing(listing, now_ms)
        return listing

    def test_a_new_version_is_announced_before_it_is_listed(self) -> None:
        self.see(0, V1)
        self.assertEqual(self.write_due(0, V1), make_listing(V1))
        self.see(100, V1, V2)
        announced = self.write_due(100, V1, V2)
        assert announced is not None
        self.assertEqual(announced.announced, {V2})
        # No stream can have begun at it, so the other version is the only one.
        self.assertEqual(self.version_of(), V1)
        self.assertFalse(self.versions.may_begin(builders.LLM, V2, 100))
        self.assertIsNone(self.write_due(1_500, V1, V2))
        self.assertEqual(self.write_due(1_600, V1, V2), make_listing(V1, V2))
        self.assertFalse(self.versions.may_begin(builders.LLM, V2, 1_600))
        self.assertTrue(self.versions.may_begin(builders.LLM, V2, 1_900))
        self.assertIs(self.version_of(), stream_versions.Resumption.UNKNOWN)

    def test_a_version_is_listed_at_once_if_no_other_has_a_server(self) -> None:
        self.versions.apply_listing(make_listing(V1), 0)
        self.see(0, V2)
        self.assertEqual(self.write_due(0, V2), make_listing(V1, V2))

    def test_streams_began_at_a_version_that_was_listed_without_announcement(
        self,
    ) -> None:
        """Gateways that were out of step resumed them at the version before."""
        self.versions.apply_listing(make_listing(V1), 0)
        self.see(10_000, V1, V2)
        listed = make_listing(V1, V2)
        self.assertEqual(self.write_due(10_000, V2), listed)
        ends_ms = 10_000 + exchange.MAX_ANSWER_AGE_MS
        self.assertFalse(self.versions.may_begin(builders.LLM, V2, ends_ms))
        begins_ms = 10_000 + (
            stream_versions.ANNOUNCEMENT_MS + stream_versions.BEGIN_DELAY_MS
        )
        self.assertTrue(self.versions.may_begin(builders.LLM, V2, begins_ms))

    def test_streams_begin_at_once_if_all_gateways_have_the_listing(self) -> None:
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.apply_listing(make_listing(V1, V2), 10_000)
        self.versions.confirm_listing(builders.LLM)
        delay_ms = stream_versions.BEGIN_DELAY_MS
        self.assertFalse(self.versions.may_begin(builders.LLM, V2, 9_999 + delay_ms))
        self.assertTrue(self.versions.may_begin(builders.LLM, V2, 10_000 + delay_ms))

    def test_streams_began_at_a_version_that_was_just_announced(self) -> None:
        """The servers of the other version left before the announcement was over."""
        self.versions.apply_listing(make_listing(V1), 0)
        self.see(10_000, V1, V2)
        self.write_due(10_000, V1, V2)
        self.assertEqual(self.write_due(10_500, V2), make_listing(V1, V2))
        ends_ms = 10_000 + exchange.MAX_ANSWER_AGE_MS
        self.assertFalse(self.versions.may_begin(builders.LLM, V2, ends_ms))
        begins_ms = 10_000 + (
            stream_versions.ANNOUNCEMENT_MS + stream_versions.BEGIN_DELAY_MS
        )
        self.assertTrue(self.versions.may_begin(builders.LLM, V2, begins_ms))

    def test_a_version_that_left_stays_listed_for_the_retention_time(self) -> None:
        """A gateway that starts after it has left must not take the rest for sure."""
        self.versions.apply_listing(make_listing(V1, V2), 0)
        for now_ms in range(0, 20_000, 1_000):
            self.see(now_ms, V2)
            self.assertIsNone(self.write_due(now_ms, V2))
        self.see(20_000, V2)
        self.assertEqual(self.write_due(20_000, V2), make_listing(V2))
        self.assertEqual(self.version_of(), V2)

    def test_records_made_before_are_published_when_a_version_is_announced(
        self,
    ) -> None:
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.record_begin(RECORD, 0)
        self.assertEqual(self.versions.to_publish(10), ())
        listing = stream_versions.Listing(
            builders.LLM, frozenset((V1,)), frozenset((V2,))
        )
        self.versions.apply_listing(listing, 5_000)
        self.assertEqual(self.versions.to_publish(5_100), (RECORD,))
        self.assertEqual(self.versions.unstored(5_100, 3_000), (RECORD,))
        self.assertEqual(self.versions.to_publish(6_000), ())

    def test_a_record_never_changes(self) -> None:
        self.versions.record_begin(RECORD, 0)
        other = stream_versions.Record(builders.LLM, KEY, V2)
        self.versions.apply_records([other], 10)
        self.assertEqual(self.version_of(), V1)

    def test_a_restored_store_lacks_a_version_that_is_present(self) -> None:
        """Streams may have begun at a version that an older listing does not have."""
        self.versions.apply_listing(make_listing(V1, V2), 0)
        self.see(100, V1, V2)
        self.versions.apply_listing(make_listing(V1), 200)
        self.assertIs(self.version_of(), stream_versions.Resumption.UNKNOWN)

    def test_a_gateway_that_is_cut_off_resumes_only_what_it_knows(self) -> None:
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.current_until_ms = 0
        self.assertIs(self.version_of(), stream_versions.Resumption.NOT_LOADED)
        self.versions.record_begin(RECORD, 0)
        self.assertEqual(self.version_of(), V1)

    def test_a_gateway_that_was_suspended_is_not_current(self) -> None:
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.current_until_ms = 1_600
        self.assertEqual(self.version_of(1_599), V1)
        self.assertIs(self.version_of(1_600), stream_versions.Resumption.NOT_LOADED)

    def test_an_announcement_that_others_may_have_followed_by_a_listing(self) -> None:
        """A gateway that is cut off then resumed streams at the version before."""
        listing = stream_versions.Listing(
            builders.LLM, frozenset((V1,)), frozenset((V2,))
        )
        self.versions.apply_listing(listing, 0)
        self.assertEqual(self.version_of(1_400), V1)
        self.assertIs(self.version_of(1_500), stream_versions.Resumption.UNKNOWN)

    def test_a_gateway_that_started_joined_streams_of_an_announced_version(
        self,
    ) -> None:
        """The announcement was taken to be as young as its reading."""
        self.versions.current_until_ms = 0
        listing = stream_versions.Listing(
            builders.LLM, frozenset((V1,)), frozenset((V2,))
        )
        self.versions.apply_listing(listing, 10_000)
        self.versions.current_until_ms = 11_600
        self.assertIs(self.version_of(10_400), stream_versions.Resumption.NOT_LOADED)
        self.assertIs(self.version_of(11_500), stream_versions.Resumption.UNKNOWN)

    def test_a_listing_older_than_the_streams_of_earlier_processes(self) -> None:
        """A store that was restored has a listing without the present version."""
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.is_store_restored = True
        self.assertEqual(self.version_of(0, V1), V1)
        self.assertIs(self.version_of(0, V1, V2), stream_versions.Resumption.UNKNOWN)

    def test_a_restored_store_lacked_the_entries_of_another_version(self) -> None:
        """New processes then resumed its streams at the version of the listing."""
        self.versions.apply_listing(make_listing(V1), 0)
        self.versions.is_store_restored = True
        self.versions.are_entries_complete = False
        self.assertIs(self.version_of(0, V1), stream_versions.Resumption.NOT_LOADED)
        self.versions.record_begin(RECORD, 0)
        self.assertEqual(self.version_of(0, V1), V1)

    def test_records_expire_after_their_last_use(self) -> None:
        self.versions.record_begin(RECORD, 0)
        self.versions.record_begin(RECORD, 15_000)
        self.versions.expire(30_000)
        self.assertEqual(self.versions.record_count, 1)
        self.versions.expire(35_000)
        self.assertEqual(self.versions.record_count, 0)

    def test_keys_of_two_accounts_differ(self) -> None:
        attempt = ids.RequestId("q-1")
        other = stream_versions.stream_key(ids.AccountName("closed"), attempt)
        self.assertNotEqual(KEY, other)
        self.assertNotEqual(KEY, stream_versions.stream_key(None, attempt))


class SlotStore:
    """The table of the slots.

    Attributes
    ----------
    era : int
        Era of its answers; a test changes it as it removes rows.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[str, store_rows.Row] = {}
        self.version = 0
        self.era = store_rows.FIRST_ERA
        self.conflicts = 0

    async def read_all(self, _table: tables.TableName) -> store_rows.Rows:
        rows = self.row_by_key.values()
        return stored.make_rows(self.version, *rows, era=self.era)

    async def write(
        self,
        _table: tables.TableName,
        key: str,
        text: str,
        expected: store_rows.Position,
    ) -> store_rows.WriteResult:
        if expected.version and expected.era != self.era:
            raise store_rows.StoreUnavailableError("condition of an earlier era")
        row = self.row_by_key.get(key)
        position = stored.at(0, self.era) if row is None else row.position
        if expected.version != position.version:
            self.conflicts += 1
            return store_rows.WriteResult(False, position)
        self.version += 1
        self.row_by_key[key] = stored.make_row(key, text, self.version, era=self.era)
        return store_rows.WriteResult(True, self.row_by_key[key].position)

    def restore(self, lost_keys: tuple[str, ...]) -> None:
        """Come back from a copy without some rows."""
        self.era += 1
        for key in lost_keys:
            del self.row_by_key[key]
        self.row_by_key = {
            key: dataclasses.replace(
                row, position=stored.at(row.position.version, self.era)
            )
            for key, row in self.row_by_key.items()
        }


def make_record(number: int) -> stream_versions.Record:
    """Return the record of a stream."""
    key = stream_versions.stream_key(ACCOUNT, ids.RequestId(f"q-{number}"))
    return stream_versions.Record(builders.LLM, key, V1)


class WritersTest(unittest.IsolatedAsyncioTestCase):
    """Gateways that write the records of all."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(100_000)
        self.store = SlotStore()

    def make_gateway(
        self, name: str
    ) -> tuple[stream_versions.StreamVersions, exchange.StreamVersionExchange]:
        """Return the parts of a gateway whose service has two versions."""
        fleet = fleet_state.FleetState(builders.make_environment(), self.clock)
        fleet.stream_versions.retention_ms = 20_000
        fleet.stream_versions.apply_listing(make_listing(V1, V2), 0)
        directory = mock.Mock(own_name=name)
        directory.first_ranked = lambda _key, count: ("a", "b", "c")[:count]
        sharing = exchange.StreamVersionExchange(
            fleet,
            directory,
            mock.Mock(read_all=self.store.read_all, write=self.store.write),
            lambda: 0,
            lambda: False,
            self.clock,
        )
        return fleet.stream_versions, sharing

    async def test_records_since_the_end_of_their_writer_were_lost(self) -> None:
        """Its peers did not miss it yet when all others ended."""
        for name, is_written in (("c", False), ("b", True)):
            with self.subTest(name):
                versions, sharing = self.make_gateway(name)
                versions.apply_records((RECORD,), self.clock.now_ms())
                await sharing._write_records()
                later, loading = self.make_gateway("a")
                await loading._load()
                self.assertEqual(later.record_count, is_written)

    async def test_two_writers_never_fill_the_same_slot(self) -> None:
        gateways = [self.make_gateway(name) for name in ("a", "b")]
        for number in range(2 * exchange.SLOT_COUNT):
            record = make_record(number)
            for versions, sharing in gateways:
                versions.apply_records((record,), self.clock.now_ms())
                await sharing._write_records()
            self.clock.advance(exchange.SLOT_MS)
        self.assertEqual(self.store.conflicts, 0)
        self.assertEqual(len(self.store.row_by_key), exchange.SLOT_COUNT)

    async def test_a_gateway_wrote_no_records_after_a_restore(self) -> None:
        """Streams could not be resumed once all gateways had ended.

        The slot after the last one of the copy was lost with the restore, and its
        position was retained.
        """
        versions, sharing = self.make_gateway("a")
        for number in range(4):
            versions.apply_records((make_record(number),), self.clock.now_ms())
            await sharing._write_records()
            self.clock.advance(exchange.SLOT_MS // 2)
        self.store.restore(lost_keys=("slot:2",))
        began_later = make_record(4)
        versions.apply_records((began_later,), self.clock.now_ms())
        for _ in range(5):
            try:
                await sharing._write_records()
            except store_rows.StoreUnavailableError:
                sharing._slot = None
        later, loading = self.make_gateway("c")
        await loading._load()
        self.assertTrue(later.has_record(builders.LLM, began_later.key))

    async def test_records_that_a_restore_undid_were_not_written_again(self) -> None:
        versions, sharing = self.make_gateway("a")
        versions.apply_records((make_record(0),), self.clock.now_ms())
        await sharing._write_records()
        self.store.restore(lost_keys=("slot:0",))
        sharing.handle_new_era(self.store.era)
        await sharing._write_records()
        self.assertEqual(await self.count_stored_records(), 1)

    async def test_a_write_after_an_outage_had_a_row_of_any_size(self) -> None:
        versions, sharing = self.make_gateway("a")
        count = 2 * exchange.MAX_SLOT_RECORDS + 1
        records = tuple(make_record(number) for number in range(count))
        versions.apply_records(records, self.clock.now_ms())
        for _ in range(3):
            await sharing._write_records()
        for row in self.store.row_by_key.values():
            stored_records = exchange.decode_records(row.text)
            self.assertLess(len(stored_records), 2 * exchange.MAX_SLOT_RECORDS)
        self.assertEqual(await self.count_stored_records(), count)

    async def test_a_late_removal_undid_a_listing_written_since(self) -> None:
        """Streams could begin at versions that no gateway had listed."""
        versions, sharing = self.make_gateway("a")
        key = exchange.LISTING_PREFIX + builders.LLM
        versions.forget_listing(builders.LLM)
        versions.observe_servers({builders.LLM: {V1, V2}}, self.clock.now_ms())
        await sharing._write_listing_if_due(builders.LLM, {V1, V2})
        listing = versions.listing_of(builders.LLM)
        position = self.store.row_by_key[key].position
        removed = stored.make_row(key, "", position.version - 1, is_removed=True)
        sharing.apply_rows((removed,))
        self.assertIsNotNone(listing)
        self.assertEqual(versions.listing_of(builders.LLM), listing)

    async def count_stored_records(self) -> int:
        """Return how many records a gateway that starts now reads."""
        versions, sharing = self.make_gateway("c")
        await sharing._load()
        return versions.record_count


class FormatTest(unittest.TestCase):
    def test_rows_and_reports_keep_records_and_listings(self) -> None:
        records = (RECORD, stream_versions.Record(builders.LLM, KEY, V2))
        text = exchange.encode_records(records)
        self.assertEqual(exchange.decode_records(text), records)
        listing = stream_versions.Listing(
            builders.LLM, frozenset((V1,)), frozenset((V2,))
        )
        row = exchange.encode_listing(listing)
        self.assertEqual(exchange.decode_listing(row), listing)
        report = peer_messages.Report(
            ids.VmName("a"), False, (), {}, stream_records=records
        )
        self.assertEqual(peer_messages.decode(peer_messages.encode(report)), report)

    def test_malformed_rows_are_refused(self) -> None:
        for text in ("", "[]", '{"s": 1}', '{"s": {"v1": "AAA="}}', '{"s": {"v": 1}}'):
            with self.subTest(text), self.assertRaises(exchange.RowError):
                exchange.decode_records(text)
        for text in (
            "",
            "[]",
            '{"service": "s", "listed": ["\\ud800"], "announced": []}',
        ):
            with self.subTest(text), self.assertRaises(exchange.RowError):
                exchange.decode_listing(text)
