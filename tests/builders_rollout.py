"""Gateways that roll out weights in virtual time, with faults.

The gateways decide by the product's own lease and rollout.  The store, the engines, the
reports and the faults are simulated.  A suspended gateway goes on with whatever it
waits for once it is resumed; its datagrams wait unread.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from bench import virtual_time
from quincecrank import ids, store_era, store_rows, tasks
from quincecrank.gateway import (
    fleet_state,
    order_lease,
    peer_messages,
    peers,
    servers,
    store_clock,
    tables,
    weight_rollout,
)
from quincecrank.platform import engines
from tests import builders_gateway as builders
from tests import builders_store as stored

STORE_MS = 20
STORE_TIMEOUT_MS = 500
PUSH_MS = 60
REPORT_MS = 150
DATAGRAM_MS = 5
LOADING_MS = 1_200
ERA_CLOCK_MS = 1_000_000
"""Time by which the store's clock is ahead in each era of that in the era before."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentOrder:
    """An order that arrived at an engine."""

    at_ms: int
    vm: str
    server_id: str
    version: int
    fencing_number: int


class GatewayClock(virtual_time.LoopClock):
    """Clock of one gateway; nothing goes on while it is suspended.

    Attributes
    ----------
    resumed : asyncio.Event
        Cleared while the gateway is suspended.
    """

    def __init__(self) -> None:
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task, and longer while the gateway is suspended."""
        await super().sleep(duration_ms)
        await self.resumed.wait()


class Store:
    """The row of the lease; restores raise the era and bring back an earlier row."""

    def __init__(self, changed: Callable[[], None]) -> None:
        self.position = store_rows.Position(store_rows.FIRST_ERA, 0)
        self.text = ""
        self.history = [(0, "")]
        self._changed = changed

    def put(self, text: str, expected: store_rows.Position) -> store_rows.WriteResult:
        """Write the row if its version is the expected one, whatever the era."""
        if expected.version != self.position.version:
            return store_rows.WriteResult(False, self.position, self.text)
        self.text = text
        self.position = stored.at(self.position.version + 1, self.position.era)
        self.history.append((self.position.version, text))
        self._changed()
        return store_rows.WriteResult(True, self.position)

    def now_ms(self) -> int:
        """Return the time on the store's clock."""
        era_clock_ms = (1 + self.position.era) * ERA_CLOCK_MS
        return virtual_time.LoopClock().now_ms() + era_clock_ms

    def restore(self, steps: int) -> None:
        """Undo the last writes of the row."""
        self.history = self.history[: max(1, len(self.history) - steps)]
        version, self.text = self.history[-1]
        self.position = stored.at(version, self.position.era + 1)
        self._changed()


class StoreAccess:
    """One gateway's calls to the store.

    Attributes
    ----------
    is_cut_off : bool
        Whether calls are lost.
    loses_answers : bool
        Whether writes are done but not answered.
    write_delay_ms : int
        Time until a write is done.
    """

    def __init__(self, store: Store, clock: GatewayClock) -> None:
        self._store = store
        self._clock = clock
        self.is_cut_off = False
        self.loses_answers = False
        self.write_delay_ms = STORE_MS // 2
        self.era = store_era.StoreEra()

    async def write(
        self,
        _table: tables.TableName,
        _key: str,
        text: str,
        expected: store_rows.Position,
    ) -> store_rows.WriteResult:
        """Write the row as the platform's store does."""
        if expected.era < self.era.current:
            raise store_rows.StoreUnavailableError("another era")
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[store_rows.WriteResult] = loop.create_future()

        def put() -> None:
            result = self._store.put(text, expected)
            if not (self.loses_answers or answer.done()):
                answer.set_result(result)

        if not self.is_cut_off:
            loop.call_later(self.write_delay_ms / 1_000, put)
        done, _ = await asyncio.wait({answer}, timeout=STORE_TIMEOUT_MS / 1_000)
        await self._clock.resumed.wait()
        if not done:
            answer.cancel()
            raise store_rows.OutcomeUnknownError("timed out")
        result = answer.result()
        self.era.observe(result.position.era)
        return result


class Engines:
    """Engines that load weights when ordered."""

    def __init__(self, loaded: Callable[[str, int], None]) -> None:
        self.orders: list[SentOrder] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.version_by_server: dict[str, int] = {}
        self.loading: set[str] = set()
        self.max_loading = 0
        self._loaded = loaded

    def order(self, vm: str, order: engines.WeightOrder) -> engines.OrderAnswer:
        """Accept an order with the expected count."""
        name = str(order.server.server_id)
        now_ms = virtual_time.LoopClock().now_ms()
        self.orders.append(
            SentOrder(now_ms, vm, name, order.version, order.fencing_number)
        )
        if name in self.loading or order.expected_orders != self.counts[name]:
            return engines.OrderAnswer.CONFLICT
        self.counts[name] += 1
        self.loading.add(name)
        self.max_loading = max(self.max_loading, len(self.loading))
        asyncio.get_running_loop().call_later(
            LOADING_MS / 1_000, self._finish, name, order.version
        )
        return engines.OrderAnswer.ACCEPTED

    def _finish(self, name: str, version: int) -> None:
        self.loading.discard(name)
        self.version_by_server[name] = version
        self._loaded(name, version)


