"""Tests of how changes of a table get from one gateway to all others."""

import asyncio
import gzip
import random
import socket
import time
import unittest
from typing import Any
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows, text_delta
from quincecrank.gateway import (
    change_delivery,
    followers,
    gateway_metrics,
    peer_messages,
    peers,
    store_restores,
    tables,
)
from tests import builders_gateway as builders
from tests import builders_store as stored

LONG = "{" + "x" * change_delivery.MAX_WHOLE_CHARACTERS
FIRST, SECOND, THIRD = (LONG + end for end in ("{b", "{c", "{d"))
"""Texts that are sent as differences from each other."""

OPERATOR = tables.TableName.OPERATOR
INTERVALS = followers.PollingIntervals(wait_ms=100, pause_ms=0, max_age_ms=1_000)


def make_row(text: str, version: int, key: str = "config") -> store_rows.Row:
    return stored.make_row(key, text, version)


def make_change(
    previous: int, version: int, text: str, base: store_rows.Row | None = None
) -> change_delivery.AgedChange:
    """Return a change of the row "config"."""
    row = change_delivery.encode_row(make_row(text, version), base)
    change = change_delivery.Change(
        OPERATOR, stored.at(previous), stored.at(version), (row,)
    )
    return change_delivery.AgedChange(change, 0)


class TextDeltaTest(unittest.TestCase):
    def test_texts_are_decoded_as_they_were_encoded(self) -> None:
        generator = random.Random(1)
        for _ in range(200):
            base, text = (
                "".join(generator.choices('{}ab"', k=generator.randrange(40)))
                for _ in range(2)
            )
            difference = text_delta.encode(base, text)
            self.assertEqual(text_delta.decode(base, difference), text)

    def test_a_changed_route_among_many_takes_few_bytes(self) -> None:
        routes = [f'{{"name": "r-{random.Random(n).random()}"}}' for n in range(1_400)]
        base = "[" + ",".join(routes) + "]"
        text = base.replace(routes[700], '{"name": "other"}')
        self.assertLess(len(text_delta.encode(base, text)), 300)

    def test_a_difference_from_another_text_is_rejected(self) -> None:
        difference = text_delta.encode("{a{b{c", "{a{b{d")
        for base in ("", "{a", "{x{b{c"):
            with self.subTest(base), self.assertRaises(ValueError):
                text_delta.decode(base, difference)

    def test_malformed_differences_are_rejected(self) -> None:
        difference = text_delta.encode("{a{b", "{a{c")
        generator = random.Random(2)
        for _ in range(300):
            data = bytearray(difference)
            data[generator.randrange(len(data))] ^= 1 << generator.randrange(8)
            try:
                text = text_delta.decode(
                    "{a{b", bytes(data[: generator.choice((9, 99))])
                )
            except ValueError:
                continue
            self.assertEqual(text, "{a{c")


class ChangeDeliveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.delivery = change_delivery.ChangeDelivery(random.Random(3))

    def test_a_change_waits_for_an_earlier_one(self) -> None:
        for each in (make_change(12, 14, "c"), make_change(10, 12, "b")):
            self.delivery.add_waiting(each)
        taken = []
        position = stored.at(10)
        while aged := self.delivery.take_applicable(position):
            position = aged.change.position
            taken.append(position.version)
        self.assertEqual(taken, [12, 14])

    def test_a_change_with_a_gap_is_not_taken(self) -> None:
        self.delivery.add_waiting(make_change(12, 14, "c"))
        self.assertIsNone(self.delivery.take_applicable(stored.at(10)))
        self.assertIsNone(self.delivery.take_applicable(stored.at(10, era=1)))
        self.assertIsNone(self.delivery.take_applicable(stored.at(12)))

    def test_peers_that_lack_changes_are_sent_those_only(self) -> None:
        for previous, version in ((10, 12), (12, 14), (14, 16)):
            self.delivery.record(make_change(previous, version, "x"), 0)
        found = self.delivery.repeats(
            stored.at(16),
            {
                "at-12": stored.at(12),
                "at-13": stored.at(13),
                "at-9": stored.at(9),
                "at-16": stored.at(16),
                "none": None,
                "later-era": stored.at(3, era=1),
            },
            change_delivery.REPEAT_DELAY_MS,
        )
        versions = {
            peer: [each.change.position.version for each in missing]
            for peer, missing in found.items()
        }
        self.assertLessEqual(versions.keys(), {"at-12", "at-13"})
        for each in versions.values():
            self.assertEqual(each, [14, 16])

    def test_repeats_do_not_grow_with_the_fleet(self) -> None:
        for gateways in (10, 100, 1_000):
            with self.subTest(gateways):
                behind = gateways // 2
                position_by_peer: dict[str, store_rows.Position | None] = {
                    f"g-{number}": stored.at(10 if number < behind else 12)
                    for number in range(gateways - 1)
                }
                sent = 0
                for seed in range(gateways - behind):
                    delivery = change_delivery.ChangeDelivery(random.Random(seed))
                    delivery.record(make_change(10, 12, "x"), 0)
                    sent += len(delivery.repeats(stored.at(12), position_by_peer, 999))
                self.assertLess(sent / behind, 2 * change_delivery.SENDERS_PER_PEER)
                self.assertGreater(sent / behind, 0.5)

    def test_large_changes_are_not_pushed(self) -> None:
        self.assertTrue(self.delivery.may_push(400, 1_900))
        self.assertFalse(self.delivery.may_push(8_000, 1_900))
        self.assertTrue(self.delivery.may_push(8_000, 67))
        self.assertFalse(
            self.delivery.may_push(change_delivery.MAX_CHANGE_BYTES + 1, 1)
        )

    def test_fetches_spread_over_a_large_fleet(self) -> None:
        """All gateways fetched a large change from the three readers at once."""
        for gateways in (68, 1_900):
            with self.subTest(gateways):
                holders, intervals = 3, 0
                while holders < gateways:
                    position_by_peer: dict[str, store_rows.Position | None] = {
                        f"g-{number}": stored.at(12 if number < holders else 10)
                        for number in range(gateways - 1)
                    }
                    fetching = sum(
                        self.delivery.may_fetch(999, stored.at(12), position_by_peer)
                        for _ in range(gateways - holders)
                    )
                    self.assertLess(
                        fetching / holders, 2.5 * change_delivery.FETCHES_PER_SOURCE
                    )
                    holders += fetching
                    intervals += 1
                self.assertLess(intervals, 12)

    def test_few_gateways_that_are_behind_read_the_store(self) -> None:
        for gateways in (10, 68, 1_900):
            with self.subTest(gateways):
                reading = sum(
                    self.delivery.may_read_store(gateways) for _ in range(gateways)
                )
                self.assertLess(reading, 2 * change_delivery.STORE_READS)
                self.assertGreater(reading, min(gateways, 32) - 1)


