"""Simulates gateways that share the rate limits of backend servers, in virtual time.

Each gateway decides by the product's own code: fleet state, dispatcher and peer
directory.  Callers, backend servers and the network between gateways are simulated:
messages take time, some are lost, and gateways freeze, are cut off, end and start
again.  Arrivals and random choices are seeded.
"""

import asyncio
import bisect
import dataclasses
import json
import random
from collections.abc import Callable, Sequence
from typing import Final

from bench import gateway_simulation, virtual_time
from quincecrank import clock as clocks
from quincecrank import ids, store_era
from quincecrank.gateway import (
    deployment,
    dispatcher,
    fleet_state,
    peer_messages,
    peers,
    permit_exchange,
    placements,
    rate_limits,
    send_permits,
    servers,
)
from quincecrank.platform import documents
from tests import builders_gateway as builders
from tests import rate_limit_checker

SERVICE: Final = builders.PLAIN
MIN_DELAY_MS: Final = 1.0
MAX_DELAY_MS: Final = 5.0
"""Bounds of the travel time of a message or request."""

MIN_ANSWER_MS: Final = 30.0
MAX_ANSWER_MS: Final = 250.0
"""Bounds of the time that a server takes to answer."""

MAX_ENTRY_MS: Final = 300.0
"""Longest time from the writing of an entry until a gateway has it."""

ENTRY_INTERVAL_MS: Final = 800.0

DEADLINE_MS: Final = 5_000
TARGET_MS: Final = 1_000

PermitsMaker = Callable[
    [ids.VmName, rate_limits.RateLimits, random.Random], send_permits.SendPermits
]
Message = peer_messages.Report | send_permits.PermitMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Time in which a gateway's processes are suspended."""

    gateway: int
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Time in which messages of gateways to others are lost.

    Attributes
    ----------
    senders, receivers : frozenset of int
        Messages from a sender to a receiver are lost.
    """

    senders: frozenset[int]
    receivers: frozenset[int]
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A gateway that ends at one time and starts at another; never if infinite."""

    gateway: int
    ends_ms: float
    starts_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTime:
    """Time in which the first servers are cold, as a data centre that comes back.

    Gateways learn it from the servers' entries, each at a time of its own.

    Attributes
    ----------
    per_second : float
        Requests a second that a cold server takes.
    """

    servers: int
    per_second: float
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Load, limits and faults of one run.

    Attributes
    ----------
    per_second : float
        Requests a second at the whole fleet.
    busy_gateways : int
        Gateways that callers use; 0 for all.
    limits_by_server : tuple of tuple of LimitChange
        For each server, the limits that it names.
    loss : float
        Probability that a message between gateways is lost.
    make_permits : callable
        Makes the part of a gateway that decides whether it may send.
    """

    seed: int
    gateways: int
    per_second: float
    limits_by_server: tuple[tuple[rate_limit_checker.LimitChange, ...], ...]
    duration_ms: int = 16_000
    busy_gateways: int = 0
    slots: int = 64
    loss: float = 0.03
    make_permits: PermitsMaker = send_permits.SendPermits
    freezes: tuple[Freeze, ...] = ()
    cuts: tuple[Cut, ...] = ()
    restarts: tuple[Restart, ...] = ()
    cold: ColdTime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResult:
    """What one server got.

    Attributes
    ----------
    arrivals : tuple of Arrival
        Requests that reached the server, ascending by time.
    answers : tuple of Answer
        Its answers as gateways received them.
    """

    changes: tuple[rate_limit_checker.LimitChange, ...]
    arrivals: tuple[rate_limit_checker.Arrival, ...]
    answers: tuple[rate_limit_checker.Answer, ...]

    def worst_window(
        self, excuses: Sequence[rate_limit_checker.Excuse] = ()
    ) -> rate_limit_checker.Window | None:
        """Return the window with the most requests relative to the allowance."""
        return rate_limit_checker.worst_window(
            self.changes, self.arrivals, self.answers, excuses
        )

    def most_in_a_second(self, from_ms: float, until_ms: float) -> int:
        """Return the most arrivals of any second in a time."""
        times = sorted(each.at_ms for each in self.arrivals)
        times = [each for each in times if from_ms <= each < until_ms]
        return max(
            (
                index + 1 - bisect.bisect_right(times, last - clocks.MS_PER_SECOND)
                for index, last in enumerate(times)
            ),
            default=0,
        )

    def requests_between(self, from_ms: float, until_ms: float) -> int:
        """Return the number of arrivals in a time."""
        return sum(from_ms <= each.at_ms < until_ms for each in self.arrivals)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one run.

    Attributes
    ----------
    messages : int
        Datagrams that the gateways sent, without reports.
    requests, rejected : int
        Requests of callers, and those that were rejected.
    believing : tuple of frozenset of str
        For each server, the gateways that assume a limit of it at the end of the run.
    """

    servers: tuple[ServerResult, ...]
    messages: int
    requests: int
    rejected: int
    believing: tuple[frozenset[str], ...]


