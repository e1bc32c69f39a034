"""An entry's state of the linked agents: their loads and open attempts."""

import dataclasses
import itertools
from collections.abc import Callable
from typing import Any, Final

from quincecrank import attempt as attempts
from quincecrank import (
    breaker,
    configuration,
    configuration_sync,
    current_configuration,
    ids,
    logs,
    peer_link,
    problems,
    routing_estimates,
    rpc,
    stream_messages,
    tasks,
    wire,
)
from quincecrank import clock as clocks

RETRY_AFTER_LEAVING_MS: Final = 100

_LOG: Final = logs.logger("agent-links")


@dataclasses.dataclass
class AgentState:
    """One linked agent and the backend server beside it.

    Attributes
    ----------
    suspects : int
        Requests that run there and were in flight at an earlier crash.
    heartbeat_ms : int
        Time of the last heartbeat on the monotonic clock, 0 before the first one.
    goodbye_received : bool
        Whether the agent accepts no more streams and waits for the link to be closed.
    """

    link: peer_link.PeerLink
    estimates: routing_estimates.ReplicaEstimates
    breaker: breaker.Breaker
    attempts_by_stream: dict[int, attempts.Attempt] = dataclasses.field(
        default_factory=dict
    )
    accepting: bool = False
    healthy: bool = False
    weight_version: ids.WeightVersion = ids.WeightVersion("")
    adapters: tuple[ids.AdapterName, ...] = ()
    configuration_version: int = 0
    running: int = 0
    waiting: int = 0
    max_concurrent: int = 1
    prefill_tokens_per_second: float = 0.0
    suspects: int = 0
    heartbeat_ms: int = 0
    goodbye_received: bool = False

    @property
    def peer(self) -> wire.PeerIdentity:
        """Identity of the agent."""
        return self.link.peer


