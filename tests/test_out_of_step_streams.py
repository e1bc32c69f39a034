"""Streams that callers resume at a gateway that is out of step with the others."""

import asyncio
import dataclasses
import unittest
from typing import Final
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows
from quincecrank.gateway import (
    fleet_state,
    followers,
    gateway_metrics,
    main,
    order_lease,
    peer_messages,
    peers,
    row_consumers,
    servers,
    store_restores,
    stream_version_exchange,
    stream_versions,
    tables,
)
from tests import builders_gateway as builders
from tests import builders_store as stored

V1: Final = servers.SoftwareVersion("v1")
V2: Final = servers.SoftwareVersion("v2")
KEY: Final = stream_versions.stream_key(None, ids.RequestId("q-1"))
LISTING: Final = stream_versions.Listing(builders.LLM, frozenset((V1,)))
ROW_KEY: Final = stream_version_exchange.LISTING_PREFIX + builders.LLM
MEMBERS: Final = tables.TableName.MEMBERS
SUSPENDED_MS: Final = 3_000
NOT_LOADED: Final = stream_versions.Resumption.NOT_LOADED


def make_report(
    position: store_rows.Position, answer_age_ms: int = 50
) -> peer_messages.Report:
    """Return a peer's report with the position of its members table."""
    states = (
        peer_messages.TableState(MEMBERS, position, answer_age_ms),
        peer_messages.TableState(tables.TableName.SERVERS, position, answer_age_ms),
    )
    return peer_messages.Report(ids.VmName("peer-1"), False, states, {})


