"""`quince-entry`: the process that callers and operators speak to.

From top to bottom this module is the life of the process: learn the configuration
from the table or from agents, follow the VM list, keep links to agents, and serve
callers: authenticate, admit, look up, route, stream the answer.
"""

from collections.abc import Iterable
from typing import Final

import fire

from quincecrank import (
    access,
    admin_api,
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
    link_choice,
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

CONFIGURATION_BUCKET: Final = "configuration"
STORE_TIMEOUT_MS: Final = 5_000
STOP_POLL_MS: Final = 50
TELL_INTERVAL_MS: Final = 50

_LOG: Final = logs.logger("entry")


class Entry:
    """Implementation of `process.Program`."""

    def __init__(self, known: settings.EntrySettings) -> None:
        self._settings = known
        self._clock = clocks.SystemClock()
        self._incarnation = ids.Incarnation(ids.random_id("i-"))
        self._background = tasks.BackgroundTasks()
        self._figures = metrics.EntryMetrics()
        self._current = current_configuration.CurrentConfiguration(self._clock)
        platform = known.platform
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
        self._members = membership.Membership(
            vm_list.HttpVmList(platform.vm_list_url, platform.timeout_ms, self._clock),
            ids.DeploymentName(""),
            STORE_TIMEOUT_MS,
            self._clock,
        )
        self._choice = link_choice.LinkChoice(
            known.vm_name,
            self._members,
            known.limits.links_per_deployment,
            self._clock,
        )
        self._links = agent_links.AgentLinks(
            self._current, self._configuration_changed, self._clock
        )
        limits = peer_link.HeartbeatLimits(
            known.heartbeat.interval_ms, known.heartbeat.silence_ms
        )
        self._pool = peer_pool.PeerPool(
            self._identity,
            settings.read_secret(known.peer.fleet_secret_file),
            limits,
            self._clock,
            linked=self._links.linked,
            unlinked=self._links.unlinked,
        )
        self._pool.owner = self._links
        self._services = http_base.CallerServices(
            self._current,
            self._figures,
            self._clock,
            known.limits.max_body_bytes,
            known.limits.max_open_requests,
            lambda: self._links.configuration_settled,
        )
        self._told_version = ids.ConfigurationVersion(0)
        self._build_pipeline()

    def _build_pipeline(self) -> None:
        known = self._settings
        routes = router.Router(
            self._links,
            self._members,
            self._current,
            policies.make_policy(known.policy),
            self._clock,
        )
        self._gate = admission_gate.AdmissionGate(routes, self._clock)
        lookup = directory_lookup.DirectoryLookup(
            self._links, self._members, self._clock
        )
        budgets = retry_budgets.RetryBudgets(self._clock)
        self._completions = completion_dispatch.CompletionDispatcher(
            self._links,
            routes,
            self._gate,
            lookup,
            budgets,
            settings.read_secret(known.account_secret_file),
            self._reach,
            self._figures,
            self._clock,
        )
        self._calls = plain_dispatch.PlainDispatcher(
            self._links,
            routes,
            self._gate,
            lookup,
            budgets,
            self._table,
            self._figures,
            self._clock,
        )

    async def start(self) -> None:
        """Open the listeners and begin to serve."""
        known = self._settings
        bound = process.bind(known.listen, reuse_port=known.reuse_port)
        admin = process.bind(known.admin, reuse_port=False)
        await self._members.refresh()
        await self._follower.poll()
        self._want_links()
        for action, interval_ms in (
            (self._refresh_members, membership.POLL_INTERVAL_MS),
            (self._follow_table, configuration_follower.POLL_INTERVAL_MS),
            (self._tell_version, TELL_INTERVAL_MS),
            (self._gate.turn, admission_gate.TURN_INTERVAL_MS),
        ):
            work = peer_link.repeat(action, interval_ms, self._clock)
            self._background.start(work)
        self._caller_server = http_server.serve(
            self._caller_rules(), known.listen.tls, known.limits, bound
        )
        self._admin_server = http_server.serve(
            self._admin_rules(), known.admin.tls, known.limits, admin
        )
        process.announce_port(admin, "admin")
        process.announce_port(bound)

    async def stop(self) -> None:
        """Take no new requests, let the open ones finish, close everything."""
        _LOG.info("shutting down", open_requests=len(self._services.tasks))
        self._services.stopping = True
        self._caller_server.stop()
        while self._services.tasks:
            await self._clock.sleep(STOP_POLL_MS)
        await self._caller_server.close_all_connections()
        self._admin_server.stop()
        self._pool.close()
        self._background.cancel()

    def _caller_rules(self) -> list[status_server.Rule]:
        common: dict[str, object] = {"services": self._services}
        prompts = {**common, "dispatcher": self._completions}
        calls = {**common, "dispatcher": self._calls}
        return [
            (r"/v1/completions", openai_api.CompletionHandler, prompts),
            (r"/v1/chat/completions", openai_api.ChatHandler, prompts),
            (r"/v1/models", openai_api.ModelsHandler, common),
            (r"/v1/models/([^/]+)", openai_api.ModelsHandler, common),
            (r"/services/([^/]+)/(.*)", services_api.ServiceHandler, calls),
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
        services = commands.Services(self._current, self._store, view, self._clock)
        tokens = access.OperatorTokens(self._settings.admin.operators)
        return [
            *status_server.rules(self._figures.registry, self._is_ready),
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
        self._want_links()

    def _want_links(self) -> None:
        self._pool.want(self._choice.wanted())

    def _reach(self, servers: Iterable[ids.BackendServerName]) -> bool:
        """Want links to the agents of `servers`; tell whether one is being made."""
        if not self._choice.reach(servers):
            return False
        self._want_links()
        linked = self._links.states_by_vm
        return any(self._members.vm_of(server) not in linked for server in servers)

    async def _follow_table(self) -> None:
        await self._follower.poll()
        self._configuration_changed()

    async def _tell_version(self) -> None:
        """Notice a version that an operator's command has just put in force."""
        self._configuration_changed()

    def _configuration_changed(self) -> None:
        """Tell the agents at once of a version that they may not know."""
        if self._current.version == self._told_version:
            return
        self._told_version = self._current.version
        self._figures.configuration_version.set(self._current.version)
        self._links.beat()


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