class Calls:
    """One gateway's calls to the engines."""

    def __init__(self, vm: str, fleet: Engines, clock: GatewayClock) -> None:
        self._vm = vm
        self._fleet = fleet
        self._clock = clock
        self.order_delay_ms: Callable[[], int] = lambda: 2

    async def report(self, address: str) -> engines.EngineReport:
        """Return the state of an engine; its address is its name here."""
        await self._clock.sleep(2)
        name = address.split(":")[0]
        version = self._fleet.version_by_server[name]
        return engines.EngineReport(
            name in self._fleet.loading,
            self._fleet.counts[name],
            {builders.MODEL: version},
        )

    async def order_weights(self, order: engines.WeightOrder) -> engines.OrderAnswer:
        """Send an order, but not after the end of the lease.

        No suspension falls between the check of the lease and the order; the engine's
        count guards against that.
        """
        delay_ms = min(self.order_delay_ms(), order.lease_left_ms)
        await asyncio.sleep(delay_ms / 1_000)
        return self._fleet.order(self._vm, order)


class SimulatedGateway:
    """One gateway with the product's lease and rollout."""

    def __init__(self, name: str, number: int, fleet: "RolloutFleet") -> None:
        self.name = name
        self.ip = f"10.0.0.{number}"
        self.clock = GatewayClock()
        settings = dataclasses.replace(
            builders.make_environment(ip=self.ip),
            vm=ids.VmName(name),
            bounds=builders.make_bounds(weights_deadline_ms=12_000),
            shares_admission=True,
        )
        self.store = StoreAccess(fleet.store, self.clock)
        self.state = fleet_state.FleetState(settings, self.clock)
        self.directory = peers.PeerDirectory(settings, self.clock, self.store.era)
        table: Any = self.store
        self.store_clock = store_clock.StoreClock()
        self.lease = order_lease.OrderLease(
            table,
            settings.vm,
            settings.bounds.order_lease_ms,
            self.clock,
            self.store_clock,
        )
        self.store.era.subscribe(self.lease.handle_new_era)
        self.store.era.subscribe(self.store_clock.handle_new_era)
        self.calls = Calls(name, fleet.engines, self.clock)
        calls: Any = self.calls
        self._fleet = fleet
        self._tasks = tasks.BackgroundTasks()
        self.is_cut_off_from_peers = False
        self.rollout = weight_rollout.WeightRollout(
            self.state, calls, self.lease, self.directory, self.report, self.clock
        )

    def cut_off_from_store(self, *, is_cut_off: bool) -> None:
        """Begin or end a fault of the connection to the store."""
        self.store.is_cut_off = is_cut_off
        self._fleet.announce_row(self)

    def report(self) -> None:
        """Send a report to all peers."""
        now_ms = self.clock.now_ms()
        report = peer_messages.Report(
            ids.VmName(self.name),
            False,
            (),
            {},
            weight_updates=self.state.weight_updates.to_publish(now_ms),
            handover=self.lease.handover(),
        )
        # The encoding is part of what is tested.
        self._fleet.send(self, peer_messages.encode_packed(report))

    async def run_reports(self) -> None:
        """Report at the usual interval; never returns."""
        while True:
            await self.clock.sleep(REPORT_MS)
            self.report()

    async def receive(self, sender: "SimulatedGateway", datagram: bytes) -> None:
        """Apply a report once this gateway is not suspended."""
        await self.clock.resumed.wait()
        report = peer_messages.decode(datagram)
        assert isinstance(report, peer_messages.Report)
        self.directory.record_report(sender.ip, report)
        for update in report.weight_updates:
            self.state.apply_weight_update(update)
        if report.handover is not None:
            self.lease.apply_handover(report.handover, report.vm)

    async def observe_row(self) -> None:
        """Observe the row of the lease some time after its change."""
        row = self._fleet.store.position, self._fleet.store.text
        store_now_ms, sent_ms = self._fleet.store.now_ms(), self.clock.now_ms()
        await self.clock.sleep(PUSH_MS)
        self.store.era.observe(row[0].era)
        if row[0].era == self.store.era.current:
            received_ms = self.clock.now_ms()
            self.store_clock.observe(
                store_clock.Sample(store_now_ms, sent_ms, received_ms)
            )
            self.lease.observe(*row)

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.start(self.run_reports())
        self._tasks.start(self.rollout.run())

    def kill(self) -> None:
        """End the process; what it has sent arrives."""
        self._tasks.cancel()
        self.rollout._background.cancel()
        self.cut_off_from_store(is_cut_off=True)
        self.is_cut_off_from_peers = True


