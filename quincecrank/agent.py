"""`quince-agent`: the process beside each backend server.

All requests to a backend server pass through its agent.  The process registers for a
fencing number, receives the configuration from entries and other agents, follows the
state of the backend server and the VM list, serves the links of entries and other
agents, and at shutdown lets the running requests finish.
"""

import asyncio
import dataclasses
from typing import Final

import fire
from tornado import iostream

from quincecrank import (
    agent_service,
    attempt_claims,
    backend,
    block_mover,
    cache_monitor,
    chain_view,
    configuration,
    current_configuration,
    directory_client,
    directory_service,
    engine_client,
    ids,
    link_budget,
    link_server,
    load_slots,
    logs,
    membership,
    metrics,
    model_backend,
    peer_link,
    peer_pool,
    platform_table,
    prefetcher,
    process,
    registration,
    run_queue,
    runner,
    service_backend,
    settings,
    status_server,
    store_monitor,
    table_breaker,
    tasks,
    version_rollout,
    vm_list,
    wire,
)
from quincecrank import clock as clocks
from quincecrank.budgets import bound_log, budget_metrics, process_budgets

HANDSHAKE_TIMEOUT_MS: Final = 2_000
REGISTER_INTERVAL_MS: Final = 1_000
STORE_TIMEOUT_MS: Final = 20_000
"""Timeout of a request to a store VM."""

CALL_TIMEOUT_MS: Final = 120_000
"""Timeout of a call to a plain service."""

REFRESH_INTERVAL_MS: Final = 100
CHECK_REGISTRATION_INTERVAL_MS: Final = 30_000
"""Time between two checks that no newer agent serves the backend server."""

_LOG: Final = logs.logger("agent")


@dataclasses.dataclass(frozen=True)
class _HeartbeatState:
    """State whose changes are sent to entries at once, not with the next heartbeat."""

    accepting: bool
    healthy: bool
    weight_version: ids.WeightVersion
    adapters: tuple[ids.AdapterName, ...]
    configuration_version: int


