"""State of the fleet as one gateway knows it."""

import random
from collections.abc import Callable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import (
    allowed_regions,
    answer_times,
    begin_delays,
    cache_part_index,
    cache_transfers,
    cold_servers,
    configuration_currency,
    crash_suspicions,
    decision_log,
    deployment,
    engine_weight_updates,
    environment,
    evacuations,
    even_placement,
    failed_request_records,
    loads,
    placements,
    rate_limits,
    send_permits,
    server_health,
    server_links,
    server_liveness,
    servers,
    service_times,
    shared_demand,
    shutdown_schedule,
    stream_versions,
    weights,
)

MAX_IDLE_LINK_MS: Final = 10_000
"""Time after which an unused link is closed; idle links cost memory at both ends."""

_LOG: Final = decision_log.logger("knowledge")


def _no_lateness() -> int:
    """Return 0: without a loop monitor, lateness is not known."""
    return 0


def _ignore() -> None:
    """Do nothing: the listener of a gateway without peers."""


class FleetState:
    """Aggregate of the state reported by tables, peers and backend servers.

    Attributes
    ----------
    own_settings : Environment
        Settings of this process; replaced when they are reloaded.
    configuration : Deployment or None
        The configuration in force; None before the first one was read.
    currency : ConfigurationCurrency
        Which version is in force, and whether a newer one is known.
    confirmed_age_ms : callable
        Returns the time since the store had no newer configuration; None if it is not
        known.
    receive_waiting : callable
        Handles the reports and changes of peers that have arrived unread.
    lateness_ms : callable
        Returns how late the event loop runs: the longest time for which what has
        arrived may have been unread.
    gateway_count : int
        Number of live gateways, this one included.
    shutdown : ShutdownSchedule or None
        Schedule of the shutdown of this process; None while it does not shut down.
    answer_times : AnswerTimes
        Times of complete answers by route.
    clock_offset_ms_by_holder : dict of HolderName to int
        Clock of an engine or cache store minus the monotonic clock of this process;
        for deadlines that a holder checks by its own clock.
    notify_permit_demand : callable
        Called when an ask for permits is due.
    notify_rate_limit : callable
        Called when an answer to this gateway names a limit of a server that had none.
    """

    def __init__(
        self, own_settings: environment.Environment, clock: clocks.Clock
    ) -> None:
        self.own_settings = own_settings
        self.clock = clock
        self.configuration: deployment.Deployment | None = None
        self.currency = configuration_currency.ConfigurationCurrency(
            own_settings.bounds.configuration_apply_ms
        )
        self.confirmed_age_ms: Callable[[], int | None] = lambda: 0
        self.receive_waiting: Callable[[], None] = _ignore
        self.lateness_ms: Callable[[], int] = _no_lateness
        self.gateway_count = 1
        self.shutdown: shutdown_schedule.ShutdownSchedule | None = None
        self.registry = servers.ServerRegistry()
        self.target_versions = weights.TargetVersions()
        self.cache_index = cache_part_index.CacheIndex()
        self.loads = loads.Loads()
        self.engine_chooser: even_placement.EngineChooser | None = None
        if own_settings.spreads_load:
            self.engine_chooser = even_placement.WeightedChooser(random.Random())
        self.begin_delays = begin_delays.BeginDelays()
        self.health = server_health.HealthRegistry()
        self.liveness = server_liveness.LivenessRegistry()
        self.service_times = service_times.ServiceTimes()
        self.answer_times = answer_times.AnswerTimes()
        self.rate_limits = rate_limits.RateLimits()
        self.cold_servers = cold_servers.ColdServers()
        self._cold_limits: dict[servers.Incarnation, float] = {}
        self.evacuations = evacuations.Evacuations()
        self.send_permits = send_permits.SendPermits(
            own_settings.vm, self.rate_limits, random.Random()
        )
        self.notify_permit_demand: Callable[[], None] = _ignore
        self.notify_rate_limit: Callable[[], None] = _ignore
        self.stream_versions = stream_versions.StreamVersions()
        self.links = server_links.LinkPool(clock, MAX_IDLE_LINK_MS)
        self.weight_updates = engine_weight_updates.WeightUpdates()
        self.shared_demand = shared_demand.SharedDemand()
        self.failed_requests = failed_request_records.FailedRequests()
        self.pending_saves = cache_transfers.PendingSaves()
        self.clock_offset_ms_by_holder: dict[cache_part_index.HolderName, int] = {}
        self._has_servers = False

    @property
    def is_complete(self) -> bool:
        """Whether the configuration and the list of backend servers were read."""
        return self.configuration is not None and self._has_servers

    def mark_servers_read(self) -> None:
        """Record that the list of backend servers has been read."""
        self._has_servers = True

    def apply_configuration(
        self, update: deployment.Deployment, known_ms: int | None = None
    ) -> bool:
        """Put a configuration in force if its version is newer; return whether it is.

        An older version never replaces a newer one.

        Parameters
        ----------
        known_ms : int or None
            Time at which the first gateway had it; None if it is not known.
        """
        if not self.currency.accepts(update.version):
            return False
        self.configuration = update
        self.currency.record_in_force(update.version, self.clock.now_ms(), known_ms)
        self.service_times.retain(tuple(update.services_by_name))
        self.cold_servers.retain(tuple(update.services_by_name))
        self.update_cold_limits("configuration")
        self.answer_times.retain(
            {
                route.name
                for routes in update.routes_by_host.values()
                for route in routes
            }
        )
        return True

    def may_serve(self) -> bool:
        """Return whether what operators set is recent enough here to serve by it."""
        now_ms = self.clock.now_ms()
        return self.currency.may_serve(now_ms) and self.evacuations.may_serve(
            now_ms, self.own_settings.bounds.evacuation_apply_ms
        )

    def sendable_entries(
        self,
        service: deployment.ServiceName,
        regions: frozenset[ids.Region] | None = None,
    ) -> tuple[servers.ServerEntry, ...]:
        """Return the ready servers of a service outside of evacuated data centres.

        Parameters
        ----------
        regions : frozenset of Region or None
            Regions in which the servers must be; None for all.
        """
        ready = self.registry.ready_entries(service)
        if regions is None and not self.evacuations.in_force:
            return ready
        region_by_data_centre = self.own_settings.region_by_data_centre
        return tuple(
            each
            for each in ready
            if self.may_send_to(each)
            and allowed_regions.allows(regions, each.data_centre, region_by_data_centre)
        )

    def may_send_to(self, server: servers.ServerEntry) -> bool:
        """Return whether the data centre of a server is not evacuated."""
        return not self.evacuations.is_evacuated(server.data_centre)

    def apply_evacuation(
        self,
        data_centre: ids.DataCentre,
        position: store_rows.Position,
        *,
        is_removed: bool,
    ) -> bool:
        """Apply a row that evacuates a data centre; return whether that changed."""
        is_changed = self.evacuations.apply_row(
            data_centre, position, self.clock.now_ms(), is_removed=is_removed
        )
        if is_changed and is_removed:
            self.presume_cold(data_centre)
        return is_changed

    @property
    def _limits_cold_servers(self) -> bool:
        return self.own_settings.bounds.cold_overshoot is not None

    def presume_cold(self, data_centre: ids.DataCentre) -> None:
        """Record that the servers of a data centre may have become cold."""
        if not self._limits_cold_servers:
            return
        current = self.configuration
        for entry in self.registry.entries():
            service = current and current.services_by_name.get(entry.service)
            if service and service.cold_start_ms and entry.data_centre == data_centre:
                self.cold_servers.presume_cold(
                    entry, service.cold_start_ms, self.clock.now_ms()
                )
        self.update_cold_limits("evacuation ended")

    def record_cold_entry(
        self, entry: servers.ServerEntry, previous: servers.ServerEntry | None
    ) -> bool:
        """Record what an entry states; return whether its server became cold."""
        if not self._limits_cold_servers:
            return False
        if not self.cold_servers.record_entry(entry, previous, self.clock.now_ms()):
            return False
        self.update_cold_limits("entry")
        return self.is_cold(entry)

    def record_cold_answer(
        self, server: servers.ServerEntry, cold_ms: int | None
    ) -> None:
        """Record for how long a server stays cold; None if its answer says nothing."""
        if cold_ms is None or not self._limits_cold_servers:
            return
        entry = self.registry.find(server.server_id)
        if entry is None or entry.incarnation != server.incarnation:
            return
        if self.cold_servers.record_answer(entry, cold_ms, self.clock.now_ms()):
            self.update_cold_limits("answer")

    def apply_cold_state(self, state: cold_servers.ColdState) -> None:
        """Apply what a peer knows of a server."""
        if not self._limits_cold_servers:
            return
        entry = self.registry.find(state.incarnation.server_id)
        if self.cold_servers.apply_peer(state, entry, self.clock.now_ms()):
            self.update_cold_limits("peer")

    def is_cold(self, server: servers.ServerEntry) -> bool:
        """Return whether a server is cold and its service limits cold servers."""
        return server.incarnation in self._cold_limits

    def update_cold_limits(self, origin: str) -> None:
        """Put the rates of the servers in force that are cold now.

        Parameters
        ----------
        origin : str
            Evidence for what has changed, for the log.
        """
        if self.configuration is None or not self._limits_cold_servers:
            return
        now_ms = self.clock.now_ms()
        limits = self.cold_servers.limits(
            self.registry.find, self.configuration.services_by_name, now_ms
        )
        if not self.rate_limits.set_cold_limits(limits):
            return
        self.send_permits.apply_limit_change(now_ms)
        for incarnation in limits.keys() - self._cold_limits.keys():
            _LOG.info(
                "server is cold",
                server=incarnation.server_id,
                per_second=limits[incarnation],
                remaining_ms=self.cold_servers.remaining_ms(incarnation, now_ms),
                origin=origin,
            )
        for incarnation in self._cold_limits.keys() - limits.keys():
            _LOG.info("server is warm", server=incarnation.server_id, origin=origin)
        self._cold_limits = limits

    def record_answer_time(
        self, placement: placements.Placement, first_ms: int
    ) -> None:
        """Record the time to the first event of a complete answer.

        The times of cold servers are kept apart, as they distort those of warm ones.  A
        server may have become warm, or cold, while it answered.
        """
        server, expected_ms = placement.server, placement.expected_first_event_ms
        health = self.health.health_of(server)
        if placement.is_cold or self.is_cold(server):
            health.record_success()
            self.cold_servers.record_answer_time(server.service, first_ms, expected_ms)
            return
        health.record_answer(first_ms, expected_ms)
        self.service_times.observe(server.service, placement.work, first_ms)

    def remove_server(self, server_id: servers.ServerId) -> None:
        """Remove the links, health, load, rate limit and cache state of a server.

        For a server that has left or started again; its registry entry is not touched.
        """
        self.links.close_server(server_id)
        self.health.remove(server_id)
        self.liveness.remove(server_id)
        self.loads.remove_server(server_id)
        self.begin_delays.remove_server(server_id)
        self.rate_limits.remove_server(server_id)
        self.cold_servers.remove_server(server_id)
        self.update_cold_limits("server gone")
        self.cache_index.remove(cache_part_index.HolderName(server_id))

    def mark_leaving(
        self, incarnation: servers.Incarnation, *, is_direct: bool
    ) -> None:
        """Record that an incarnation of a server is shutting down.

        Parameters
        ----------
        is_direct : bool
            Whether this gateway learned it from the server itself, not from a peer.
        """
        if self.registry.mark_leaving(
            incarnation, self.clock.now_ms(), is_direct=is_direct
        ):
            _LOG.info(
                "server leaves",
                server=incarnation.server_id,
                started_wall_ms=incarnation.started_wall_ms,
                origin="answer" if is_direct else "peer",
            )

    def mark_ended(self, server: servers.ServerEntry) -> None:
        """Record that a server refuses connections after it has closed one."""
        now_ms = self.clock.now_ms()
        self.health.health_of(server).mark_unreachable(now_ms)
        if self._is_registered(server.incarnation):
            self.liveness.record_end(server.incarnation, now_ms)

    def record_refusal(self, server: servers.ServerEntry) -> None:
        """Record that a server refused a connection of this gateway.

        Ignored for an incarnation that is not the registered one, of which nothing
        would end the evidence.
        """
        if self._is_registered(server.incarnation):
            self.liveness.record_refusal(server.incarnation, self.clock.now_ms())

    def _is_registered(self, incarnation: servers.Incarnation) -> bool:
        entry = self.registry.find(incarnation.server_id)
        return entry is not None and entry.incarnation == incarnation

    def apply_peer_refusal(self, incarnation: servers.Incarnation) -> None:
        """Record that a server refused a connection of a peer just now."""
        self.apply_peer_evidence(server_liveness.Evidence(incarnation, 0, None))

    def apply_peer_evidence(self, evidence: server_liveness.Evidence) -> None:
        """Apply a peer's evidence of the end or the life of a server.

        Ignored for an incarnation that is not the registered one.
        """
        if not self._is_registered(evidence.incarnation):
            return
        if self.liveness.apply_peer_evidence(evidence, self.clock.now_ms()):
            self._log_life(evidence.incarnation, "peer")

    def record_report(self, entry: servers.ServerEntry) -> None:
        """Record that a report of a server was read from the store."""
        if self.liveness.record_report(
            entry.incarnation, entry.report_number, self.clock.now_ms()
        ):
            self._log_life(entry.incarnation, "report")

    def record_bytes(self, server: servers.ServerEntry, opened_ms: int) -> None:
        """Record bytes on a link to a server that was opened at a time.

        They show life only at the time at which they arrived at the earliest.
        """
        if not self.liveness.may_have_ended(server.incarnation):
            return
        arrived_ms = self.clock.now_ms() - self.lateness_ms()
        if self.liveness.record_bytes(server.incarnation, opened_ms, arrived_ms):
            self._log_life(server.incarnation, "link")

    def _log_life(self, incarnation: servers.Incarnation, origin: str) -> None:
        _LOG.info(
            "server lives",
            server=incarnation.server_id,
            started_wall_ms=incarnation.started_wall_ms,
            origin=origin,
        )

    def record_rate_limit(
        self,
        incarnation: servers.Incarnation,
        per_second: float | None,
        sent_ms: int,
    ) -> bool:
        """Record what an answer states of a rate limit; return whether it changed.

        Ignored for an incarnation that is not the registered one.
        """
        if per_second is None and not self.rate_limits.is_any_limited:
            return False
        entry = self.registry.find(incarnation.server_id)
        if entry is None or entry.incarnation != incarnation:
            return False
        was_limited = self.rate_limits.is_named(incarnation)
        is_changed = self.rate_limits.record_answer(
            incarnation, per_second, sent_ms, self.clock.now_ms()
        )
        if is_changed:
            self._handle_limit_change(incarnation, "answer")
            if not was_limited:
                self.notify_rate_limit()
        return is_changed

    def apply_peer_limit(self, state: rate_limits.LimitState) -> None:
        """Apply a peer's state of a rate limit, as in `record_rate_limit`."""
        entry = self.registry.find(state.incarnation.server_id)
        if entry is None or entry.incarnation != state.incarnation:
            return
        if self.rate_limits.apply_peer_state(state, self.clock.now_ms()):
            self._handle_limit_change(state.incarnation, "peer")

    def _handle_limit_change(
        self, incarnation: servers.Incarnation, origin: str
    ) -> None:
        self.send_permits.apply_limit_change(self.clock.now_ms())
        per_second = self.rate_limits.limit_of(incarnation)
        _LOG.info(
            "rate limit ended" if per_second is None else "rate limit in force",
            server=incarnation.server_id,
            per_second=per_second,
            origin=origin,
            issuer=self.send_permits.issuer_of(incarnation),
        )

    def has_ended(self, suspicion: crash_suspicions.Suspicion) -> bool:
        """Return whether a suspicion's incarnation has ended."""
        entry = self.registry.find(suspicion.server_id)
        if entry is None or entry.started_wall_ms != suspicion.started_wall_ms:
            return True
        return self.liveness.has_ended(entry.incarnation)

    def holder_clock_ms(self, holder: cache_part_index.HolderName) -> int | None:
        """Return the time on the clock of an engine or a store; None if unknown."""
        offset_ms = self.clock_offset_ms_by_holder.get(holder)
        return None if offset_ms is None else self.clock.now_ms() + offset_ms

    def apply_weight_update(self, update: engine_weight_updates.WeightUpdate) -> bool:
        """Apply an update of an engine's weights; return whether it is new."""
        is_new = self.weight_updates.apply(update, self.clock.now_ms())
        if update.is_loaded:
            self.registry.record_loaded_weights(
                update.server_id, update.started_wall_ms, update.model, update.version
            )
        return is_new

    def cache_sources(
        self,
        service: deployment.Service,
        model: deployment.ModelName,
        current: deployment.Deployment,
    ) -> tuple[cache_transfers.Source, ...]:
        """Return the replicas and stores that a service's engines may fetch from.

        Replicas whose health allows no requests now, and stores whose content is
        unknown, are left out.  A plain service has none.
        """
        now_ms = self.clock.now_ms()
        engine = service.engine
        if engine is None:
            return ()
        replicas = tuple(
            cache_transfers.Source(
                holder=cache_part_index.HolderName(entry.server_id),
                address=entry.address,
                link_mbps=engine.link_mbps,
                delay_ms=0.0,
                is_store=False,
                capacity_tokens=engine.memory_tokens,
                is_managed=False,
                weights_version=entry.weight_versions_by_model.get(model, 0),
                data_centre=entry.data_centre,
            )
            for entry in self.registry.ready_entries(service.name)
            if self.health.health_of(entry).allows(now_ms)
        )
        stores = tuple(
            cache_transfers.Source(
                holder=cache_part_index.HolderName(store.name),
                address=store.address,
                link_mbps=min(store.link_mbps, engine.link_mbps),
                delay_ms=store.transfer_delay_ms,
                is_store=True,
                capacity_tokens=store.capacity_tokens,
                is_managed=store.is_managed,
                tracked_for_ms=self.cache_index.tracked_for_ms(
                    cache_part_index.HolderName(store.name), now_ms
                ),
                data_centre=store.data_centre,
            )
            for store in current.stores_by_name.values()
            if self.cache_index.is_tracked(cache_part_index.HolderName(store.name))
        )
        return replicas + stores