class SuspendingStore:
    """A store whose next answer is read after the process was suspended.

    Attributes
    ----------
    position : Position
        Position of its rows.
    suspended_ms : int
        Time between the next call for changes and the moment its answer is read.
    is_away : bool
        Whether calls fail.
    """

    def __init__(self, clock: clocks.ManualClock) -> None:
        self._clock = clock
        self.position = stored.at(3)
        self.suspended_ms = 0
        self.is_away = False

    async def read_all(self, _table: tables.TableName) -> store_rows.Rows:
        text = stream_version_exchange.encode_listing(LISTING)
        row = stored.make_row(ROW_KEY, text, self.position.version)
        return store_rows.Rows((row,), self.position)

    async def changes(
        self, _table: tables.TableName, _after: store_rows.Position, _wait_ms: int
    ) -> store_rows.Rows:
        if self.is_away:
            raise store_rows.StoreUnavailableError("away")
        self._clock.advance(self.suspended_ms)
        return store_rows.Rows((), self.position)

    async def write(
        self,
        _table: tables.TableName,
        _key: str,
        _text: str,
        _expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        raise store_rows.StoreUnavailableError("not used")


class FakeSocket:
    """Datagrams that have arrived."""

    def __init__(self) -> None:
        self.datagrams: list[bytes] = []
        self.ip = "10.0.0.1"

    def recvfrom(self, _size: int) -> tuple[bytes, tuple[str, int]]:
        if not self.datagrams:
            raise BlockingIOError
        return self.datagrams.pop(0), (self.ip, 1)


class OutOfStepTest(unittest.IsolatedAsyncioTestCase):
    """One gateway with a peer; the listing that it has read holds one version."""

    async def asyncSetUp(self) -> None:
        self.clock = clocks.ManualClock(10_000)
        self.store = SuspendingStore(self.clock)
        environment = dataclasses.replace(
            builders.make_environment(), vm=ids.VmName("entry-1")
        )
        self.peers = peers.PeerDirectory(environment, self.clock, store_era.StoreEra())
        self.fleet = fleet_state.FleetState(environment, self.clock)
        self.exchange = stream_version_exchange.StreamVersionExchange(
            self.fleet,
            self.peers,
            self.store,
            lambda: self.follower.rows_age_ms,
            lambda: self.follower.is_behind,
            self.clock,
        )
        lease = order_lease.OrderLease(self.store, environment.vm, 1_000, self.clock)
        self.follower = followers.TableFollower(
            MEMBERS,
            self.store,
            row_consumers.MemberRowConsumer(self.peers, lease, None, self.exchange),
            self.peers,
            self.clock,
            main.INTERVALS_BY_TABLE[MEMBERS],
            lambda: None,
            lambda _table: None,
            store_restores.StoreRestoreProgress(
                self.clock, gateway_metrics.GatewayMetrics()
            ),
        )
        with mock.patch("socket.socket"):
            self.reporter = peers.PeerReporter(
                environment,
                self.peers,
                lambda: make_report(stored.at(3)),
                self.exchange.apply_report,
                lambda _change: None,
                lambda _permits: None,
                self.clock,
            )
        self.socket = FakeSocket()
        self.reporter._socket = self.socket  # type: ignore[assignment]
        await self.follower._step()
        self.peers.set_members({ids.VmName(f"peer-{n}"): f"10.0.0.{n}" for n in (1, 2)})

    def add_peers(self, count: int) -> None:
        """Replace the registered peers."""
        self.peers.set_members(
            {ids.VmName(f"peer-{n}"): f"10.0.0.{n}" for n in range(1, count + 1)}
        )

    def receive(self, report: peer_messages.Report, ip: str = "10.0.0.1") -> None:
        """Let the process read a report."""
        self.socket.ip = ip
        self.socket.datagrams.append(peer_messages.encode(report))
        self.reporter._receive(None, 0)

    async def compare_with_peers(self) -> None:
        """Let the follower compare its position with those of peers a few times."""
        task = asyncio.ensure_future(self.follower.run_from_peers())
        for _ in range(5):
            await asyncio.sleep(0)
        task.cancel()

    async def resume(self) -> servers.SoftwareVersion | stream_versions.Resumption:
        """Return the version at which a stream of another gateway would go on."""
        await self.exchange._check()
        return self.fleet.stream_versions.version_of(
            builders.LLM, KEY, {V1}, self.clock.now_ms()
        )

    async def test_a_gateway_in_step_resumes_at_the_only_version(self) -> None:
        self.receive(make_report(stored.at(3)))
        self.clock.advance(100)
        self.receive(make_report(stored.at(3)))
        self.assertEqual(await self.resume(), V1)

    async def test_reports_that_waited_unread_joined_streams(self) -> None:
        """The age of a report was counted from its reading after a suspension."""
        self.receive(make_report(stored.at(3)))
        self.socket.datagrams.append(peer_messages.encode(make_report(stored.at(3))))
        self.clock.advance(SUSPENDED_MS)
        self.reporter._receive(None, 0)
        self.assertIs(await self.resume(), NOT_LOADED)
        self.clock.advance(20)
        self.receive(make_report(stored.at(3)))
        self.assertEqual(await self.resume(), V1)

    async def test_a_store_answer_that_waited_unread_joined_streams(self) -> None:
        """The age of an answer was counted from its reading after a suspension."""
        wait_ms = main.INTERVALS_BY_TABLE[MEMBERS].wait_ms
        self.store.suspended_ms = wait_ms + SUSPENDED_MS
        await self.follower._step()
        self.assertIs(await self.resume(), NOT_LOADED)
        self.store.suspended_ms = 0
        await self.follower._step()
        self.assertEqual(await self.resume(), V1)

    async def test_an_answer_with_an_older_change_waited_unread(self) -> None:
        """It had a change, so the store can have sent it just after the call."""
        self.store.suspended_ms = main.INTERVALS_BY_TABLE[MEMBERS].wait_ms
        row = stored.make_row("gateway:x", "10.0.0.9", 4)
        changed = store_rows.Rows((row,), stored.at(4))

        async def changes(*_args: object) -> store_rows.Rows:
            self.clock.advance(self.store.suspended_ms)
            return changed

        with mock.patch.object(self.store, "changes", changes):
            await self.follower._step()
        self.assertIs(await self.resume(), NOT_LOADED)

    async def test_a_silent_peer_does_not_have_a_listing(self) -> None:
        self.receive(make_report(stored.at(9)))
        self.assertFalse(self.peers.all_have(MEMBERS, stored.at(9)))
        self.peers.set_members({ids.VmName("peer-1"): "10.0.0.1"})
        self.assertTrue(self.peers.all_have(MEMBERS, stored.at(9)))
        self.assertFalse(self.peers.all_have(MEMBERS, stored.at(10)))
        self.assertFalse(self.peers.all_have(MEMBERS, stored.at(3, 1)))
        self.clock.advance(peers.PEER_SILENCE_LIMIT_MS)
        self.assertFalse(self.peers.all_have(MEMBERS, stored.at(9)))

    async def test_a_silent_peer_may_have_listed_a_version(self) -> None:
        """Most of the gateways were without the store, and took it for ended."""
        self.add_peers(3)
        for _ in range(20):
            self.clock.advance(100)
            for number in (1, 2):
                report = make_report(stored.at(3), answer_age_ms=1_700)
                self.receive(report, f"10.0.0.{number}")
        self.assertIs(await self.resume(), NOT_LOADED)

    async def test_a_report_that_names_a_newer_table_joined_streams(self) -> None:
        """It made the listing count as current before the newer one was fetched."""
        self.clock.advance(SUSPENDED_MS)
        self.reporter._receive(None, 0)
        self.receive(make_report(stored.at(9)))
        self.assertIs(await self.resume(), NOT_LOADED)

    async def test_a_gateway_was_cut_off_just_before_it_learned_of_a_version(
        self,
    ) -> None:
        """Its listing counted as current after streams had begun at that version."""
        checks = 10
        for _ in range(checks):
            self.clock.advance(stream_version_exchange.CHECK_MS)
            self.receive(make_report(stored.at(3)))
            self.assertEqual(await self.resume(), V1)
        # A version that was announced meanwhile may be unknown for this long.
        unknown_ms = (
            main.INTERVALS_BY_TABLE[MEMBERS].pause_ms
            + peers.MAX_REPORT_INTERVAL_MS
            + followers.PEER_INTERVAL_MS
        )
        begins_ms = (
            stream_versions.ANNOUNCEMENT_MS + stream_versions.BEGIN_DELAY_MS
        ) - unknown_ms
        for _ in range(begins_ms // 100):
            await self.resume()
            self.clock.advance(100)
        self.assertIs(await self.resume(), NOT_LOADED)

    async def test_a_gateway_that_could_not_fetch_a_newer_table_joined_streams(
        self,
    ) -> None:
        """Reports arrived, calls to the store and to peers did not."""
        self.store.is_away = True
        with mock.patch.object(self.peers, "fetch_rows", return_value=None):
            for _ in range(10):
                self.receive(make_report(stored.at(9)))
                await self.compare_with_peers()
            self.receive(make_report(stored.at(9)))
        self.assertIs(await self.resume(), NOT_LOADED)


if __name__ == "__main__":
    unittest.main()
