"""`quince-entry`: the process that callers and operators send requests to.

An entry reads the configuration from the platform table or from agents, follows the
VM list and maintains links to agents.  Each caller request is authenticated, admitted,
matched with cached blocks in the directory and routed to an agent; the answer is
streamed back.  `Entry` builds these components and owns their life cycle.
"""

from collections.abc import Iterable
from typing import Final

import fire

from quincecrank import (
    access,
    admin_api,
    admin_messages,
    admission_gate,
    agent_links,
    commands,
    completion_dispatch,
    configuration_follower,
    configuration_store,
    current_configuration,
    directory_lookup,
    entry_view,
    http_base,
    http_server,
    ids,
    link_selection,
    logs,
    membership,
    metrics,
    object_client,
    openai_api,
    peer_link,
    peer_pool,
    plain_dispatch,
    platform_table,
    policies,
    process,
    retry_budgets,
    router,
    services_api,
    settings,
    status_server,
    store_era,
    table_breaker,
    tasks,
    vm_list,
    wire,
)
from quincecrank import clock as clocks
from quincecrank.budgets import (
    bounded_server,
    budget_metrics,
    connection_budget,
    process_budgets,
)

CONFIGURATION_BUCKET: Final = "configuration"
STORE_TIMEOUT_MS: Final = 5_000
VERSION_CHECK_INTERVAL_MS: Final = 50

_LOG: Final = logs.logger("entry")