class FreezableClock(virtual_time.LoopClock):
    """Clock of a gateway; its tasks do not wake up while the gateway is frozen."""

    def __init__(self) -> None:
        self.frozen_until_ms = 0.0

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task, at least until the gateway is not frozen."""
        await super().sleep(duration_ms)
        await self.wait_thawed()

    async def wait_thawed(self) -> None:
        """Suspend the calling task while the gateway is frozen."""
        while self.now_ms() < self.frozen_until_ms:
            await super().sleep(self.frozen_until_ms - self.now_ms() + 1)


class SimulatedServer:
    """A backend server that records arrivals and names its limit in all answers."""

    def __init__(
        self,
        changes: tuple[rate_limit_checker.LimitChange, ...],
        generator: random.Random,
    ) -> None:
        self.changes = changes
        self.arrivals: list[rate_limit_checker.Arrival] = []
        self.answers: list[rate_limit_checker.Answer] = []
        self._generator = generator

    def limit_at(self, now_ms: float) -> float | None:
        """Return the limit that the server names at a time."""
        limit = None
        for change in self.changes:
            if change.at_ms <= now_ms:
                limit = change.per_second
        return limit

    def draw_answer_ms(self) -> float:
        """Return the time that the server takes to answer one request."""
        return self._generator.uniform(MIN_ANSWER_MS, MAX_ANSWER_MS)


class SimulatedGateway:
    """One start of a gateway: the product's decisions on a simulated network."""

    def __init__(self, number: int, simulation: "Simulation") -> None:
        self.number = number
        self.name = f"gateway-{number}"
        self.clock = FreezableClock()
        self.has_ended = False
        self._simulation = simulation
        settings = gateway_simulation.make_environment(number)
        self._settings = dataclasses.replace(
            settings,
            ip=f"10.0.0.{number}",
            bounds=dataclasses.replace(settings.bounds, cold_overshoot=1.5),
        )
        self.fleet = fleet_state.FleetState(self._settings, self.clock)
        if simulation.pattern.cold is not None:
            self.fleet.apply_configuration(_configuration(simulation.pattern.cold))
        self.fleet.send_permits = simulation.pattern.make_permits(
            self._settings.vm,
            self.fleet.rate_limits,
            random.Random(simulation.pattern.seed * 1_000 + number),
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.fleet, random.Random(simulation.pattern.seed * 1_000 + number)
        )
        self.peers = peers.PeerDirectory(
            self._settings, self.clock, store_era.StoreEra()
        )
        self.peers.set_members(
            {
                ids.VmName(f"gateway-{each}"): f"10.0.0.{each}"
                for each in range(simulation.pattern.gateways)
            }
        )
        self.permits = permit_exchange.PermitExchange(
            self.fleet,
            self.peers,
            self._send_permits,
            self.dispatcher.start_queued,
            self.clock,
        )
        self.fleet.notify_rate_limit = self._send_report
        for server_number in range(len(simulation.pattern.limits_by_server)):
            self.fleet.registry.update(
                builders.make_entry(
                    f"i-{server_number}",
                    service=SERVICE,
                    slots=simulation.pattern.slots,
                    weights=None,
                )
            )

    def start(self) -> None:
        """Start the gateway's tasks."""
        self._simulation.start(self.dispatcher.run())
        self._simulation.start(self.permits.run())
        self._simulation.start(self._send_reports())
        if self._simulation.pattern.cold is not None:
            self._simulation.start(self._follow_entries(self._simulation.pattern.cold))

    async def _follow_entries(self, cold: ColdTime) -> None:
        """Read the cold servers' entries, unless the gateway is cut off, until warm."""
        await self.clock.sleep(max(0, cold.from_ms - self.clock.now_ms()))
        await self.clock.sleep(self._simulation.generator.uniform(0, MAX_ENTRY_MS))
        number = 1
        while not self.has_ended and self.clock.now_ms() < cold.until_ms:
            number += 1
            if not self._simulation.is_cut_off(self.number):
                self._apply_entries(cold, number)
            self.fleet.cold_servers.remove_ended(self.clock.now_ms())
            self.fleet.update_cold_limits("time")
            await self.clock.sleep(ENTRY_INTERVAL_MS)
        self.fleet.update_cold_limits("time")

    def _apply_entries(self, cold: ColdTime, number: int) -> None:
        for server_number in range(cold.servers):
            before = self.fleet.registry.find(servers.ServerId(f"i-{server_number}"))
            assert before is not None
            entry = self.fleet.registry.update(
                dataclasses.replace(
                    before,
                    report_number=number,
                    cold_remaining_ms=round(cold.until_ms - self.clock.now_ms()),
                )
            )
            self.fleet.record_cold_entry(entry, before)

    async def _send_reports(self) -> None:
        await self.clock.sleep(
            self._simulation.generator.uniform(0, peers.REPORT_INTERVAL_MS)
        )
        while not self.has_ended:
            self._send_report()
            await self.clock.sleep(peers.report_interval_ms(len(self.peers.live_ips())))

    def _send_report(self) -> None:
        report = self.permits.complete_report(
            peer_messages.Report(
                self._settings.vm, False, (), self.fleet.loads.own_load_by_server()
            )
        )
        for other in range(self._simulation.pattern.gateways):
            if other != self.number:
                self._simulation.send(self.number, other, report)

    def _send_permits(
        self, member: ids.VmName, message: send_permits.PermitMessage
    ) -> None:
        self._simulation.messages += 1
        receiver = int(member.rpartition("-")[2])
        self._simulation.send(self.number, receiver, message)

    async def receive(self, sender: int, message: Message) -> None:
        """Handle a peer's message, once the gateway is not frozen."""
        await self.clock.wait_thawed()
        if self.has_ended:
            return
        if isinstance(message, send_permits.PermitMessage):
            self.permits.handle(message)
            return
        report = message
        self.peers.record_report(f"10.0.0.{sender}", report)
        self.permits.apply_report(report)
        self.fleet.loads.apply_peer_report(
            report.vm, report.load_by_server, self.clock.now_ms()
        )

    async def serve(self, request_id: ids.RequestId) -> bool:
        """Serve a caller's request; return False if it was rejected."""
        now_ms = self.clock.now_ms()
        queued = builders.make_queued_request(
            request_id,
            arrived_ms=now_ms,
            deadline_ms=now_ms + DEADLINE_MS,
            target_ms=TARGET_MS,
        )
        service = deployment.Service(SERVICE, 1_000)
        request = placements.PlacementRequest(queued, service, None, None)
        placement = await self.dispatcher.place(request)
        await self.clock.wait_thawed()
        if isinstance(placement, placements.Rejection):
            return False
        may_send = self.fleet.send_permits.may_send(
            placement.server.incarnation, placement.permit, self.clock.now_ms()
        )
        if may_send and not self.has_ended:
            await self._send(placement)
        self.fleet.loads.record_end(placement.server.server_id, request_id)
        self.dispatcher.start_queued(SERVICE)
        return True

    async def _send(self, placement: placements.Placement) -> None:
        server_id = placement.server.server_id
        server = self._simulation.server_by_id[server_id]
        sent_ms = self.clock.now_ms()
        travel = virtual_time.LoopClock()
        await travel.sleep(self._simulation.draw_delay_ms())
        server.arrivals.append(
            rate_limit_checker.Arrival(float(travel.now_ms()), self.name)
        )
        await travel.sleep(server.draw_answer_ms())
        limit = server.limit_at(travel.now_ms())
        await travel.sleep(self._simulation.draw_delay_ms())
        await self.clock.wait_thawed()
        if self.has_ended:
            return
        server.answers.append(
            rate_limit_checker.Answer(float(travel.now_ms()), self.name, limit)
        )
        self.fleet.record_rate_limit(placement.server.incarnation, limit, sent_ms)


