"""State of the fleet as one gateway knows it."""

from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import (
    cache_directory,
    crash_suspicions,
    decision_log,
    deployment,
    environment,
    first_attempts,
    kept_parts,
    links,
    loads,
    server_health,
    servers,
    service_times,
    weight_news,
    weights,
)

MAX_IDLE_LINK_MS: Final = 10_000
"""Time after which an unused link is closed; idle links cost memory at both ends."""

_LOG: Final = decision_log.logger("knowledge")


class Knowledge:
    """Aggregate of the state reported by tables, peers and backend servers.

    Attributes
    ----------
    facts : Environment
        Settings of this process; replaced when they are reloaded.
    current : Deployment or None
        The configuration in force; None before the first one was read.
    gateways : int
        Number of live gateways, this one included.
    is_ending : bool
        Whether the process is about to end and accepts no further request.
    clock_offset_ms_by_holder : dict of HolderName to int
        Clock of an engine or cache store minus this process's clock.
    """

    def __init__(self, facts: environment.Environment, clock: clocks.Clock) -> None:
        self.facts = facts
        self.clock = clock
        self.current: deployment.Deployment | None = None
        self.gateways = 1
        self.is_ending = False
        self.registry = servers.ServerRegistry()
        self.versions = weights.NamedVersions()
        self.directory = cache_directory.CacheDirectory()
        self.loads = loads.Loads()
        self.health = server_health.HealthBook()
        self.service_times = service_times.ServiceTimes()
        self.links = links.LinkPool(clock, MAX_IDLE_LINK_MS)
        self.weight_news = weight_news.WeightNewsBook()
        self.first_attempts = first_attempts.FirstAttempts()
        self.saves = kept_parts.SaveNotes()
        self.clock_offset_ms_by_holder: dict[cache_directory.HolderName, int] = {}
        self._has_servers = False

    @property
    def is_complete(self) -> bool:
        """Whether the configuration and the list of backend servers were read."""
        return self.current is not None and self._has_servers

    def servers_known(self) -> None:
        """Record that the list of backend servers has been read."""
        self._has_servers = True

    def take_configuration(self, update: deployment.Deployment) -> bool:
        """Put a configuration in force if its version is newer; return whether it is.

        An older version never replaces a newer one.
        """
        if self.current is not None and update.version <= self.current.version:
            return False
        self.current = update
        self.service_times.retain(tuple(update.services_by_name))
        return True

    def forget_server(self, server_id: servers.ServerId) -> None:
        """Remove the links, health, load and cache state of a server that has left."""
        self.links.forget(server_id)
        self.health.forget(server_id)
        self.loads.forget_server(server_id)
        self.directory.forget(cache_directory.HolderName(server_id))

    def server_leaves(self, incarnation: servers.Incarnation, *, is_own: bool) -> None:
        """Record that an incarnation of a server is shutting down.

        Parameters
        ----------
        is_own : bool
            Whether this gateway learned it from the server itself, not from a peer.
        """
        if self.registry.leaves(incarnation, self.clock.now_ms(), is_own=is_own):
            _LOG.info(
                "server leaves",
                server=incarnation.server_id,
                started_wall_ms=incarnation.started_wall_ms,
                origin="answer" if is_own else "peer",
            )

    def has_crashed(self, suspicion: crash_suspicions.Suspicion) -> bool:
        """Return whether the incarnation of a suspicion's server has ended."""
        entry = self.registry.find(suspicion.server_id)
        if entry is None or entry.started_wall_ms != suspicion.started_wall_ms:
            return True
        return self.health.of(entry).unreachable_ms >= suspicion.at_ms

    def holder_clock_ms(self, holder: cache_directory.HolderName) -> int | None:
        """Return the time on the clock of an engine or a store; None if unknown."""
        offset_ms = self.clock_offset_ms_by_holder.get(holder)
        return None if offset_ms is None else self.clock.now_ms() + offset_ms

    def take_weight_news(self, news: weight_news.WeightNews) -> bool:
        """Apply an update of an engine's weights; return whether it is new."""
        is_new = self.weight_news.take(news, self.clock.now_ms())
        if news.is_loaded:
            self.registry.weights_loaded(
                news.server_id, news.started_wall_ms, news.model, news.version
            )
        return is_new

    def sources(
        self,
        service: deployment.Service,
        model: deployment.ModelName,
        current: deployment.Deployment,
    ) -> tuple[kept_parts.Source, ...]:
        """Return the replicas and stores that a service's engines may fetch from.

        Replicas whose health allows no requests now, and stores whose content is
        unknown, are left out.  A plain service has none.
        """
        now_ms = self.clock.now_ms()
        engine = service.engine
        if engine is None:
            return ()
        replicas = tuple(
            kept_parts.Source(
                holder=cache_directory.HolderName(entry.server_id),
                address=entry.address,
                link_mbps=engine.link_mbps,
                delay_ms=0.0,
                is_store=False,
                capacity_tokens=engine.memory_tokens,
                is_managed=False,
                weights_version=entry.weight_versions_by_model.get(model, 0),
            )
            for entry in self.registry.ready(service.name)
            if self.health.of(entry).allows(now_ms)
        )
        stores = tuple(
            kept_parts.Source(
                holder=cache_directory.HolderName(store.name),
                address=store.address,
                link_mbps=min(store.link_mbps, engine.link_mbps),
                delay_ms=store.transfer_delay_ms,
                is_store=True,
                capacity_tokens=store.capacity_tokens,
                is_managed=store.is_managed,
                known_for_ms=self.directory.known_for_ms(
                    cache_directory.HolderName(store.name), now_ms
                ),
            )
            for store in current.stores_by_name.values()
            if self.directory.is_known(cache_directory.HolderName(store.name))
        )
        return replicas + stores
