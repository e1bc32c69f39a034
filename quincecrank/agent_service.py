"""Handles the packets and calls that an agent receives from its peers."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

from quincecrank import backend as backends
from quincecrank import (
    chain_view,
    configuration,
    configuration_sync,
    current_configuration,
    directory_service,
    ids,
    logs,
    peer_link,
    rpc,
    run_queue,
    runner,
    stream_messages,
    tasks,
    wire,
)
from quincecrank import clock as clocks

Prefetch = Callable[[tuple[chain_view.StoredBlock, ...]], Coroutine[Any, Any, None]]
"""Imports blocks into the engine."""

_LOG: Final = logs.logger("agent-service")


class AgentService:
    """Implementation of `peer_link.LinkHandler` for an agent.

    Parameters
    ----------
    deployment : DeploymentName
        Deployment of the backend server beside this agent.
    vm : VmName
        VM of this agent; new work is refused while an operator drains it.
    prefetch : callable
        Imports blocks that are expected to be needed soon.
    """

    def __init__(
        self,
        vm: ids.VmName,
        deployment: ids.DeploymentName,
        current: current_configuration.CurrentConfiguration,
        backend: backends.Backend,
        queue: run_queue.RunQueue,
        stream_runner: runner.StreamRunner,
        directory: directory_service.DirectoryService,
        prefetch: Prefetch,
        clock: clocks.Clock,
    ) -> None:
        self._vm = vm
        self._prefetch = prefetch
        self._deployment = deployment
        self._current = current
        self._configuration_sync = configuration_sync.ConfigurationSync(current, clock)
        self._backend = backend
        self._queue = queue
        self._runner = stream_runner
        self._directory = directory
        self._clock = clock
        self._tasks = tasks.BackgroundTasks()
        self._platform_leaving = False
        self._superseded = False
        self._stopping = False

    def make_heartbeat(self) -> Any:
        """Return a heartbeat with the backend server's load."""
        packet = wire.new_packet()
        heartbeat = packet.init("heartbeat")
        heartbeat.sentMs = self._clock.now_ms()
        heartbeat.configurationVersion = self._current.version
        state = self._backend.load()
        load = heartbeat.init("load")
        load.accepting = self._runner.accepting and self._configuration_sync.may_serve
        load.healthy = state.healthy
        load.running = self._queue.running
        load.waiting = self._queue.waiting
        load.queuedTokens = state.queued_tokens
        load.weightVersion = state.weight_version
        load.adapters = list(state.adapters)
        load.maxConcurrent = self._queue.limit
        load.cacheBlocks = state.cache_blocks
        load.prefillTokensPerSecond = state.prefill_tokens_per_second
        return packet

    def heartbeat_received(self, link: peer_link.PeerLink, heartbeat: Any) -> None:
        """Fetch the configuration when the peer has a newer one."""
        version = ids.ConfigurationVersion(heartbeat.configurationVersion)
        self._configuration_sync.record_peer_version(version)
        if version > self._current.version:
            self._tasks.start(self._fetch(link, version))

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Open or cancel a stream of an entry, or close its link after a goodbye.

        Raises `wire.WireError` for packets of other kinds and other roles.
        """
        if link.peer.role is not wire.PeerRole.ENTRY:
            raise wire.WireError(
                f"a peer of role {link.peer.role.value} has no streams"
            )
        match packet.which():
            case "open":
                order = stream_messages.decode_order(packet.open)
                self._runner.open(link, order)
            case "cancel":
                self._runner.cancel(link, packet.cancel.stream)
            case "goodbye":
                link.close()
            case other:
                raise wire.WireError(f"an agent does not accept {other} packets")

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Return the reply to a peer's call.

        Raises `ValueError` for a method that agents do not answer.
        """
        match method:
            case rpc.Method.CONFIGURATION_ROWS:
                return self._configuration_sync.answer_rows_request(body)
            case rpc.Method.RUNNING:
                return rpc.RunningReply(rows=self._runner.running_rows())
            case rpc.Method.PREFETCH:
                request = rpc.PrefetchRequest.model_validate_json(body)
                self._tasks.start(self._prefetch(request.copies))
                return rpc.Empty()
        return self._directory.answer(method, body)

    def set_platform_leaving(self, leaving: bool) -> None:
        """Record whether the platform's VM list shows this VM as leaving."""
        self._platform_leaving = leaving
        self.refresh()

    def mark_superseded(self) -> None:
        """Refuse new work, since a newer agent serves the backend server."""
        self._superseded = True
        self.refresh()

    def refresh(self) -> None:
        """Apply the current configuration; refuse new work if there is a reason to."""
        in_force = self._current.in_force
        deployment = in_force.deployments_by_name.get(self._deployment)
        if deployment is not None:
            self._queue.set_limit(deployment.max_concurrent)
            self._backend.set_target(deployment.weight_version, deployment.adapters)
        reason = ""
        if self._stopping:
            reason = "the agent is shutting down"
        elif self._vm in in_force.drains_by_vm:
            reason = "an operator drains the VM"
        elif self._superseded:
            reason = "a newer agent serves the backend server"
        elif self._platform_leaving:
            reason = "the platform takes the VM away"
        if reason != self._runner.leaving_reason:
            _LOG.info(
                "leaving state changed", decision="leaving", reason=reason or "none"
            )
        self._runner.leaving_reason = reason

    async def stop(self) -> None:
        """Refuse new work and wait for the running requests."""
        self._stopping = True
        self.refresh()
        await self._runner.wait_until_drained()

    async def _fetch(
        self, link: peer_link.PeerLink, version: ids.ConfigurationVersion
    ) -> None:
        await self._configuration_sync.fetch_from(link, version)
        self.refresh()
