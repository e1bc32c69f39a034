"""Brings all engines to the newest named weights, a few at a time.

Load pattern: new weights are named under full load.  Each engine that loads is
missing for its share of the requests, and loads slow each other down, so at most
`MAX_LOADING` load at once; but replaced weights soon earn little, so the next one
starts as soon as one has finished.  Any gateway can do this; the one that holds the
order lease does.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import store_rows, tasks
from quincecrank.gateway import (
    decision_log,
    deployment,
    knowledge,
    order_lease,
    peers,
    servers,
    weight_news,
)
from quincecrank.platform import engines

MAX_LOADING: Final = 2
"""Loads at once that do not slow each other down, by the operators' sheets."""

LOADING_SHARE: Final = 0.4
"""Part of a service's engines that may load at once when there are more."""

LOAD_TIMEOUT_MS: Final = 3_000
"""Time after which an order without effect is given again."""

INTERVAL_MS: Final = 100
"""Interval of the checks while there is something to order."""

NOTICE_MS: Final = 150
"""Time between the announcement of a load and its order: a datagram's way, and the
requests that are being sent at that moment."""

DRAIN_MS: Final = 400
"""Time for which an engine that gets no new requests may finish those it has; longer
would cost more of the others' time than the rest of these requests is worth."""

PREFILL_WAIT_MS: Final = 1_500
"""Time after which an engine that still reads prompts is told to finish its requests
before it loads."""

REPORT_INTERVAL_MS: Final = 100
"""Interval at which a loading engine is asked for its weights; its reports are some
hundred milliseconds old."""

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
    at_once = max(MAX_LOADING, int(engine_count * LOADING_SHARE))
    return max(1, min(at_once, engine_count - 1))


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
    tell_peers : callable
        Sends a report to the peers at once.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        calls: engines.EngineCalls,
        lease: order_lease.OrderLease,
        directory: peers.PeerTables,
        tell_peers: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._known = known
        self._calls = calls
        self._lease = lease
        self._peers = directory
        self._clock = clock
        self._tell_peers = tell_peers
        self._background = tasks.BackgroundTasks()
        self._loading: dict[servers.ServerId, Lagging] = {}
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
            except store_rows.StoreUnavailableError as error:
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
            self._loading[each.server.server_id] = each
            self._background.start(self._load(each))

    def _rank(self) -> int:
        """Return how many live gateways go before this one."""
        newest = max(self._known.versions.all().values(), default=0)
        everyone = 1 + len(self._peers.live_members())
        ranked = self._peers.first_ranked(str(newest), everyone)
        return ranked.index(self._known.facts.vm)

    def _due(self, lagging: tuple[Lagging, ...]) -> tuple[Lagging, ...]:
        """Return the engines to order now, within the limit of loads at once."""
        now_ms = self._clock.now_ms()
        idle = [each for each in lagging if each.server.server_id not in self._loading]
        due: list[Lagging] = []
        for each in sorted(idle, key=lambda one: self._busyness(one, now_ms)):
            service = each.server.service
            engine_count = len(self._known.registry.ready(service))
            loading = [*self._loading.values(), *due]
            running = sum(one.server.service == service for one in loading)
            if running < load_limit(engine_count):
                due.append(each)
        return tuple(due)

    def _busyness(self, each: Lagging, now_ms: int) -> int:
        return self._known.loads.of(each.server.server_id, now_ms).requests

    async def _load(self, lagging: Lagging) -> None:
        """Announce, order and await one load."""
        server = lagging.server
        self._announce(lagging, is_loaded=False)
        try:
            running = await self._drain(lagging)
            if await self._order(lagging, running):
                await self._await_weights(lagging)
        except (engines.EngineCallError, store_rows.StoreUnavailableError) as error:
            _LOG.warning("order failed", server=server.server_id, error=str(error))
            # The engine may or may not load: it gets requests again, with the
            # version that they expect.
            self._known.weight_news.forget(server.incarnation)
            await self._clock.sleep(INTERVAL_MS)
        finally:
            self._loading.pop(server.server_id, None)

    async def _drain(self, lagging: Lagging) -> engines.RunningRequests:
        """Let an engine finish requests; return what is to happen to the rest.

        Requests go on under the new weights only if all their prompts have been
        read: what an engine keeps of a prompt must come from one version.
        """
        began_ms = self._clock.now_ms()
        await self._clock.sleep(NOTICE_MS)
        while True:
            now_ms = self._clock.now_ms()
            load = self._known.loads.of(lagging.server.server_id, now_ms)
            waited_ms = now_ms - began_ms
            if not load.requests:
                return engines.RunningRequests.GO_ON
            if waited_ms >= DRAIN_MS and not load.prefill_tokens:
                return engines.RunningRequests.GO_ON
            if waited_ms >= PREFILL_WAIT_MS:
                return engines.RunningRequests.FINISH_FIRST
            await self._clock.sleep(NOTICE_MS / 2)

    async def _order(self, lagging: Lagging, running: engines.RunningRequests) -> bool:
        """Give the order; return whether the weights are to be awaited."""
        server = lagging.server
        report = await self._calls.report(server.address)
        if report.weight_versions_by_model.get(lagging.model, 0) >= lagging.version:
            return True
        order = engines.WeightOrder(
            server=server,
            model=lagging.model,
            version=lagging.version,
            holder=self._known.facts.vm,
            fencing_number=self._lease.fencing_number,
            expected_orders=report.accepted_orders,
            running=running,
        )
        if not self._lease.is_valid:
            return False
        answer = await self._calls.order_weights(order)
        _LOG.info(
            "weights ordered",
            server=server.server_id,
            model=lagging.model,
            version=lagging.version,
            fencing_number=order.fencing_number,
            expected_orders=order.expected_orders,
            running=running.name,
            answer=answer.name,
        )
        return answer is not engines.OrderAnswer.OTHER_SERVER

    async def _await_weights(self, lagging: Lagging) -> None:
        until_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            report = await self._calls.report(lagging.server.address)
            version = report.weight_versions_by_model.get(lagging.model, 0)
            if version >= lagging.version and not report.is_busy:
                self._announce(lagging, is_loaded=True)
                return
            await self._clock.sleep(REPORT_INTERVAL_MS)

    def _announce(self, lagging: Lagging, *, is_loaded: bool) -> None:
        self._known.take_weight_news(
            weight_news.WeightNews(
                lagging.server.server_id,
                lagging.server.started_wall_ms,
                lagging.model,
                lagging.version,
                is_loaded,
            )
        )
        self._tell_peers()
        _LOG.info(
            "weights announced",
            server=lagging.server.server_id,
            version=lagging.version,
            loaded=is_loaded,
        )
