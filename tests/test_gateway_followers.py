"""Tests of table followers, the order lease and the messages between gateways."""

import asyncio
import dataclasses
import json
import time
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows
from quincecrank.gateway import (
    change_delivery,
    crash_findings,
    fleet_state,
    followers,
    gateway_metrics,
    loads,
    order_lease,
    peer_messages,
    peers,
    row_consumers,
    servers,
    store_restores,
    tables,
    weights,
)
from tests import builders_gateway as builders
from tests import builders_store as stored

OPERATOR = tables.TableName.OPERATOR
INTERVALS = followers.PollingIntervals(wait_ms=100, pause_ms=0, max_age_ms=1_000)


class FakeStore:
    """A store with prepared answers.

    Attributes
    ----------
    snapshot : Rows
        Answer to a full read.
    answers : list
        Answers to calls for changes, or exceptions to raise, in turn; after the last
        one calls never return.
    reads : int
        Number of calls that read.
    row_position : Position
        Position of the single row that writes change.
    writes : list
        Expected position of each write.
    fail_writes : list
        Exceptions to raise for the next writes.
    """

    def __init__(self) -> None:
        self.snapshot = stored.make_rows(1)
        self.answers: list[store_rows.Rows | Exception] = []
        self.reads = 0
        self.row_position = stored.at(0)
        self.writes: list[store_rows.Position | None] = []
        self.fail_writes: list[Exception] = []

    async def read_all(self, _table: tables.TableName) -> store_rows.Rows:
        self.reads += 1
        return self.snapshot

    async def changes(
        self, _table: tables.TableName, _after: store_rows.Position, _wait_ms: int
    ) -> store_rows.Rows:
        self.reads += 1
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def write(
        self,
        _table: tables.TableName,
        _key: str,
        _text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        self.writes.append(expected)
        if self.fail_writes:
            raise self.fail_writes.pop(0)
        row = self.row_position
        if expected is not None and expected.version != row.version:
            return store_rows.WriteResult(False, row)
        self.row_position = stored.at(row.version + 10, row.era)
        return store_rows.WriteResult(True, self.row_position)


class FakeConsumer:
    """Records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.outages_ms: list[int] = []
        self.is_significant = True

    def apply_snapshot(
        self, snapshot: store_rows.Rows, _arrival: followers.Arrival | None = None
    ) -> None:
        self.calls.append(("all", tuple(row.key for row in snapshot.rows)))

    def apply_changes(
        self,
        rows: tuple[store_rows.Row, ...],
        _arrival: followers.Arrival | None = None,
    ) -> tuple[store_rows.Row, ...]:
        self.calls.append(("changes", tuple(row.key for row in rows)))
        return rows if self.is_significant else ()

    def handle_store_unavailable(self) -> None:
        self.calls.append(("lost", ()))

    def handle_store_available(self, outage_ms: int) -> None:
        self.calls.append(("regained", ()))
        self.outages_ms.append(outage_ms)


def make_report(
    vm: str, version: int, age_ms: int | None, era: int = 0
) -> peer_messages.Report:
    """Return a peer's report of the operator's table."""
    position = stored.at(version, era)
    state = peer_messages.TableState(OPERATOR, position, age_ms)
    return peer_messages.Report(ids.VmName(vm), False, (state,), {})


def make_removal(previous: int, version: int, key: str) -> change_delivery.AgedChange:
    """Return the removal of a row, as a peer sends it."""
    row = stored.make_row(key, "", version, is_removed=True)
    change = change_delivery.Change(
        OPERATOR,
        stored.at(previous),
        stored.at(version),
        (change_delivery.encode_row(row, None),),
    )
    return change_delivery.AgedChange(change, 0)


def keys_of(follower: followers.TableFollower) -> list[str]:
    """Return the keys of a follower's current rows."""
    return [row.key for row in follower.rows.rows] if follower.rows else []


class FollowerCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests of a follower that reads a fake store and has peers."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.store = FakeStore()
        self.consumer = FakeConsumer()
        self.era = store_era.StoreEra()
        self.reports_sent = 0

    def make_follower(self, name: str = "entry-1") -> followers.TableFollower:
        def count_report() -> None:
            self.reports_sent += 1

        self.peer_directory = peers.PeerDirectory(
            dataclasses.replace(builders.make_environment(), vm=ids.VmName(name)),
            self.clock,
            self.era,
        )
        return followers.TableFollower(
            OPERATOR,
            self.store,
            self.consumer,
            self.peer_directory,
            self.clock,
            INTERVALS,
            count_report,
            lambda _table: None,
            store_restores.StoreRestoreProgress(
                self.clock, gateway_metrics.GatewayMetrics()
            ),
        )

    async def follow(self, follower: followers.TableFollower) -> None:
        """Run the follower until the prepared answers are used up."""
        task = asyncio.ensure_future(follower.run())
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()

    def add_peers(self, count: int, age_ms: int | None) -> None:
        for number in range(count):
            report = make_report(f"peer-{number}", 1, age_ms)
            self.peer_directory.record_report(f"10.0.0.{number}", report)


class FollowerTest(FollowerCase):
    async def test_changes_are_applied_and_reported(self) -> None:
        self.store.snapshot = stored.make_rows(3, stored.make_row("a", "1", 3))
        self.store.answers = [
            stored.make_rows(5, stored.make_row("b", "2", 5)),
            stored.make_rows(6, stored.make_row("a", "", 6, is_removed=True)),
        ]
        follower = self.make_follower()
        await self.follow(follower)
        expected = [("all", ("a",)), ("changes", ("b",)), ("changes", ("a",))]
        self.assertEqual(self.consumer.calls, expected)
        self.assertEqual(keys_of(follower), ["b"])
        self.assertEqual(follower.position, stored.at(6))
        self.assertEqual(follower.last_change_position, stored.at(6))
        self.assertEqual(self.reports_sent, 3)

    async def test_heartbeats_are_not_significant(self) -> None:
        self.store.answers = [stored.make_rows(9, stored.make_row("a", "1", 9))]
        self.consumer.is_significant = False
        follower = self.make_follower()
        await self.follow(follower)
        self.assertEqual(follower.position, stored.at(9))
        self.assertEqual(follower.last_change_position, stored.at(1))

    async def test_a_late_change_does_not_restore_a_removed_row(self) -> None:
        # A full read at version 20 lacks the row.  The answer to an earlier call for
        # changes, still in flight then, contains it at version 15.
        self.store.snapshot = stored.make_rows(20, stored.make_row("a", "1", 20))
        self.store.answers = [
            stored.make_rows(19, stored.make_row("deleted", "1", 15)),
            stored.make_rows(21, stored.make_row("new", "1", 21)),
        ]
        follower = self.make_follower()
        await self.follow(follower)
        self.assertEqual(keys_of(follower), ["a", "new"])
        self.assertEqual(follower.position, stored.at(21))

    async def test_a_late_answer_restored_a_row_whose_removal_a_peer_had_sent(
        self,
    ) -> None:
        """Requests went to a server that had removed its entry (DRAIN).

        The store gave the answer before the removal, and a partition held it back.
        """
        self.store.snapshot = stored.make_rows(3, stored.make_row("a", "1", 3))
        late_answer = stored.make_rows(5, stored.make_row("a", "2", 5))
        follower = self.make_follower()

        async def changes(
            _table: tables.TableName, _after: store_rows.Position, _wait_ms: int
        ) -> store_rows.Rows:
            await answer_arrives.wait()
            answer_arrives.clear()
            return late_answer

        answer_arrives = asyncio.Event()
        self.store.changes = changes  # type: ignore[method-assign]
        task = asyncio.ensure_future(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.01)
        follower.apply_pushed(make_removal(3, 6, "a"))
        self.assertEqual(keys_of(follower), [])
        answer_arrives.set()
        await asyncio.sleep(0.01)
        self.assertEqual(keys_of(follower), [])
        self.assertEqual(follower.position, stored.at(6))
        # The server's next start has an entry under the same key.
        late_answer = stored.make_rows(8, stored.make_row("a", "3", 8))
        answer_arrives.set()
        await asyncio.sleep(0.01)
        self.assertEqual(keys_of(follower), ["a"])

    async def test_an_unavailable_history_and_an_outage_of_the_store(self) -> None:
        self.store.answers = [
            store_rows.HistoryUnavailableError("old"),
            store_rows.StoreUnavailableError("down"),
            stored.make_rows(1),
        ]
        await self.follow(self.make_follower())
        kinds = [kind for kind, _ in self.consumer.calls]
        self.assertEqual(kinds, ["all", "all", "lost", "regained"])

    async def test_only_the_readers_of_a_large_fleet_read_the_store(self) -> None:
        # If all gateways read the store, their calls would exceed its rate limit.
        names = [f"entry-{number}" for number in range(40)]
        readers = []
        for name in names:
            follower = self.make_follower(name)
            for number, peer in enumerate(names):
                self.peer_directory.record_report(
                    f"10.0.1.{number}", make_report(peer, 1, 100)
                )
            follower.position = stored.at(1)
            if follower.reads_store():
                readers.append(name)
        self.assertEqual(len(readers), followers.READERS_PER_TABLE)

    async def test_a_gateway_reads_the_store_if_all_readers_are_cut_off(self) -> None:
        # No peer has had an answer from the store within `max_age_ms`, or any at all.
        follower = self.make_follower("zz")
        follower.position = stored.at(1)
        self.add_peers(9, age_ms=200)
        self.assertFalse(follower.reads_store())
        self.clock.advance(801)
        self.assertTrue(follower.reads_store())
        self.add_peers(9, age_ms=None)
        self.assertTrue(follower.reads_store())

    async def test_a_gateway_that_is_no_reader_never_noted_the_end_of_an_outage(
        self,
    ) -> None:
        """It took removals for expiries as soon as it became a reader."""
        follower = self.make_follower("zz")
        await self.follow(follower)
        self.add_peers(9, age_ms=200)
        self.clock.advance(2_000)
        self.add_peers(9, age_ms=2_200)
        self.store.answers = [store_rows.StoreUnavailableError("down")]
        await self.follow(follower)
        self.assertIn(("lost", ()), self.consumer.calls)
        self.assertNotIn(("regained", ()), self.consumer.calls)
        self.add_peers(9, age_ms=50)
        reads = self.store.reads
        await self.follow(follower)
        self.assertEqual(self.consumer.calls[-1], ("regained", ()))
        self.assertLessEqual(self.store.reads, reads + 1)

    async def test_an_outage_counts_from_the_last_answer_to_any_gateway(self) -> None:
        follower = self.make_follower("zz")
        await self.follow(follower)
        self.clock.advance(60_000)
        self.add_peers(9, age_ms=1_500)
        self.store.answers = [store_rows.StoreUnavailableError("down")]
        await self.follow(follower)
        self.clock.advance(500)
        self.add_peers(9, age_ms=0)
        await self.follow(follower)
        self.assertEqual(len(self.consumer.outages_ms), 1)
        self.assertLess(self.consumer.outages_ms[0], 3_000)


class OperatorRowsTest(unittest.TestCase):
    def test_a_target_version_of_the_first_read_may_have_any_age(self) -> None:
        # A gateway that starts must not grant outdated weights the full time again,
        # as the version may have been set long before.
        clock = clocks.ManualClock(100_000)
        fleet = fleet_state.FleetState(builders.make_environment(), clock)
        consumer = row_consumers.OperatorRowConsumer(fleet)

        def row(version: int) -> store_rows.Row:
            text = json.dumps({"model": builders.MODEL, "version": version})
            return stored.make_row(f"version/{builders.MODEL}", text, version)

        def may_serve(version: int) -> bool:
            return fleet.target_versions.may_serve(
                builders.MODEL, version, clock.now_ms(), 8_000
            )

        consumer.apply_snapshot(stored.make_rows(2, row(2)))
        self.assertFalse(may_serve(1))
        self.assertTrue(consumer.apply_changes((row(3),)))
        self.assertTrue(may_serve(2))
        self.assertFalse(may_serve(1))


class OrderLeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(0)
        self.store = FakeStore()

    def make_lease(self) -> order_lease.OrderLease:
        return order_lease.OrderLease(
            self.store, ids.VmName("entry-1"), 3_000, self.clock
        )

    async def test_orders_are_allowed_only_shortly_after_a_renewal(self) -> None:
        lease = self.make_lease()
        self.assertTrue(await lease.acquire_or_renew())
        self.assertEqual(lease.fencing_number, 10)
        self.clock.advance(order_lease.VALIDITY_MS - 1)
        self.assertTrue(lease.is_valid)
        self.clock.advance(1)
        self.assertFalse(lease.is_valid)
        self.assertTrue(await lease.acquire_or_renew())
        self.assertEqual(lease.fencing_number, 10)

    async def test_a_holder_that_was_frozen_orders_nothing(self) -> None:
        # Its lease ran out while its process was stopped, and another gateway took it.
        holder, other = self.make_lease(), self.make_lease()
        await holder.acquire_or_renew()
        other.observe(self.store.row_position)
        self.clock.advance(
            order_lease.VALIDITY_MS + 3_000 + order_lease.TAKEOVER_MARGIN_MS
        )
        self.assertTrue(await other.acquire_or_renew())
        self.assertGreater(other.fencing_number, holder.fencing_number)
        self.assertFalse(holder.is_valid)
        self.assertFalse(await holder.acquire_or_renew())

    async def test_orders_of_two_holders_are_apart_by_the_lease_time(self) -> None:
        holder, other = self.make_lease(), self.make_lease()
        await holder.acquire_or_renew()
        other.observe(self.store.row_position)
        last_order_ms = 0
        while not await other.acquire_or_renew():
            if holder.is_valid:
                last_order_ms = self.clock.now_ms()
            self.clock.advance(10)
        self.assertGreaterEqual(self.clock.now_ms() - last_order_ms, 3_000)

    async def test_a_renewal_restarts_the_takeover_wait_of_others(self) -> None:
        holder, other = self.make_lease(), self.make_lease()
        for _ in range(20):
            await holder.acquire_or_renew()
            other.observe(self.store.row_position)
            self.clock.advance(500)
            self.assertFalse(await other.acquire_or_renew())

    async def test_a_holder_ordered_after_its_machine_had_been_suspended(self) -> None:
        """Its clock stood still, and another gateway had taken the lease."""
        ms_by_clock = {time.CLOCK_MONOTONIC: 10_000, time.CLOCK_BOOTTIME: 10_000}
        with (
            mock.patch.object(
                time, "clock_gettime_ns", lambda each: ms_by_clock[each] * 1_000_000
            ),
            mock.patch.object(time, "monotonic_ns", lambda: 10_000 * 1_000_000),
        ):
            lease = order_lease.OrderLease(
                self.store, ids.VmName("entry-1"), 3_000, clocks.SystemClock()
            )
            self.assertTrue(await lease.acquire_or_renew())
            ms_by_clock[time.CLOCK_BOOTTIME] += 5_000
            self.assertFalse(lease.is_valid)

    async def test_a_renewal_of_unknown_outcome_releases_the_lease(self) -> None:
        lease = self.make_lease()
        ordered = servers.ServerId("i-1")
        await lease.acquire_or_renew()
        with lease.ordering(ordered):
            pass
        self.clock.advance(order_lease.RENEWAL_MS)
        self.store.fail_writes = [store_rows.OutcomeUnknownError("lost")]
        with self.assertRaises(store_rows.OutcomeUnknownError):
            await lease.acquire_or_renew()
        self.assertFalse(lease.is_valid)
        # Its own term has ended, so it takes the lease like any other gateway.
        self.assertTrue(await lease.acquire_or_renew())
        self.assertGreater(lease.fencing_number, 10)
        self.assertEqual(
            lease.blocked_ms(ordered), 3_000 + order_lease.TAKEOVER_MARGIN_MS - 250
        )

    async def test_a_late_renewal_of_unknown_outcome_allowed_orders(self) -> None:
        # The write was done, so the row has another position than the holder knows.
        lease = self.make_lease()
        await lease.acquire_or_renew()
        self.clock.advance(order_lease.RENEWAL_MS)
        self.store.fail_writes = [store_rows.OutcomeUnknownError("lost")]
        with self.assertRaises(store_rows.OutcomeUnknownError):
            await lease.acquire_or_renew()
        self.store.row_position = stored.at(20)
        self.assertFalse(await lease.acquire_or_renew())
        self.assertFalse(lease.is_valid)


class MessagesTest(unittest.TestCase):
    def test_a_report_is_decoded_unchanged(self) -> None:
        report = peer_messages.Report(
            vm=ids.VmName("entry-1"),
            is_leaving=True,
            states=(
                peer_messages.TableState(OPERATOR, stored.at(7, 3), None),
                peer_messages.TableState(tables.TableName.SERVERS, None, 0),
            ),
            load_by_server={servers.ServerId("i-1"): loads.Load(1, 2, 3)},
            crashes=(
                peer_messages.ReportedCrash(
                    builders.make_fingerprint(),
                    "i-1/5",
                    40,
                    120,
                    (builders.make_part_key("a"), builders.make_part_key("b")),
                    was_cleared=True,
                ),
            ),
            answered=(peer_messages.ReportedAnswer(builders.make_part_key("c"), 700),),
            findings=(
                crash_findings.Finding(
                    crash_findings.Scope(builders.make_part_key("b"), builders.ACCOUNT),
                    2,
                    True,
                    1,
                    5_000,
                    ("i-1/5", "i-2/6"),
                ),
            ),
            weight_updates=(builders.make_weight_update(is_loaded=True),),
            target_weights=(
                weights.TargetWeights(builders.MODEL, 2, 900),
                weights.TargetWeights(builders.MODEL, 3, None),
            ),
        )
        self.assertEqual(peer_messages.decode(peer_messages.encode(report)), report)

    def test_invalid_datagrams_are_rejected(self) -> None:
        complete = peer_messages.encode(make_report("entry-1", 1, 2))
        for datagram in (b"\xff" * 64, complete[: len(complete) // 2]):
            with self.subTest(datagram), self.assertRaises(peer_messages.MessageError):
                peer_messages.decode(datagram)

    def test_rows_are_decoded_unchanged(self) -> None:
        rows = stored.make_rows(4, stored.make_row("a", "é", 3))
        self.assertEqual(peers.decode_rows(peers.encode_rows(rows)), rows)