class Agent:
    """The agent process: wires its parts and runs the periodic work.

    Implements `process.Program`.
    """

    def __init__(self, agent_settings: settings.AgentSettings) -> None:
        self._settings = agent_settings
        self._clock = clocks.SystemClock()
        self._incarnation = ids.Incarnation(ids.random_id("i-"))
        self._registration: registration.Registration | None = None
        self._secret = settings.read_secret(agent_settings.peer.fleet_secret_file)
        self._background = tasks.BackgroundTasks()
        self._metrics = metrics.AgentMetrics(agent_settings.backend_server.deployment)
        self._budgets = process_budgets.ProcessBudgets(
            agent_settings.limits.memory_mb, agent_settings.limits.max_descriptors
        )
        self._configuration = current_configuration.CurrentConfiguration(self._clock)
        self._metrics.registry.register(budget_metrics.BudgetCollector(self._budgets))
        platform = agent_settings.platform
        self._table = table_breaker.BreakerTable(
            platform_table.HttpTable(platform.table_url, platform.timeout_ms),
            self._clock,
        )
        self._attempts = attempt_claims.AttemptClaims(
            self._table,
            self._clock,
            agent_settings.backend_server.name,
            self._incarnation,
        )
        self._membership = membership.Membership(
            vm_list.HttpVmList(platform.vm_list_url, platform.timeout_ms, self._clock),
            agent_settings.backend_server.deployment,
            STORE_TIMEOUT_MS,
            self._clock,
        )
        self._directory_service = directory_service.DirectoryService(
            self._metrics, self._clock
        )
        self._links: set[peer_link.PeerLink] = set()
        self._refusals_log = bound_log.BoundLog(_LOG, self._clock)
        # `max_concurrent` of the configuration replaces the limit once it is known.
        self._queue = run_queue.RunQueue(limit=1, max_waiting=agent_settings.max_queue)
        self._cache_monitor: cache_monitor.CacheMonitor | None = None
        self._mover: block_mover.BlockMover | None = None
        # The backend uses the announcer that the directory parts include.
        self._build_directory_parts()
        self._backend = self._build_backend()
        self._runner = runner.StreamRunner(self._backend, self._queue, self._clock)
        self._agent_service = agent_service.AgentService(
            agent_settings.vm_name,
            agent_settings.backend_server.deployment,
            self._configuration,
            self._backend,
            self._queue,
            self._runner,
            self._directory_service,
            self._prefetch,
            self._clock,
        )
        self._pool.handler = self._agent_service
        self._sent_state: _HeartbeatState | None = None
        self._server = link_server.LinkServer(
            self._accept_peer,
            self._serve_link,
            link_server.max_unproven(self._budgets),
            self._clock,
        )
        self._budgets.listeners.append(self._server)

    def _build_directory_parts(self) -> None:
        agent_settings = self._settings
        self._limits = peer_link.HeartbeatLimits(
            agent_settings.heartbeat.interval_ms, agent_settings.heartbeat.silence_ms
        )
        self._pool = peer_pool.PeerPool(
            self._identity,
            self._secret,
            self._limits,
            self._clock,
            linked=lambda link: None,
            unlinked=lambda link: None,
        )
        self._announcer = directory_client.Announcer(
            agent_settings.vm_name,
            self._directory_agents,
            self._pool.links_by_name,
            self._directory_service.apply_announcements,
            self._clock,
        )
        self._store_monitor = store_monitor.StoreMonitor(
            agent_settings.vm_name,
            agent_settings.backend_server.deployment,
            lambda: self._configuration.in_force,
            self._membership,
            self._directory_agents,
            self._announcer,
            self._directory_service,
            self._clock,
        )
        self._directory_service.placement_inputs = self._store_monitor.placement_inputs
        self._prefetcher = prefetcher.Prefetcher(
            agent_settings.vm_name,
            agent_settings.backend_server.deployment,
            self._directory_service.advisor,
            self._membership,
            self._directory_agents,
            self._pool.links_by_name,
            self._clock,
        )
        self._previous_directory_agents: tuple[ids.VmName, ...] = ()

    def _build_backend(self) -> backend.Backend:
        server = self._settings.backend_server
        if server.kind is configuration.DeploymentKind.SERVICE:
            return service_backend.ServiceBackend(
                server.url, CALL_TIMEOUT_MS, self._attempts, self._table, self._clock
            )
        engine = engine_client.HttpEngineClient(server.url)
        self._cache_monitor = cache_monitor.CacheMonitor(
            engine, server.name, self._announcer, self._clock
        )
        self._mover = block_mover.BlockMover(
            engine,
            self._membership,
            self._secret,
            lambda: self._configuration.in_force.tiers_by_name,
            self._block_stored,
            self._metrics,
            self._clock,
        )
        slots = load_slots.LoadSlots(
            self._table, server.deployment, server.name, self._clock
        )
        rollout = version_rollout.VersionRollout(
            engine, slots, self._fencing_number, self._clock
        )
        return model_backend.ModelBackend(
            engine, self._mover, self._cache_monitor, rollout, self._clock
        )

    async def start(self) -> None:
        """Open the listeners and start all background tasks."""
        bound = process.bind(self._settings.listen, reuse_port=False)
        self._port = bound.getsockname()[1]
        status = process.bind(self._settings.metrics, reuse_port=False)
        status_server.start(
            status,
            self._metrics.registry,
            self._is_ready,
            self._budgets,
            self._clock,
        )
        await self._membership.refresh()
        self._background.start(self._register())
        self._background.start(self._attempts.run())
        self._background.start(self._backend.watch())
        for action, interval_ms in (
            (self._refresh_members, membership.POLL_INTERVAL_MS),
            (self._publish_state, REFRESH_INTERVAL_MS),
            (self._announcer.flush, directory_client.FLUSH_INTERVAL_MS),
            (self._store_monitor.check, store_monitor.CHECK_CALL_INTERVAL_MS),
            (self._prefetcher.check, prefetcher.CHECK_INTERVAL_MS),
            (self._check_registration, CHECK_REGISTRATION_INTERVAL_MS),
        ):
            work = peer_link.run_periodically(action, interval_ms, self._clock)
            self._background.start(work)
        self._server.add_socket(bound)
        process.announce_port(status, "metrics")
        process.announce_port(bound)

    async def stop(self) -> None:
        """Refuse new work, wait for the running requests, then close all links."""
        _LOG.info("shutting down")
        await self._agent_service.stop()
        await self._attempts.flush()
        await asyncio.sleep(0)
        await asyncio.gather(*(link.close_gracefully() for link in self._links))
        self._server.stop()
        self._pool.close()
        self._background.cancel()

    async def _accept_peer(self, stream: iostream.IOStream) -> wire.Connection | None:
        """Perform the handshake; return None if the peer is refused."""
        try:
            connection = await wire.handshake_within(
                stream,
                self._identity(),
                self._secret,
                dialled=False,
                timeout_ms=HANDSHAKE_TIMEOUT_MS,
            )
        except (wire.WireError, iostream.StreamClosedError) as error:
            self._refusals_log.write("peer refused", reason=str(error))
            return None
        refusal = self._pool.check_fence(connection.peer)
        if refusal:
            _LOG.warning("peer refused", peer=connection.peer.name, reason=refusal)
            connection.close()
            return None
        return connection

    async def _serve_link(self, connection: wire.Connection) -> None:
        """Serve the link of a peer until it ends."""
        link = peer_link.PeerLink(
            connection, self._agent_service, self._limits, self._clock
        )
        self._links.add(link)
        try:
            reason = await link.run()
            _LOG.info("link ended", peer=link.peer.name, reason=reason)
        finally:
            self._links.discard(link)
            self._runner.cancel_streams_of(link)

    def _identity(self) -> wire.PeerIdentity:
        server = self._settings.backend_server
        return wire.PeerIdentity(
            role=wire.PeerRole.AGENT,
            name=self._settings.vm_name,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            fencing_number=self._fencing_number(),
            backend_server=server.name,
            deployment=server.deployment,
        )

    def _fencing_number(self) -> ids.FencingNumber:
        """Return the fencing number of this process, 0 before it is registered."""
        if self._registration is None:
            return ids.FencingNumber(0)
        return self._registration.fencing_number

    async def _register(self) -> None:
        """Register until it succeeds, then close the links.

        Peers dial again and learn the fencing number from the new handshake.
        """
        identity = registration.AgentIdentity(
            backend_server=self._settings.backend_server.name,
            incarnation=self._incarnation,
            address=self._settings.listen.address,
            port=self._port,
        )
        while True:
            try:
                self._registration = await registration.register(self._table, identity)
                break
            except (
                platform_table.TableUnavailableError,
                platform_table.OutcomeUnknownError,
            ) as error:
                _LOG.warning("not registered yet", reason=str(error))
                await self._clock.sleep(REGISTER_INTERVAL_MS)
        _LOG.info("registered", fencing_number=self._fencing_number())
        for link in tuple(self._links):
            link.close()

    async def _refresh_members(self) -> None:
        await self._membership.refresh()
        own = self._membership.vms_by_name.get(self._settings.vm_name)
        leaving = own is not None and own.state is vm_list.VmState.LEAVING
        self._agent_service.set_platform_leaving(leaving)
        agents = self._directory_agents()
        self._pool.set_peers(
            self._membership.vms_by_name[name]
            for name in agents
            if name != self._settings.vm_name
        )
        if agents != self._previous_directory_agents:
            self._previous_directory_agents = agents
            self._store_monitor.schedule_full_announcement()
            if self._cache_monitor is not None:
                self._cache_monitor.schedule_full_announcement()

    async def _publish_state(self) -> None:
        self._agent_service.refresh()
        self._send_changes()
        state = self._backend.load()
        self._store_monitor.prefill_tokens_per_second = state.prefill_tokens_per_second
        if self._mover is not None:
            self._store_monitor.block_bytes = (
                self._mover.block_bytes or block_mover.ASSUMED_BLOCK_BYTES
            )
        self._metrics.running.set(self._queue.running)
        self._metrics.waiting.set(self._queue.waiting)

    def _send_changes(self) -> None:
        """Send a heartbeat at once when state that affects new requests has changed."""
        state = self._backend.load()
        state_to_send = _HeartbeatState(
            self._runner.accepting,
            state.healthy,
            state.weight_version,
            state.adapters,
            self._configuration.version,
        )
        if state_to_send != self._sent_state:
            self._sent_state = state_to_send
            for link in self._links:
                link.send_heartbeat()

    def _directory_agents(self) -> tuple[ids.VmName, ...]:
        name = self._settings.backend_server.deployment
        return self._membership.directory_agents(name)

    def _block_stored(self, copy: chain_view.StoredBlock) -> None:
        self._announcer.announce([self._store_monitor.announcement(copy)])

    async def _prefetch(self, copies: tuple[chain_view.StoredBlock, ...]) -> None:
        if self._mover is not None:
            version = self._backend.load().weight_version
            kind = link_budget.TransferKind.PREFETCH
            await self._mover.restore(copies, version, kind)

    async def _check_registration(self) -> None:
        """Refuse new work once a newer agent has registered; rewrite a reverted row."""
        if self._registration is None:
            return
        state = await registration.check_registration(self._table, self._registration)
        if state is registration.RegistrationState.SUPERSEDED:
            self._agent_service.mark_superseded()
        elif state is registration.RegistrationState.REVERTED:
            await self._rewrite_registration(self._registration)

    async def _rewrite_registration(self, own: registration.Registration) -> None:
        _LOG.warning("registration missing or older", fencing_number=own.fencing_number)
        try:
            await registration.rewrite_registration(self._table, own)
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ) as error:
            # The next check tries again.
            _LOG.warning("registration not rewritten", reason=str(error))

    def _is_ready(self) -> bool:
        return self._configuration.version > 0 and self._backend.load().healthy


def run(settings_file: str) -> None:
    """Run an agent.

    Parameters
    ----------
    settings_file : str
        Path of the YAML settings.
    """
    process.run_program(settings.load_agent, settings_file, Agent)


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