class PushedChangeTest(unittest.IsolatedAsyncioTestCase):
    """A follower that gets changes from its peers."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.applied: list[tuple[str, int]] = []
        self.peers = peers.PeerDirectory(
            builders.make_environment(), self.clock, store_era.StoreEra()
        )
        self.follower = followers.TableFollower(
            OPERATOR,
            None,  # type: ignore[arg-type]
            self,
            self.peers,
            self.clock,
            INTERVALS,
            lambda: None,
            lambda _table: None,
            store_restores.StoreRestoreProgress(
                self.clock, gateway_metrics.GatewayMetrics()
            ),
        )
        self.first = make_row(FIRST, 9)
        self.replace(10, self.first)

    def replace(self, version: int, *rows: store_rows.Row) -> None:
        arrival = followers.Arrival(followers.STORE, 0, None)
        self.follower._replace(stored.make_rows(version, *rows), arrival)

    def apply_snapshot(
        self, _snapshot: store_rows.Rows, _arrival: followers.Arrival | None = None
    ) -> None:
        pass

    def apply_changes(
        self,
        rows: tuple[store_rows.Row, ...],
        _arrival: followers.Arrival | None = None,
    ) -> tuple[store_rows.Row, ...]:
        self.applied += [(row.text, row.position.version) for row in rows]
        return rows

    def handle_store_unavailable(self) -> None:
        pass

    def handle_store_available(self, outage_ms: int) -> None:
        pass

    def test_changes_are_applied_once_and_in_order(self) -> None:
        second = make_row(SECOND, 12)
        changes = (
            make_change(10, 12, second.text, self.first),
            make_change(12, 14, THIRD, second),
        )
        for aged in (changes[1], changes[0], changes[0], changes[1]):
            self.follower.apply_pushed(aged)
        self.assertEqual(self.applied, [(SECOND, 12), (THIRD, 14)])
        self.assertEqual(self.follower.position, stored.at(14))
        self.assertEqual(self.follower.last_change_position, stored.at(14))

    def test_a_change_of_a_row_that_is_not_held_leaves_the_gateway_behind(
        self,
    ) -> None:
        other = make_row(LONG + "{other", 8)
        self.follower.apply_pushed(make_change(10, 12, LONG + "{y", other))
        self.assertEqual(self.applied, [])
        self.assertEqual(self.follower.position, stored.at(10))

    def test_a_change_of_an_earlier_position_is_ignored(self) -> None:
        self.replace(20, make_row("{new", 20))
        self.follower.apply_pushed(make_change(10, 12, SECOND, self.first))
        self.assertEqual(self.applied, [])
        assert self.follower.rows is not None
        self.assertEqual(self.follower.rows.rows[0].text, "{new")

    def test_a_change_after_a_heartbeat_was_not_applied(self) -> None:
        """It was sent as the difference from a row that only readers had."""
        heartbeat = make_row('{"seq": 2}', 11)
        row = change_delivery.encode_row(make_row('{"state": "left"}', 12), heartbeat)
        change = change_delivery.Change(OPERATOR, stored.at(10), stored.at(12), (row,))
        self.follower.apply_pushed(change_delivery.AgedChange(change, 0))
        self.assertEqual(self.applied, [('{"state": "left"}', 12)])

    def test_a_change_read_after_it_was_pushed_is_not_applied_again(self) -> None:
        self.follower.apply_pushed(make_change(10, 12, SECOND, self.first))
        self.follower._apply_changes(stored.make_rows(13, make_row(SECOND, 12)), 0)
        self.assertEqual(self.applied, [(SECOND, 12)])

    def test_readers_push_the_difference_from_the_row_before(self) -> None:
        pushed: list[change_delivery.AgedChange] = []
        self.follower._push = pushed.append
        self.follower._apply_changes(stored.make_rows(13, make_row(SECOND, 12)), 0)
        (aged,) = pushed
        self.assertEqual(aged.change.previous, stored.at(10))
        self.assertEqual(aged.change.position, stored.at(13))
        (row,) = aged.change.rows
        self.assertEqual(
            change_delivery.decode_row(row, self.first), make_row(SECOND, 12)
        )

    def test_rows_of_a_peer_made_all_others_fetch_them_again(self) -> None:
        """Their position was later than the last change that all of them had."""
        fetched = peers.decode_rows(
            peers.encode_rows(
                store_rows.Rows(
                    (make_row(SECOND, 12),),
                    stored.at(40),
                    last_change=stored.at(12),
                )
            )
        )
        arrival = followers.Arrival(followers.PEER, 0, None)
        self.follower._replace(fetched, arrival)
        self.assertEqual(self.follower.position, stored.at(40))
        self.assertEqual(self.follower.last_change_position, stored.at(12))

    def test_a_lost_history_made_all_peers_fetch_the_rows(self) -> None:
        """A full read published its position although no row had changed."""
        self.replace(30, self.first)
        self.assertEqual(self.follower.position, stored.at(30))
        self.assertEqual(self.follower.last_change_position, stored.at(10))
        self.replace(40, make_row(SECOND, 35))
        self.assertEqual(self.follower.last_change_position, stored.at(40))

    def test_changes_in_a_lost_history_are_pushed(self) -> None:
        """They reached the other gateways by a fetch of each of them only."""
        pushed: list[change_delivery.AgedChange] = []
        self.follower._push = pushed.append
        self.replace(20, self.first, make_row("{t", 15, "targets"))
        self.replace(30, make_row(SECOND, 25))
        self.replace(40, make_row(SECOND, 25))
        other = PushedChangeTest()
        other.setUp()
        for aged in pushed:
            other.follower.apply_pushed(aged)
        self.assertEqual(len(pushed), 2)
        self.assertEqual(other.follower.position, stored.at(30))
        assert other.follower.rows is not None
        self.assertEqual(other.follower.rows.rows, (make_row(SECOND, 25),))

    def test_a_gateway_behind_its_peers_did_not_read_a_store_nobody_read(self) -> None:
        """It was not among those that read the store because they are behind."""
        state = peer_messages.TableState(OPERATOR, stored.at(20), 5_000)
        report = peer_messages.Report(ids.VmName("entry-2"), False, (state,), {})
        self.peers.record_report("10.0.0.2", report)
        self.follower._behind_since_ms = self.clock.now_ms()
        self.clock.advance(followers.MAX_BEHIND_MS + 1)
        with (
            mock.patch.object(
                self.follower.delivery, "may_read_store", lambda _: False
            ),
            mock.patch.object(self.follower, "_is_reader", lambda: False),
        ):
            self.assertTrue(self.follower.reads_store())

    def test_rows_are_encoded_once_for_all_peers(self) -> None:
        documents = peers.RowsDocuments()

        def document() -> bytes:
            assert self.follower.rows is not None
            return documents.document(OPERATOR, self.follower.rows)

        first = document()
        self.assertIs(document(), first)
        self.follower.apply_pushed(make_change(10, 12, SECOND, self.first))
        self.assertIsNot(document(), first)
        rows = peers.decode_rows(gzip.decompress(document()))
        self.assertEqual(rows, self.follower.rows)

    def test_changes_are_decoded_as_they_were_encoded(self) -> None:
        change = change_delivery.Change(
            OPERATOR,
            stored.at(10, era=2),
            stored.at(12, era=2),
            (
                change_delivery.ChangedRow("a", stored.at(11, 2), False, None, b"x"),
                change_delivery.ChangedRow(
                    "b\udfff", stored.at(12, 2), True, stored.at(3, 2), b""
                ),
            ),
        )
        message = peer_messages.TableChange(change, 70)
        encoded = peer_messages.encode_table_change(message)
        self.assertEqual(peer_messages.decode(encoded), message)


def free_port() -> int:
    """Return a port for datagrams that is free at the time of the call."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class ReporterTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_read_of_datagrams_before_the_start_blocked(self) -> None:
        """The socket blocked until the port was bound."""
        own_settings = builders.make_environment(peer_port=free_port())
        clock = clocks.ManualClock()
        reporter = peers.PeerReporter(
            own_settings,
            peers.PeerDirectory(own_settings, clock, store_era.StoreEra()),
            lambda: peer_messages.Report(ids.VmName("entry-1"), False, (), {}),
            lambda _report: None,
            lambda _change: None,
            lambda _permits: None,
            clock,
        )
        clock.advance(2 * peers.MAX_UNREAD_MS)
        self.assertFalse(reporter._socket.getblocking())
        reporter.receive_waiting()

    async def test_datagrams_kept_a_slow_gateway_from_all_other_work(self) -> None:
        """They arrived as fast as it handled them, in one step of its event loop."""
        endless = 5_000
        handled = 0
        own_settings = builders.make_environment(peer_port=free_port())
        clock = clocks.SystemClock()

        def handle(*_given: object) -> None:
            nonlocal handled
            handled += 1
            if handled < endless:
                reporter.send_table_change(("127.0.0.1",), datagram)

        reporter = peers.PeerReporter(
            own_settings,
            peers.PeerDirectory(own_settings, clock, store_era.StoreEra()),
            lambda: peer_messages.Report(ids.VmName("entry-1"), False, (), {}),
            handle,
            handle,
            handle,
            clock,
            handle,
        )
        reporter.start()
        message = peer_messages.TableChange(make_change(1, 2, "x").change, 0)
        datagram = peer_messages.encode_table_change(message)
        reporter.send_table_change(("127.0.0.1",), datagram)
        while not handled:
            await asyncio.sleep(0)
        self.assertLessEqual(handled, peers.DATAGRAMS_PER_STEP)
        before = handled
        while handled == before:
            await asyncio.sleep(0)
        self.assertLessEqual(handled, 2 * peers.DATAGRAMS_PER_STEP)

    async def test_a_request_was_served_before_the_change_that_waited_unread(
        self,
    ) -> None:
        """A late loop may reach a request before a datagram that arrived earlier."""
        received: list[Any] = []
        own_settings = builders.make_environment(peer_port=free_port())
        clock = clocks.SystemClock()
        reporter = peers.PeerReporter(
            own_settings,
            peers.PeerDirectory(own_settings, clock, store_era.StoreEra()),
            lambda: peer_messages.Report(ids.VmName("entry-1"), False, (), {}),
            received.append,
            received.append,
            received.append,
            clock,
            lambda *given: received.append(given),
        )
        reporter.start()
        message = peer_messages.TableChange(make_change(1, 2, "x").change, 0)
        datagram = peer_messages.encode_table_change(message)
        reporter.send_table_change(("127.0.0.1",), datagram)
        reporter.receive_waiting()
        self.assertEqual(received, [])
        # The event loop does not run meanwhile.
        time.sleep(2 * peers.MAX_UNREAD_MS / clocks.MS_PER_SECOND)
        reporter.receive_waiting()
        ((change, source, unread_ms),) = received
        self.assertEqual(change, message)
        self.assertEqual(source, "127.0.0.1")
        self.assertGreaterEqual(unread_ms, 2 * peers.MAX_UNREAD_MS)
