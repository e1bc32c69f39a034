"""Brings all engines to the newest named weights, a few at a time.

Load pattern: new weights are named under full load.  Each engine that loads is
missing for its share of the requests, and loads slow each other down, so at most
`MAX_LOADING` load at once; but replaced weights soon earn little, so the next one
starts as soon as one has finished.  Any gateway can do this; the one that holds the
order lease does.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import rendezvous
from quincecrank.gateway import (
    decision_log,
    deployment,
    knowledge,
    order_lease,
    peers,
    servers,
    tables,
)
from quincecrank.platform import engines

MAX_LOADING: Final = 2
"""Loads at once that do not slow each other down, by the operators' sheets."""

LOADING_SHARE: Final = 0.4
"""Part of a service's engines that may load at once when there are more."""

LOAD_TIMEOUT_MS: Final = 4_000
"""Time after which an order without effect is given again."""

INTERVAL_MS: Final = 150
"""Interval of the checks while there is something to order."""

IDLE_INTERVAL_MS: Final = 300
"""Interval of the checks while all engines are up to date."""

RANK_DELAY_MS: Final = 400
"""Head start of each gateway over the next one in rank: a store write and a check."""

_LOG: Final = decision_log.logger("weight-roll")


@dataclasses.dataclass(frozen=True, slots=True)
class Lagging:
    """An engine that lacks the newest weights of a model."""

    server: servers.ServerEntry
    model: deployment.ModelName
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Ordered:
    version: int
    started_wall_ms: int
    at_ms: int


def lagging_engines(
    entries: Iterable[servers.ServerEntry],
    newest_by_model: dict[deployment.ModelName, int],
) -> tuple[Lagging, ...]:
    """Return the ready engines that lack the newest weights, by id."""
    return tuple(
        Lagging(entry, model, newest_by_model[model])
        for entry in sorted(entries, key=lambda each: each.server_id)
        if entry.state is servers.ServerState.READY
        for model, version in sorted(entry.weight_versions_by_model.items())
        if version < newest_by_model.get(model, 0)
    )


def load_limit(engine_count: int) -> int:
    """Return how many of a service's engines may load weights at once."""
    return max(MAX_LOADING, int(engine_count * LOADING_SHARE))


class WeightRoll:
    """Gives the orders, while this gateway holds the lease.

    Parameters
    ----------
    calls : EngineCalls
        Reaches the engines.
    lease : OrderLease
        Allows one gateway at a time to order.
    directory : PeerTables
        The live gateways, whose ranks stagger their attempts at the lease.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        calls: engines.EngineCalls,
        lease: order_lease.OrderLease,
        directory: peers.PeerTables,
        clock: clocks.Clock,
    ) -> None:
        self._known = known
        self._calls = calls
        self._lease = lease
        self._peers = directory
        self._clock = clock
        self._ordered_by_server: dict[servers.ServerId, _Ordered] = {}
        self._lag_since_ms: int | None = None

    async def run(self) -> None:
        """Check for engines that lag and order what they lack."""
        while True:
            lagging = self._lagging()
            if not lagging:
                self._lag_since_ms = None
                await self._clock.sleep(IDLE_INTERVAL_MS)
                continue
            try:
                await self._bring_up(lagging)
            except tables.StoreUnavailableError as error:
                _LOG.warning("lease not renewed", reason=str(error))
            await self._clock.sleep(INTERVAL_MS)

    def _lagging(self) -> tuple[Lagging, ...]:
        return lagging_engines(self._known.registry.all(), self._known.versions.all())

    async def _bring_up(self, lagging: tuple[Lagging, ...]) -> None:
        now_ms = self._clock.now_ms()
        if self._lag_since_ms is None:
            self._lag_since_ms = now_ms
        waited_ms = now_ms - self._lag_since_ms
        if not self._lease.is_held and waited_ms < self._rank() * RANK_DELAY_MS:
            return
        if not await self._lease.acquire_or_renew():
            return
        for each in self._due(lagging):
            await self._order(each)

    def _rank(self) -> int:
        """Return how many live gateways go before this one."""
        own = self._known.facts.vm
        newest = max(self._known.versions.all().values(), default=0)
        names = [own, *self._peers.live_members()]
        return rendezvous.ranked(str(newest), names, len(names)).index(own)

    def _due(self, lagging: tuple[Lagging, ...]) -> tuple[Lagging, ...]:
        """Return the engines to order now, within the limit of loads at once."""
        now_ms = self._clock.now_ms()
        loading = [each for each in lagging if self._is_loading(each, now_ms)]
        idle = [each for each in lagging if each not in loading]
        due: list[Lagging] = []
        for each in sorted(idle, key=lambda one: self._busyness(one, now_ms)):
            service = each.server.service
            engines_of = self._known.registry.ready(service)
            running = sum(one.server.service == service for one in [*loading, *due])
            if running < load_limit(len(engines_of)):
                due.append(each)
        return tuple(due)

    def _busyness(self, each: Lagging, now_ms: int) -> int:
        return self._known.loads.of(each.server.server_id, now_ms).requests

    def _is_loading(self, each: Lagging, now_ms: int) -> bool:
        ordered = self._ordered_by_server.get(each.server.server_id)
        return (
            ordered is not None
            and ordered.version == each.version
            and ordered.started_wall_ms == each.server.started_wall_ms
            and now_ms - ordered.at_ms < LOAD_TIMEOUT_MS
        )

    async def _order(self, lagging: Lagging) -> None:
        server = lagging.server
        try:
            report = await self._calls.report(server.address)
            if report.is_busy:
                self._note(lagging)
                return
            order = engines.WeightOrder(
                server=server,
                model=lagging.model,
                version=lagging.version,
                holder=self._known.facts.vm,
                fencing_number=self._lease.fencing_number,
                expected_orders=report.accepted_orders,
            )
            if not self._lease.is_valid and not await self._lease.acquire_or_renew():
                return
            answer = await self._calls.order_weights(order)
        except engines.EngineCallError as error:
            _LOG.warning("order failed", server=server.server_id, error=str(error))
            self._note(lagging)
            return
        self._note(lagging)
        _LOG.info(
            "weights ordered",
            server=server.server_id,
            model=lagging.model,
            version=lagging.version,
            fencing_number=order.fencing_number,
            expected_orders=order.expected_orders,
            answer=answer.name,
        )

    def _note(self, lagging: Lagging) -> None:
        self._ordered_by_server[lagging.server.server_id] = _Ordered(
            lagging.version, lagging.server.started_wall_ms, self._clock.now_ms()
        )
