"""Everything that one gateway knows about the fleet."""

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_directory,
    deployment,
    environment,
    links,
    loads,
    server_health,
    servers,
    weights,
)

MAX_IDLE_LINK_MS = 10_000
"""Time after which an unused link is closed; idle links cost memory at both ends."""


class Knowledge:
    """Aggregate of what the tables, the peers and the backend servers have told.

    Attributes
    ----------
    current : Deployment or None
        The configuration in force; None before the first one is known.
    gateways : int
        Live gateways, this one included.
    """

    def __init__(self, facts: environment.Environment, clock: clocks.Clock) -> None:
        self.facts = facts
        self.clock = clock
        self.current: deployment.Deployment | None = None
        self.gateways = 1
        self.registry = servers.ServerRegistry()
        self.versions = weights.NamedVersions()
        self.directory = cache_directory.CacheDirectory()
        self.loads = loads.Loads()
        self.health = server_health.HealthBook()
        self.links = links.LinkPool(clock, MAX_IDLE_LINK_MS)
        self._has_servers = False

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve."""
        return self.current is not None and self._has_servers

    def servers_known(self) -> None:
        """Record that the list of backend servers has been read once."""
        self._has_servers = True

    def take_configuration(self, update: deployment.Deployment) -> bool:
        """Put a configuration in force if it is newer; never goes back."""
        if self.current is not None and update.version <= self.current.version:
            return False
        self.current = update
        return True

    def forget_server(self, server_id: servers.ServerId) -> None:
        """Forget all that is known of a server that has left."""
        self.links.forget(server_id)
        self.health.forget(server_id)
        self.directory.forget(cache_directory.HolderName(server_id))

    def salt_of(
        self, account: deployment.Account | None, version: int
    ) -> cache_directory.CacheSalt:
        """Return the name under which engines share KV cache.

        It names the weights' version and the isolated account, so that a request
        can't meet KV cache of another version or of an isolated account.
        """
        owner: ids.AccountName | str = ""
        if account is not None and account.is_isolated:
            owner = account.name
        return cache_directory.CacheSalt(f"v{version}.{owner}")