class Entry:
    """Implementation of `process.Program`."""

    def __init__(self, entry_settings: settings.EntrySettings) -> None:
        self._settings = entry_settings
        self._clock = clocks.SystemClock()
        self._incarnation = ids.Incarnation(ids.random_id("i-"))
        self._background = tasks.BackgroundTasks()
        self._metrics = metrics.EntryMetrics()
        self._budgets = process_budgets.ProcessBudgets(
            entry_settings.limits.memory_mb, entry_settings.limits.max_descriptors
        )
        self._current = current_configuration.CurrentConfiguration(self._clock)
        platform = entry_settings.platform
        table_era = store_era.StoreEra()
        self._table = table_breaker.BreakerTable(
            platform_table.HttpTable(
                platform.table_url, platform.timeout_ms, table_era
            ),
            self._clock,
        )
        self._store = configuration_store.ConfigurationStore(
            self._table,
            object_client.HttpObjectStore(
                platform.object_store_url,
                CONFIGURATION_BUCKET,
                platform.timeout_ms,
                self._clock,
            ),
        )
        self._follower = configuration_follower.ConfigurationFollower(
            self._current, self._store, self._clock, table_era
        )
        # An entry reads no store VMs, so the deployment and the timeout are unused.
        self._members = membership.Membership(
            vm_list.HttpVmList(platform.vm_list_url, platform.timeout_ms, self._clock),
            ids.DeploymentName(""),
            STORE_TIMEOUT_MS,
            self._clock,
        )
        self._link_selection = link_selection.LinkSelection(
            entry_settings.vm_name,
            self._members,
            entry_settings.limits.links_per_deployment,
            self._clock,
        )
        self._links = agent_links.AgentLinks(
            self._current, self._configuration_changed, self._clock
        )
        heartbeat_limits = peer_link.HeartbeatLimits(
            entry_settings.heartbeat.interval_ms, entry_settings.heartbeat.silence_ms
        )
        self._pool = peer_pool.PeerPool(
            self._identity,
            settings.read_secret(entry_settings.peer.fleet_secret_file),
            heartbeat_limits,
            self._clock,
            linked=self._links.add_link,
            unlinked=self._links.remove_link,
        )
        self._pool.handler = self._links
        self._metrics.registry.register(budget_metrics.BudgetCollector(self._budgets))
        self._services = http_base.CallerServices(
            self._current,
            self._metrics,
            self._clock,
            entry_settings.limits.max_body_bytes,
            entry_settings.limits.max_open_requests,
            lambda: self._links.configuration_settled,
            self._budgets.bytes,
        )
        self._announced_version = ids.ConfigurationVersion(0)
        self._build_pipeline()

    def _build_pipeline(self) -> None:
        own_settings = self._settings
        request_router = router.Router(
            self._links,
            self._members,
            self._current,
            policies.make_policy(own_settings.policy),
            self._clock,
        )
        self._gate = admission_gate.AdmissionGate(request_router, self._clock)
        lookup = directory_lookup.DirectoryLookup(
            self._links, self._members, self._clock
        )
        budgets = retry_budgets.RetryBudgets(self._clock)
        self._completions = completion_dispatch.CompletionDispatcher(
            self._links,
            request_router,
            self._gate,
            lookup,
            budgets,
            settings.read_secret(own_settings.account_secret_file),
            self._request_links,
            self._metrics,
            self._clock,
        )
        self._calls = plain_dispatch.PlainDispatcher(
            self._links,
            request_router,
            self._gate,
            lookup,
            budgets,
            self._table,
            self._metrics,
            self._clock,
        )

    async def start(self) -> None:
        """Read the VM list and configuration, start periodic work, serve callers."""
        own_settings = self._settings
        bound = process.bind(own_settings.listen, reuse_port=own_settings.reuse_port)
        admin = process.bind(own_settings.admin, reuse_port=False)
        await self._members.refresh()
        await self._follower.poll()
        self._update_links()
        for action, interval_ms in (
            (self._refresh_members, membership.POLL_INTERVAL_MS),
            (self._follow_table, configuration_follower.POLL_INTERVAL_MS),
            (self._check_version, VERSION_CHECK_INTERVAL_MS),
            (self._gate.process_queues, admission_gate.QUEUE_CHECK_INTERVAL_MS),
        ):
            work = peer_link.run_periodically(action, interval_ms, self._clock)
            self._background.start(work)
        descriptors = self._budgets.descriptors
        self._caller_server = http_server.serve(
            self._caller_rules(),
            own_settings.listen.tls,
            own_settings.limits,
            bound,
            bounded_server.ListenerLimits(
                "callers",
                int(descriptors.limit * connection_budget.ENTRY_CALLERS_FRACTION),
                max_held_bytes=0,
                takes_short_requests=False,
            ),
            self._budgets,
            self._clock,
        )
        self._admin_server = http_server.serve(
            self._admin_rules(),
            own_settings.admin.tls,
            own_settings.limits,
            admin,
            bounded_server.ListenerLimits(
                "admin",
                descriptors.side_connections(connection_budget.ADMIN_FRACTION),
                admin_messages.MAX_BODY_BYTES,
            ),
            self._budgets,
            self._clock,
        )
        process.announce_port(admin, "admin")
        process.announce_port(bound)

    async def stop(self) -> None:
        """Refuse new requests, wait for the open ones and close everything."""
        _LOG.info("shutting down", open_requests=len(self._services.tasks))
        self._services.stopping = True
        await self._caller_server.close_gracefully(
            lambda: bool(self._services.tasks), self._clock
        )
        self._admin_server.stop()
        self._pool.close()
        self._background.cancel()

    def _caller_rules(self) -> list[status_server.Rule]:
        common: dict[str, object] = {"services": self._services}
        completion_arguments = {**common, "dispatcher": self._completions}
        call_arguments = {**common, "dispatcher": self._calls}
        return [
            (r"/v1/completions", openai_api.CompletionHandler, completion_arguments),
            (r"/v1/chat/completions", openai_api.ChatHandler, completion_arguments),
            (r"/v1/models", openai_api.ModelsHandler, common),
            (r"/v1/models/([^/]+)", openai_api.ModelsHandler, common),
            (r"/services/([^/]+)/(.*)", services_api.ServiceHandler, call_arguments),
            (r"/healthz", status_server.HealthHandler, {}),
            (r"/readyz", status_server.ReadyHandler, {"is_ready": self._is_ready}),
            (r".*", http_base.UnknownPathHandler, common),
        ]

    def _admin_rules(self) -> list[status_server.Rule]:
        view = entry_view.EntryView(
            self._members,
            self._links,
            self._table,
            self._store,
            self._services.requests_by_id.values,
            self._clock,
        )
        services = commands.CommandServices(
            self._current, self._store, view, self._clock
        )
        tokens = access.OperatorTokens(self._settings.admin.operators)
        return [
            *status_server.rules(self._metrics.registry, self._is_ready),
            *admin_api.rules(services, tokens),
        ]

    def _identity(self) -> wire.PeerIdentity:
        return wire.PeerIdentity(
            role=wire.PeerRole.ENTRY,
            name=self._settings.vm_name,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
        )

    def _is_ready(self) -> bool:
        return self._links.configuration_settled and not self._services.stopping

    async def _refresh_members(self) -> None:
        await self._members.refresh()
        self._update_links()

    def _update_links(self) -> None:
        self._pool.set_peers(self._link_selection.agents_to_link())

    def _request_links(self, servers: Iterable[ids.BackendServerName]) -> bool:
        """Request links to the agents of `servers`.

        Returns
        -------
        bool
            Whether a link was newly requested and an agent of `servers` is not
            linked yet, so that waiting for the link may help.
        """
        if not self._link_selection.request_links(servers):
            return False
        self._update_links()
        linked = self._links.states_by_vm
        return any(self._members.vm_of(server) not in linked for server in servers)

    async def _follow_table(self) -> None:
        await self._follower.poll()
        self._configuration_changed()

    async def _check_version(self) -> None:
        """Detect a version that an operator's command has just put in force."""
        self._configuration_changed()

    def _configuration_changed(self) -> None:
        """If the version changed, send heartbeats at once so that agents learn it."""
        if self._current.version == self._announced_version:
            return
        self._announced_version = self._current.version
        self._metrics.configuration_version.set(self._current.version)
        self._links.send_heartbeats()


def run(settings_file: str) -> None:
    """Run an entry.

    Parameters
    ----------
    settings_file : str
        Path of the YAML settings.
    """
    process.run_program(settings.load_entry, settings_file, Entry)


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