class AgentLinks:
    """The agents linked to an entry; implements `peer_link.LinkHandler`.

    Parameters
    ----------
    configuration_changed : callable
        Called after each fetch of configuration rows from an agent, even if it failed
        or changed nothing.

    Attributes
    ----------
    states_by_vm : dict
        State of each linked agent.
    """

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        configuration_changed: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._current = current
        self._configuration_sync = configuration_sync.ConfigurationSync(current, clock)
        self._configuration_changed = configuration_changed
        self._clock = clock
        self._tasks = tasks.BackgroundTasks()
        self._stream_numbers = itertools.count(1)
        self._breakers_by_server: dict[ids.BackendServerName, breaker.Breaker] = {}
        self._states_by_deployment: dict[
            ids.DeploymentName, tuple[AgentState, ...]
        ] = {}
        self.states_by_vm: dict[ids.VmName, AgentState] = {}

    def add_link(self, link: peer_link.PeerLink) -> None:
        """Add the agent of a new link.

        The circuit breaker of its backend server outlives the links.
        """
        server = link.peer.backend_server
        server_breaker = self._breakers_by_server.setdefault(server, breaker.Breaker())
        estimates = routing_estimates.ReplicaEstimates(server)
        self.states_by_vm[link.peer.name] = AgentState(link, estimates, server_breaker)
        self._states_by_deployment.clear()
        _LOG.info("agent linked", peer=link.peer.name, backend_server=server)

    def remove_link(self, link: peer_link.PeerLink) -> None:
        """Remove the agent of an ended link and break its open attempts."""
        state = self.states_by_vm.get(link.peer.name)
        if state is None or state.link is not link:
            return
        del self.states_by_vm[link.peer.name]
        self._states_by_deployment.clear()
        for attempt in tuple(state.attempts_by_stream.values()):
            attempt.end_broken("the link to the agent ended")

    @property
    def configuration_settled(self) -> bool:
        """Whether this entry may serve requests with its current configuration."""
        return self._configuration_sync.may_serve

    def states_of(self, deployment: ids.DeploymentName) -> tuple[AgentState, ...]:
        """Return the linked agents of a deployment."""
        states = self._states_by_deployment.get(deployment)
        if states is None:
            states = tuple(
                state
                for state in self.states_by_vm.values()
                if state.peer.deployment == deployment
            )
            self._states_by_deployment[deployment] = states
        return states

    def next_stream(self) -> int:
        """Return a stream number that this process has not used before."""
        return next(self._stream_numbers)

    def open(
        self,
        state: AgentState,
        order: stream_messages.StreamOrder,
        sink: attempts.AnswerSink,
    ) -> attempts.Attempt:
        """Open a stream on an agent.

        On an ended link the attempt is refused as not run.
        """
        attempt = attempts.Attempt(state.link, order, sink)
        had_ended = state.link.closed
        if had_ended:
            attempt.end_refused(_not_sent_problem())
            return attempt
        state.attempts_by_stream[order.stream] = attempt
        state.link.send(stream_messages.encode_order(order))
        if state.link.closed:
            attempt.end_broken("the link to the agent ended")
        return attempt

    def close(self, state: AgentState, attempt: attempts.Attempt) -> None:
        """Remove a stream; cancel it at the agent when it has not ended."""
        state.attempts_by_stream.pop(attempt.order.stream, None)
        if not attempt.ended:
            state.link.send(stream_messages.encode_cancel(attempt.order.stream))
        self._close_if_drained(state)

    def _close_if_drained(self, state: AgentState) -> None:
        """Close the link of an agent that said goodbye once all streams have ended."""
        if not state.goodbye_received:
            return
        is_open = any(not a.ended for a in state.attempts_by_stream.values())
        if not is_open:
            state.link.close()

    def make_heartbeat(self) -> Any:
        """Return a heartbeat packet."""
        packet = wire.new_packet()
        heartbeat = packet.init("heartbeat")
        heartbeat.sentMs = self._clock.now_ms()
        heartbeat.configurationVersion = self._current.version
        return packet

    def heartbeat_received(self, link: peer_link.PeerLink, heartbeat: Any) -> None:
        """Record an agent's load; fetch the configuration if it has a newer one."""
        state = self.states_by_vm.get(link.peer.name)
        if state is None or state.link is not link:
            return
        state.heartbeat_ms = self._clock.now_ms()
        load = heartbeat.load
        state.accepting = load.accepting and not state.goodbye_received
        state.healthy = load.healthy
        state.weight_version = ids.WeightVersion(load.weightVersion)
        state.adapters = tuple(ids.AdapterName(name) for name in load.adapters)
        state.running = load.running
        state.waiting = load.waiting
        state.max_concurrent = load.maxConcurrent
        state.prefill_tokens_per_second = load.prefillTokensPerSecond
        state.configuration_version = heartbeat.configurationVersion
        report = routing_estimates.LoadReport(
            running=load.running,
            waiting=load.waiting,
            queued_tokens=load.queuedTokens,
            max_concurrent=load.maxConcurrent,
            prefill_tokens_per_second=load.prefillTokensPerSecond or 1.0,
            cache_blocks=load.cacheBlocks,
        )
        state.estimates.record_report(report, self._clock.now_ms())
        version = ids.ConfigurationVersion(heartbeat.configurationVersion)
        self._configuration_sync.record_peer_version(version)
        if version > self._current.version:
            self._tasks.start(self._fetch(link, version))

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Handle a goodbye, or pass each frame to its attempt.

        Frames of closed streams are dropped.  Raises `wire.WireError` for packets of
        other kinds.
        """
        state = self.states_by_vm.get(link.peer.name)
        if state is None or state.link is not link:
            return
        if packet.which() == "goodbye":
            state.goodbye_received = True
            state.accepting = False
            self._close_if_drained(state)
            return
        if packet.which() != "frames":
            raise wire.WireError(f"an entry does not accept {packet.which()} packets")
        attempts_by_stream = state.attempts_by_stream
        for frame in packet.frames.frames:
            attempt = attempts_by_stream.get(frame.stream)
            if attempt is not None:
                attempt.handle_frame(frame)
        self._close_if_drained(state)

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Return the reply to an agent's call.

        Raises
        ------
        rpc.CallError
            If the method is not one that entries answer.
        """
        if method is rpc.Method.CONFIGURATION_ROWS:
            return self._configuration_sync.answer_rows_request(body)
        raise rpc.CallError(f"an entry takes no {method.value} calls")

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every agent now."""
        for state in self.states_by_vm.values():
            state.link.send_heartbeat()

    async def _fetch(
        self, link: peer_link.PeerLink, version: ids.ConfigurationVersion
    ) -> None:
        await self._configuration_sync.fetch_from(link, version)
        self._configuration_changed()


def _not_sent_problem() -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.LEAVING,
        "the link to the agent ended before the request was sent",
        retry_after_ms=RETRY_AFTER_LEAVING_MS,
    )