class Simulation:
    """One run of a pattern, on an event loop in virtual time."""

    def __init__(self, pattern: Pattern) -> None:
        self.pattern = pattern
        self.generator = random.Random(pattern.seed)
        self.server_by_id = {
            servers.ServerId(f"i-{number}"): SimulatedServer(changes, self.generator)
            for number, changes in enumerate(pattern.limits_by_server)
        }
        self.messages = 0
        self._gateway_by_number: dict[int, SimulatedGateway] = {}
        self._tasks: set[asyncio.Task[object]] = set()
        self._rejected = 0
        self._errors: list[BaseException] = []

    async def run(self) -> Result:
        """Run the pattern; raise the first error of a task."""
        for number in range(self.pattern.gateways):
            self._start_gateway(number)
        for restart in self.pattern.restarts:
            self.start(self._restart(restart))
        for freeze in self.pattern.freezes:
            self.start(self._freeze(freeze))
        clock = virtual_time.LoopClock()
        busy = self.pattern.busy_gateways or self.pattern.gateways
        count = 0
        while clock.now_ms() < self.pattern.duration_ms:
            interval_s = self.generator.expovariate(self.pattern.per_second)
            await clock.sleep(interval_s * clocks.MS_PER_SECOND)
            gateway = self._gateway_by_number[self.generator.randrange(busy)]
            if not gateway.has_ended:
                count += 1
                self.start(self._serve(gateway, ids.RequestId(f"r-{count}")))
        if self._errors:
            raise self._errors[0]
        return Result(
            tuple(
                ServerResult(each.changes, tuple(each.arrivals), tuple(each.answers))
                for each in self.server_by_id.values()
            ),
            self.messages,
            count,
            self._rejected,
            tuple(self._believing(server_id) for server_id in self.server_by_id),
        )

    def _believing(self, server_id: servers.ServerId) -> frozenset[str]:
        """Return the running gateways that assume a limit of a server."""
        return frozenset(
            gateway.name
            for gateway in self._gateway_by_number.values()
            for incarnation in gateway.fleet.rate_limits.limited()
            if incarnation.server_id == server_id and not gateway.has_ended
        )

    def start(self, work: object) -> None:
        """Start a task and keep a reference to it."""
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._errors.append(error)

    def draw_delay_ms(self) -> float:
        """Return the travel time of one message or request."""
        return self.generator.uniform(MIN_DELAY_MS, MAX_DELAY_MS)

    def send(self, sender: int, receiver: int, message: Message) -> None:
        """Deliver a message after its travel time, unless it is lost."""
        now_ms = virtual_time.LoopClock().now_ms()
        is_cut = any(
            sender in cut.senders
            and receiver in cut.receivers
            and cut.from_ms <= now_ms < cut.until_ms
            for cut in self.pattern.cuts
        )
        if is_cut or self.generator.random() < self.pattern.loss:
            return
        asyncio.get_running_loop().call_later(
            self.draw_delay_ms() / clocks.MS_PER_SECOND,
            self._deliver,
            sender,
            receiver,
            message,
        )

    def _deliver(self, sender: int, receiver: int, message: Message) -> None:
        gateway = self._gateway_by_number[receiver]
        if not gateway.has_ended:
            self.start(gateway.receive(sender, message))

    def _start_gateway(self, number: int) -> None:
        gateway = SimulatedGateway(number, self)
        self._gateway_by_number[number] = gateway
        gateway.start()

    async def _serve(
        self, gateway: SimulatedGateway, request_id: ids.RequestId
    ) -> None:
        await gateway.clock.wait_thawed()
        if not await gateway.serve(request_id):
            self._rejected += 1

    def is_cut_off(self, number: int) -> bool:
        """Return whether all messages of a gateway are lost now."""
        now_ms = virtual_time.LoopClock().now_ms()
        return any(
            number in cut.senders
            and len(cut.receivers) == self.pattern.gateways - 1
            and cut.from_ms <= now_ms < cut.until_ms
            for cut in self.pattern.cuts
        )

    async def _restart(self, restart: Restart) -> None:
        clock = virtual_time.LoopClock()
        await clock.sleep(restart.ends_ms)
        self._gateway_by_number[restart.gateway].has_ended = True
        if restart.starts_ms < self.pattern.duration_ms:
            await clock.sleep(restart.starts_ms - restart.ends_ms)
            self._start_gateway(restart.gateway)

    async def _freeze(self, freeze: Freeze) -> None:
        await virtual_time.LoopClock().sleep(freeze.from_ms)
        gateway = self._gateway_by_number[freeze.gateway]
        gateway.clock.frozen_until_ms = freeze.until_ms


def _configuration(cold: ColdTime) -> deployment.Deployment:
    document = builders.make_configuration_document()
    for service in document["services"]:
        service["coldPerS"] = cold.per_second
    return documents.configuration(json.dumps(document))


def simulate(pattern: Pattern) -> Result:
    """Run a pattern without log lines."""
    with gateway_simulation.without_logs():
        return virtual_time.run(Simulation(pattern).run())