class RolloutFleet:
    """Gateways, engines and a store.

    Attributes
    ----------
    datagram_delay_ms : callable
        Returns the delay of a datagram; None if it is lost.
    """

    def __init__(self, gateway_count: int, engine_count: int) -> None:
        self.datagram_delay_ms: Callable[[], int | None] = lambda: DATAGRAM_MS
        self.tasks: set[asyncio.Future[None]] = set()
        self.gateways: list[SimulatedGateway] = []
        self._set_ms_by_target: dict[int, int] = {}
        self._killed: list[SimulatedGateway] = []
        self.store = Store(self._row_changed)
        self.engines = Engines(self._loaded)
        for number in range(gateway_count):
            self.gateways.append(SimulatedGateway(f"entry-{number}", number + 1, self))
        for number in range(engine_count):
            name = f"i-{number}"
            self.engines.version_by_server[name] = 1
            for gateway in self.gateways:
                gateway.state.registry.update(self._entry(name, 1))

    def keep_busy(self) -> None:
        """Let each engine compute prompts of each gateway without an end."""
        for gateway in self.gateways:
            for name in self.engines.version_by_server:
                gateway.state.loads.record_start(
                    servers.ServerId(name), ids.RequestId(name), 100, 3_000
                )

    def start(self) -> None:
        """Start the background tasks of all gateways."""
        for gateway in self.gateways:
            gateway.start()

    def restart(self, gateway: SimulatedGateway) -> None:
        """Kill a gateway and start it again at once."""
        gateway.kill()
        self._killed.append(gateway)
        number = self.gateways.index(gateway)
        started = self.gateways[number] = SimulatedGateway(
            gateway.name, number + 1, self
        )
        for name, version in self.engines.version_by_server.items():
            started.state.registry.update(self._entry(name, version))
        for version, set_ms in self._set_ms_by_target.items():
            started.state.target_versions.record_target(builders.MODEL, version, set_ms)
        self.announce_row(started)
        started.start()

    def set_target(self, version: int) -> None:
        """Set a target version at all gateways."""
        now_ms = virtual_time.LoopClock().now_ms()
        self._set_ms_by_target[version] = now_ms
        for gateway in self.gateways:
            gateway.state.target_versions.record_target(builders.MODEL, version, now_ms)

    def count_takeovers(self, origin: str) -> int:
        """Return how often gateways, killed ones included, took the lease."""
        gateways = (*self.gateways, *self._killed)
        return sum(each.lease.takeovers[origin] for each in gateways)

    def holder(self) -> SimulatedGateway | None:
        """Return the gateway that may give orders."""
        return next((each for each in self.gateways if each.lease.is_valid), None)

    def background(self, coroutine: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def send(self, sender: SimulatedGateway, datagram: bytes) -> None:
        """Send a datagram to all peers, whatever becomes of it."""
        for gateway in self.gateways:
            delay_ms = self.datagram_delay_ms()
            is_cut = sender.is_cut_off_from_peers or gateway.is_cut_off_from_peers
            if gateway is sender or is_cut or delay_ms is None:
                continue
            self.background(self._deliver(gateway, sender, datagram, delay_ms))

    async def _deliver(
        self,
        gateway: SimulatedGateway,
        sender: SimulatedGateway,
        datagram: bytes,
        delay_ms: int,
    ) -> None:
        await asyncio.sleep(delay_ms / 1_000)
        await gateway.receive(sender, datagram)

    def announce_row(self, gateway: SimulatedGateway) -> None:
        """Let a gateway read the row unless it is cut off."""
        if not gateway.store.is_cut_off:
            self.background(gateway.observe_row())

    def _row_changed(self) -> None:
        for gateway in self.gateways:
            self.announce_row(gateway)

    def _loaded(self, name: str, version: int) -> None:
        for gateway in self.gateways:
            gateway.state.registry.update(self._entry(name, version))

    @staticmethod
    def _entry(name: str, version: int) -> servers.ServerEntry:
        return builders.make_entry(name, address=f"{name}:1", weights=version, slots=64)


def orders_too_close(orders: list[SentOrder], required_ms: int) -> list[str]:
    """Return what breaks the rules of orders: their distance and fencing numbers."""
    problems = []
    by_server: dict[str, list[SentOrder]] = {}
    for order in orders:
        for before in by_server.setdefault(order.server_id, []):
            if before.fencing_number == order.fencing_number:
                continue
            if order.at_ms - before.at_ms < required_ms:
                problems.append(f"too close: {before} {order}")
            if order.fencing_number < before.fencing_number:
                problems.append(f"fencing number fell: {before} {order}")
        by_server[order.server_id].append(order)
    return problems
