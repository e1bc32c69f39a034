"""Weight rollout: loads the target weights on all engines, a few at a time.

Load pattern: a new target version is set under full load.  An engine that loads
weights can't take its part of the requests, and more than a few concurrent loadings
slow each other down, so only some engines of a service load at once, as
`loading_limits` decides.  But answers of outdated weights soon lose value, so the next
loading starts as soon as one has finished.  Any gateway can do this; the one that holds
the order lease does.  Engines that did not load the weights when ordered are tried
again after all others, so that they don't occupy the places of engines that would load.

Steps of one loading: announce it to the peers, drain the engine, order the loading,
wait until the engine reports the weights, announce that.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import store_rows, tasks
from quincecrank.gateway import (
    decision_log,
    deployment,
    engine_weight_updates,
    fleet_state,
    loading_limits,
    order_lease,
    peers,
    servers,
    weights,
)
from quincecrank.platform import engines

LOAD_TIMEOUT_MS: Final = 3_000
"""Time after which a loading that was ordered but not seen to end is ordered again."""

CHECK_INTERVAL_MS: Final = 100
"""Interval of the checks while there are outdated engines."""

ANNOUNCEMENT_LEAD_MS: Final = 150
"""Shortest time between the announcement of a loading and its order: the travel time of
a datagram, and the requests that are being sent at that moment."""

DRAIN_MS: Final = 400
"""Time for which an engine that gets no new requests may finish those it has.  A longer
drain would cost the other engines more time than it saves these requests."""

PREFILL_WAIT_MS: Final = 1_500
"""Time after which an engine that still computes prompts is ordered to finish its
requests before it loads."""

WEIGHTS_POLL_INTERVAL_MS: Final = 100
"""Interval at which a loading engine is polled for its weights; its entry in the store
may be some hundred milliseconds old."""

IDLE_CHECK_INTERVAL_MS: Final = 300
"""Interval of the checks while all engines are up to date."""

RANK_DELAY_MS: Final = 400
"""Delay of each gateway's attempt at the lease after that of the next higher rank: the
time of a store write and a check."""

_LOG: Final = decision_log.logger("weight-roll")


@dataclasses.dataclass(frozen=True, slots=True)
class OutdatedEngine:
    """An engine with outdated weights of a model.

    Attributes
    ----------
    version : int
        Target version, which it is to load.
    """

    server: servers.ServerEntry
    model: deployment.ModelName
    version: int


def outdated_engines(
    entries: Iterable[servers.ServerEntry],
    target_by_model: dict[deployment.ModelName, int],
) -> tuple[OutdatedEngine, ...]:
    """Return the ready engines with outdated weights, ordered by id."""
    return tuple(
        OutdatedEngine(entry, model, target_by_model[model])
        for entry in sorted(entries, key=lambda each: each.server_id)
        if entry.state is servers.ServerState.READY
        for model, version in sorted(entry.weight_versions_by_model.items())
        if version < target_by_model.get(model, 0)
    )


class WeightRollout:
    """Orders the loadings while this gateway holds the lease.

    Parameters
    ----------
    calls : FleetEngineClient
        Sends calls to the engines.
    lease : OrderLease
        Allows one gateway at a time to order.
    peer_directory : PeerDirectory
        The live gateways; their ranks stagger their attempts at the lease.
    report_to_peers : callable
        Sends a report to the peers at once.
    count_waiting : callable
        Returns the number of requests that wait at this gateway.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        calls: engines.FleetEngineClient,
        lease: order_lease.OrderLease,
        peer_directory: peers.PeerDirectory,
        report_to_peers: Callable[[], None],
        clock: clocks.Clock,
        count_waiting: Callable[[], int] = lambda: 0,
    ) -> None:
        self._count_waiting = count_waiting
        self._fleet = fleet
        self._calls = calls
        self._lease = lease
        self._peers = peer_directory
        self._clock = clock
        self._report_to_peers = report_to_peers
        self._background = tasks.BackgroundTasks()
        self._loading: dict[servers.ServerId, OutdatedEngine] = {}
        self._failed_loads_by_incarnation: collections.Counter[servers.Incarnation] = (
            collections.Counter()
        )
        self._outdated_since_ms: int | None = None

    async def run(self) -> None:
        """Check for outdated engines and order loadings, until cancelled."""
        while True:
            outdated = self._outdated_engines()
            if not outdated:
                self._outdated_since_ms = None
                self._failed_loads_by_incarnation.clear()
                await self._clock.sleep(IDLE_CHECK_INTERVAL_MS)
                continue
            try:
                await self._order_loads(outdated)
            except store_rows.StoreUnavailableError as error:
                _LOG.warning("lease not renewed", reason=str(error))
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _outdated_engines(self) -> tuple[OutdatedEngine, ...]:
        return outdated_engines(
            self._fleet.registry.entries(),
            self._fleet.target_versions.target_by_model(),
        )

    async def _order_loads(self, outdated: tuple[OutdatedEngine, ...]) -> None:
        now_ms = self._clock.now_ms()
        if self._outdated_since_ms is None:
            self._outdated_since_ms = now_ms
        waited_ms = now_ms - self._outdated_since_ms
        rank = 0 if self._lease.is_held else self._rank()
        if waited_ms < rank * RANK_DELAY_MS:
            return
        if not await self._lease.acquire_or_renew(rank):
            return
        for each in self._due(outdated):
            self._loading[each.server.server_id] = each
            self._background.start(self._load(each))

    def _rank(self) -> int:
        """Return how many live gateways rank before this one."""
        newest = max(self._fleet.target_versions.target_by_model().values(), default=0)
        gateway_count = 1 + len(self._peers.live_members())
        ranked = self._peers.first_ranked(str(newest), gateway_count)
        return ranked.index(self._fleet.own_settings.vm)

    def _due(self, outdated: tuple[OutdatedEngine, ...]) -> tuple[OutdatedEngine, ...]:
        """Return the engines whose loading starts now.

        Those with the fewest failed loadings come first, then those whose weights have
        been outdated for longest, then those that are announced to load, as their
        requests have ended, then the least busy.  Engines that an earlier holder
        ordered lately are left out, but those that it announced count as loading.
        """
        now_ms = self._clock.now_ms()
        not_loading = [
            each
            for each in outdated
            if each.server.server_id not in self._loading
            and self._lease.blocked_ms(each.server.server_id) <= ANNOUNCEMENT_LEAD_MS
        ]
        limit_by_service = {
            service: self._loading_limit(service, outdated)
            for service in {each.server.service for each in not_loading}
        }
        announced = [
            each
            for each in outdated
            if each.server.server_id not in self._loading
            and not self._failed_loads_by_incarnation[each.server.incarnation]
            and self._fleet.weight_updates.is_loading(each.server, now_ms)
        ]
        due: list[OutdatedEngine] = []
        for each in sorted(not_loading, key=lambda one: self._rank_of(one, now_ms)):
            service = each.server.service
            loading = {one.server.server_id: one for one in (*announced, *due)}
            loading.update(self._loading)
            loading.pop(each.server.server_id, None)
            loading_count = sum(
                one.server.service == service for one in loading.values()
            )
            if loading_count < limit_by_service[service]:
                due.append(each)
        return tuple(due)

    def _loading_limit(
        self, service: deployment.ServiceName, outdated: tuple[OutdatedEngine, ...]
    ) -> int:
        now_ms = self._clock.now_ms()
        ready = self._fleet.registry.ready_entries(service)
        if not self._fleet.own_settings.shares_admission:
            return loading_limits.fixed_limit(len(ready))
        since_ms = [
            self._fleet.target_versions.outdated_since_ms(
                each.model, each.server.weight_versions_by_model[each.model]
            )
            for each in outdated
            if each.server.service == service
        ]
        served_ms = (
            self._fleet.own_settings.bounds.weights_deadline_ms
            * weights.OUTDATED_CUTOFF_FRACTION
        )
        left_ms = [each + served_ms - now_ms for each in since_ms if each is not None]
        room = loading_limits.Room(
            engines=len(ready),
            slots=min((each.slots for each in ready), default=0),
            running=sum(
                self._fleet.loads.total_load(each.server_id, now_ms).requests
                for each in ready
            ),
            waiting=self._count_waiting(),
            outdated=len(since_ms),
            left_ms=min(left_ms, default=served_ms),
        )
        return loading_limits.max_concurrent_loadings(room)

    def _rank_of(
        self, each: OutdatedEngine, now_ms: int
    ) -> tuple[int, int | None, bool, int]:
        server = each.server
        return (
            self._failed_loads_by_incarnation[server.incarnation],
            self._fleet.target_versions.outdated_since_ms(
                each.model, server.weight_versions_by_model[each.model]
            ),
            not self._fleet.weight_updates.is_loading(server, now_ms),
            self._fleet.loads.total_load(server.server_id, now_ms).requests,
        )

    async def _load(self, outdated: OutdatedEngine) -> None:
        """Announce, drain, order and await one loading."""
        server = outdated.server
        now_ms = self._clock.now_ms()
        # An earlier holder may have announced it, so that it has no new requests.
        since_ms = self._fleet.weight_updates.announced_ms(server, now_ms)
        self._announce(outdated, is_loaded=False)
        is_loaded = False
        try:
            running_requests = await self._drain(
                outdated, now_ms if since_ms is None else since_ms
            )
            outdated = self._with_newest_version(outdated)
            if await self._order(outdated, running_requests):
                is_loaded = await self._await_weights(outdated)
        except (engines.EngineCallError, store_rows.StoreUnavailableError) as error:
            _LOG.warning("order failed", server=server.server_id, error=str(error))
            # The engine may or may not load, so it gets requests again.  They carry
            # the version that they require.
            self._fleet.weight_updates.discard(server.incarnation)
            await self._clock.sleep(CHECK_INTERVAL_MS)
        finally:
            self._loading.pop(server.server_id, None)
            if not is_loaded:
                self._failed_loads_by_incarnation[server.incarnation] += 1

    def _with_newest_version(self, outdated: OutdatedEngine) -> OutdatedEngine:
        """Return the engine with the target version as of now, and announce it.

        A newer one may have been set while the engine finished its requests.  Loading
        the older one first would take twice as long.
        """
        newest = self._fleet.target_versions.target_version(outdated.model)
        if newest is None or newest <= outdated.version:
            return outdated
        outdated = dataclasses.replace(outdated, version=newest)
        self._announce(outdated, is_loaded=False)
        return outdated

    async def _drain(
        self, outdated: OutdatedEngine, started_ms: int
    ) -> engines.RunningRequests:
        """Let an engine finish requests; return how it is to treat the others.

        It gets no new ones since `started_ms`.

        They continue under the new weights only if all their prompts have been
        computed: the KV cache of a prompt must come from one version.
        """
        await self._clock.sleep(ANNOUNCEMENT_LEAD_MS)
        while True:
            now_ms = self._clock.now_ms()
            load = self._fleet.loads.total_load(outdated.server.server_id, now_ms)
            waited_ms = now_ms - started_ms
            if not load.requests:
                return engines.RunningRequests.GO_ON
            if waited_ms >= DRAIN_MS and not load.backlog_tokens:
                return engines.RunningRequests.GO_ON
            if waited_ms >= PREFILL_WAIT_MS:
                return engines.RunningRequests.FINISH_FIRST
            await self._clock.sleep(ANNOUNCEMENT_LEAD_MS / 2)

    async def _order(
        self, outdated: OutdatedEngine, running_requests: engines.RunningRequests
    ) -> bool:
        """Order the loading unless the engine has the weights.

        Returns False if the lease is not valid or another server answered; otherwise
        True, and the caller waits for the weights.

        Raises
        ------
        EngineCallError
            If the engine can't be reached.
        """
        server = outdated.server
        report = await self._calls.report(server.address)
        if report.weight_versions_by_model.get(outdated.model, 0) >= outdated.version:
            return True
        order = engines.WeightOrder(
            server=server,
            model=outdated.model,
            version=outdated.version,
            lease_holder=self._fleet.own_settings.vm,
            fencing_number=self._lease.fencing_number,
            expected_orders=report.accepted_orders,
            running_requests=running_requests,
            lease_left_ms=self._lease.left_ms,
        )
        if not self._lease.is_valid or self._lease.blocked_ms(server.server_id):
            return False
        with self._lease.ordering(server.server_id):
            answer = await self._calls.order_weights(order)
        _LOG.info(
            "weights ordered",
            server=server.server_id,
            model=outdated.model,
            version=outdated.version,
            fencing_number=order.fencing_number,
            expected_orders=order.expected_orders,
            running=running_requests.name,
            answer=answer.name,
        )
        return answer is not engines.OrderAnswer.OTHER_SERVER

    async def _await_weights(self, outdated: OutdatedEngine) -> bool:
        """Wait until the engine reports the weights, and announce them.

        Returns False if it doesn't within `LOAD_TIMEOUT_MS`; a later check orders the
        loading again.
        """
        until_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            report = await self._calls.report(outdated.server.address)
            version = report.weight_versions_by_model.get(outdated.model, 0)
            if version >= outdated.version and not report.is_busy:
                self._announce(outdated, is_loaded=True)
                return True
            await self._clock.sleep(WEIGHTS_POLL_INTERVAL_MS)
        return False

    def _announce(self, outdated: OutdatedEngine, *, is_loaded: bool) -> None:
        self._fleet.apply_weight_update(
            engine_weight_updates.WeightUpdate(
                outdated.server.server_id,
                outdated.server.started_wall_ms,
                outdated.model,
                outdated.version,
                is_loaded,
            )
        )
        self._report_to_peers()
        _LOG.info(
            "weights announced",
            server=outdated.server.server_id,
            version=outdated.version,
            loaded=is_loaded,
        )
