"""Places each request on a backend server, queues it or rejects it.

Holds the admission queue of each service and applies the rules of `placement`,
`request_queue` and `weights` to the fleet state that this gateway tracks.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    decision_log,
    deployment,
    engine_placement,
    fleet_state,
    permit_demand,
    placements,
    plain_placement,
    prompts,
    request_queue,
    send_permits,
    servers,
    service_queues,
    service_times,
    size_fairness,
)

QUEUE_RETRY_INTERVAL_MS: Final = 40
"""Interval at which queued requests are tried again even if no request has ended: a
fraction of the interval of the peers' load reports, `peers.REPORT_INTERVAL_MS`."""

MAX_TRIED_PER_PASS: Final = 8
"""Number of requests from the head of the queue that are tried in one pass.  Behind one
for which no server has capacity, only requests of its queue class are tried."""

OVERTAKING_LIMIT_MS: Final = 150
"""Time since its arrival after which the first request in the queue may not be
overtaken."""

NO_VERSION_REASON: Final = (
    "the stream can't be resumed, begin a new one: no server has its software version"
)

NO_SERVER_RETRY_MS: Final = 800
"""Retry time while a service has no usable backend server: about the time between two
reports of a server."""

FAULTY_SERVER_MS: Final = 5_000
"""Time for which a server is left out after its placement raised an exception."""

_LOG: Final = decision_log.logger("dispatcher")


class Dispatcher:
    """Places the requests of all services.

    Parameters
    ----------
    fleet : FleetState
        Fleet state that this gateway tracks.
    generator : Random
        Source of jitter.
    """

    def __init__(self, fleet: fleet_state.FleetState, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator
        self._queue_by_service = service_queues.QueueByService(fleet)
        self._future_by_id: dict[
            ids.RequestId,
            asyncio.Future[placements.Placement | placements.Rejection],
        ] = {}
        self._placement_request_by_id: dict[
            ids.RequestId, placements.PlacementRequest
        ] = {}
        self._demand = permit_demand.PermitDemand(fleet, self._queue_by_service)
        self._engines = engine_placement.EnginePlacement(
            fleet, self._demand, self._queue_by_service
        )
        self._plain = plain_placement.PlainPlacement(fleet, self._demand)
        self._size_fairness = size_fairness.SizeFairness()
        self._left_out_until_ms: dict[servers.Incarnation, int] = {}
        self._has_waiting = asyncio.Event()

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait for a backend server."""
        return len(self._placement_request_by_id)

    @property
    def packed_demand(self) -> bytes:
        """Demand for engines at this gateway, for reports; see `shared_demand`."""
        return self._queue_by_service.packed_demand()

    def idle_answer_ms(
        self, service: deployment.Service, prompt: prompts.Prompt | None
    ) -> float:
        """Return the time to the first event at an idle engine; 0 for a plain service.

        Parameters
        ----------
        prompt : Prompt or None
            The engine is assumed to hold its shared parts.
        """
        if prompt is None:
            return 0.0
        own_tokens = prompt.input_tokens - prompt.shared_tokens
        times = self._fleet.service_times.times_of(service.name)
        return times.expected_ms(service_times.Work(missing_tokens=own_tokens))

    async def place(
        self, request: placements.PlacementRequest
    ) -> placements.Placement | placements.Rejection:
        """Return a backend server for a request, after a wait if need be.

        Records the outcome by prompt size if no server has been tried yet.
        """
        if request.prompt is None:
            return await self._place_or_queue(request)
        tokens = request.prompt.input_tokens
        fairness = self._size_fairness
        now_ms = self._fleet.clock.now_ms()
        queued = dataclasses.replace(
            request.queued,
            is_underserved=fairness.is_underserved(request.route, tokens, now_ms),
            memory_tokens=request.prompt.memory_tokens,
            account="" if request.account is None else request.account.name,
        )
        request = dataclasses.replace(request, queued=queued)
        result = await self._place_or_queue(request)
        if not request.tried_servers:
            is_placed = isinstance(result, placements.Placement)
            now_ms = self._fleet.clock.now_ms()
            fairness.record_outcome(request.route, tokens, now_ms, is_placed=is_placed)
        return result

    def place_now(
        self, request: placements.PlacementRequest
    ) -> placements.Placement | None:
        """Return a backend server that has capacity now; None if there is none.

        None also while other requests go before it.
        """
        queue = self._queue_by_service[request.service.name]
        if queue.expected_wait_ms(request.queued, self._fleet.clock.now_ms()):
            return None
        return self._try_place(request)

    def begin_limit_ms(
        self, prompt: prompts.Prompt | None, version: int | None
    ) -> float | None:
        """Return the time by which a request must begin on a version of the weights.

        None without a limit: the version is not outdated, or the service is plain.
        """
        return self._engines.begin_limit_ms(prompt, version)

    def give_back(self, placed: placements.Placement) -> None:
        """Return the permit of a request that was not sent."""
        if placed.permit is not None:
            self._fleet.send_permits.give_back(placed.permit)

    async def _place_or_queue(
        self, request: placements.PlacementRequest
    ) -> placements.Placement | placements.Rejection:
        now_ms = self._fleet.clock.now_ms()
        queue = self._queue_by_service[request.service.name]
        if self._fleet.rate_limits.is_any_limited:
            self._demand.record_interest(request.service.name)
        if not self._usable_servers(request):
            rejection = self._reject_unless_soon_usable(request)
            if rejection is not None:
                return rejection
        if queue.expected_wait_ms(request.queued, now_ms) == 0:
            placed = self._try_place(request)
            if placed is not None:
                return placed
        queue.record_unplaced(request.queued, now_ms)
        if not queue.accepts(request.queued, now_ms):
            return self._reject_busy(request, queue)
        return await self._wait(request, queue)

    def _reject_unless_soon_usable(
        self, request: placements.PlacementRequest
    ) -> placements.Rejection | None:
        """Reject a request if no server will be usable before its latest start time."""
        now_ms = self._fleet.clock.now_ms()
        if not self._matching_entries(request):
            rejection = self._reject_for_version(request)
            if rejection is not None or request.begins_stream:
                return rejection
        remaining_ms = request.queued.latest_start_ms - now_ms
        pause_ms = self._shortest_pause_ms(request)
        if pause_ms is not None and pause_ms < remaining_ms:
            return None
        permit_ms = self._demand.shortest_wait_ms(request)
        if permit_ms is None:
            retry_ms = NO_SERVER_RETRY_MS if pause_ms is None else pause_ms
            return self._reject(request, "no backend server", retry_ms)
        if permit_ms < remaining_ms:
            return None
        return self._reject_for_limits(request, permit_ms)

    def _matching_entries(
        self, request: placements.PlacementRequest
    ) -> tuple[servers.ServerEntry, ...]:
        """Return the ready servers at whose software version a request may run."""
        service = request.service.name
        ready = self._allowed_entries(request)
        if request.software_version is not None:
            return tuple(
                each
                for each in ready
                if each.software_version == request.software_version
                and not self._fleet.liveness.may_have_ended(each.incarnation)
            )
        if not request.begins_stream:
            return ready
        now_ms = self._fleet.clock.now_ms()
        may_begin = self._fleet.stream_versions.may_begin
        allowed = {
            version
            for version in {each.software_version for each in ready}
            if may_begin(service, version, now_ms)
        }
        return tuple(each for each in ready if each.software_version in allowed)

    def _allowed_entries(
        self, request: placements.PlacementRequest
    ) -> tuple[servers.ServerEntry, ...]:
        """Return the ready servers in the data centres that may get a request."""
        return self._fleet.sendable_entries(
            request.service.name, request.allowed_regions
        )

    def _reject_for_version(
        self, request: placements.PlacementRequest
    ) -> placements.Rejection | None:
        """Reject a request for which no server has a suitable software version.

        None if a version is about to be listed, and a stream that begins can wait.
        """
        if request.software_version is not None:
            return self._reject(request, NO_VERSION_REASON, None)
        if self._allowed_entries(request):
            return None
        return self._reject(request, "no backend server", NO_SERVER_RETRY_MS)

    async def run(self) -> None:
        """Try queued requests again at intervals, until cancelled."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            await self._fleet.clock.sleep(QUEUE_RETRY_INTERVAL_MS)
            for service in tuple(self._queue_by_service):
                try:
                    self.start_queued(service)
                except Exception:
                    # The requests of all services depend on this task.
                    _LOG.exception("queued requests not started", service=service)
                    self._has_waiting.set()

    def start_queued(self, service: deployment.ServiceName) -> None:
        """Start the queued requests of a service for which there is capacity.

        Rejects those that are expected to start too late, or all of them if the
        service has no ready server.  A small request may overtake others of its queue
        class (equal timeliness and urgency) that fit on no server now, but none of
        another class: small requests would fill the engines so that more urgent ones,
        or ones that can still be on time, find no capacity until it is too late.  Those
        that may run in some regions only block no others, which have room elsewhere.
        """
        queue = self._queue_by_service[service]
        if not len(queue):
            if self._fleet.rate_limits.is_any_limited:
                self._demand.update(service)
            return
        self._has_waiting.set()
        if not self._fleet.sendable_entries(service):
            self._reject_all(queue)
            return
        now_ms = self._fleet.clock.now_ms()
        for queued in queue.remove_too_late(now_ms):
            request = self._placement_request_by_id[queued.request_id]
            self._resolve(queued.request_id, self._reject_busy(request, queue))
        if self._fleet.rate_limits.is_any_limited:
            self._reject_if_blocked(service, queue)
        self._start_resumed(queue)
        self._start_others(queue, now_ms)
        if self._fleet.rate_limits.is_any_limited:
            self._demand.update(service)

    def _start_others(self, queue: request_queue.RequestQueue, now_ms: int) -> None:
        """Start the queued requests that may run at any software version."""
        blocked: request_queue.QueueClass | None = None
        tried: collections.Counter[bool] = collections.Counter()
        for queued in queue.ordered(now_ms):
            request = self._placement_request_by_id[queued.request_id]
            if request.software_version is not None:
                continue
            queue_class = request_queue.queue_class_of(queued, now_ms)
            if blocked not in (None, queue_class):
                break
            is_bound = request.allowed_regions is not None
            if tried[is_bound] >= MAX_TRIED_PER_PASS:
                if is_bound:
                    continue
                break
            tried[is_bound] += 1
            placed = self._try_place_queued(queued.request_id)
            if placed is not None:
                queue.remove(queued.request_id)
                self._resolve(queued.request_id, placed)
                continue
            if is_bound:
                continue
            is_first = tried[is_bound] == 1
            if is_first and now_ms - queued.arrived_ms > OVERTAKING_LIMIT_MS:
                break
            blocked = queue_class

    def _start_resumed(self, queue: request_queue.RequestQueue) -> None:
        """Start the queued requests that need one software version.

        They go first but block no other request: those of other versions have room
        elsewhere.
        """
        tried_count = 0
        for queued in queue.ordered(self._fleet.clock.now_ms()):
            request = self._placement_request_by_id[queued.request_id]
            if request.software_version is None:
                continue
            if tried_count >= MAX_TRIED_PER_PASS:
                return
            tried_count += 1
            result = self._try_place_queued(queued.request_id)
            if result is None and not self._matching_entries(request):
                result = self._reject_for_version(request)
            if result is not None:
                queue.remove(queued.request_id)
                self._resolve(queued.request_id, result)

    def _try_place_queued(
        self, request_id: ids.RequestId
    ) -> placements.Placement | placements.Rejection | None:
        """Place a queued request; reject it if that fails with an exception.

        Also if no server is left in the regions that may get it.
        """
        request = self._placement_request_by_id[request_id]
        try:
            placed = self._try_place(request)
            is_bound = request.allowed_regions is not None
            if placed or not is_bound or self._allowed_entries(request):
                return placed
            return self._reject_for_version(request)
        except Exception:
            _LOG.exception("request not placed", request=request_id)
            return self._reject(request, "internal error", NO_SERVER_RETRY_MS)

    def _reject_all(self, queue: request_queue.RequestQueue) -> None:
        """Reject all queued requests of a service without a ready backend server."""
        for queued in queue.ordered(self._fleet.clock.now_ms()):
            queue.remove(queued.request_id)
            request = self._placement_request_by_id[queued.request_id]
            rejection = self._reject(request, "no backend server", NO_SERVER_RETRY_MS)
            self._resolve(queued.request_id, rejection)

    def reject_all_queued(self, reason: str, retry_after_ms: int) -> None:
        """Reject the queued requests of all services."""
        for request_id in tuple(self._placement_request_by_id):
            self.reject_queued(request_id, reason, retry_after_ms)

    def reject_queued(
        self, request_id: ids.RequestId, reason: str, retry_after_ms: int
    ) -> None:
        """Reject a request if it is queued."""
        request = self._placement_request_by_id.get(request_id)
        if request is not None:
            self._queue_by_service[request.service.name].remove(request_id)
            rejection = self._reject(request, reason, retry_after_ms)
            self._resolve(request_id, rejection)

    def _reject_if_blocked(
        self, service: deployment.ServiceName, queue: request_queue.RequestQueue
    ) -> None:
        """Reject all queued requests of a service whose servers all have a limit of 0.

        Only trials are sent to them, and a new request can make the next one.
        """
        now_ms = self._fleet.clock.now_ms()
        for entry in self._fleet.sendable_entries(service):
            if self._fleet.rate_limits.limit_of(entry.incarnation) != 0:
                return
            if self._fleet.send_permits.allows(entry.incarnation, now_ms):
                return
        for queued in queue.ordered(now_ms):
            queue.remove(queued.request_id)
            request = self._placement_request_by_id[queued.request_id]
            rejection = self._reject_for_limits(request, send_permits.MAX_WAIT_MS)
            self._resolve(queued.request_id, rejection)

    def _reject_for_limits(
        self, request: placements.PlacementRequest, wait_ms: float
    ) -> placements.Rejection:
        """Reject a request that would wait too long for a permit."""
        retry_ms = request_queue.spread_retry_ms(wait_ms, self._generator.random())
        return self._reject(request, "rate limits of the backend servers", retry_ms)

    async def _wait(
        self,
        request: placements.PlacementRequest,
        queue: request_queue.RequestQueue,
    ) -> placements.Placement | placements.Rejection:
        future: asyncio.Future[placements.Placement | placements.Rejection] = (
            asyncio.get_running_loop().create_future()
        )
        queue.add(request.queued)
        self._has_waiting.set()
        self._future_by_id[request.request_id] = future
        self._placement_request_by_id[request.request_id] = request
        if self._fleet.rate_limits.is_any_limited:
            self._demand.update(request.service.name)
        remaining_ms = request.queued.deadline_ms - self._fleet.clock.now_ms()
        try:
            # Passes over the queue reject requests earlier, but only while they run.
            await asyncio.wait(
                {future}, timeout=max(0, remaining_ms) / clocks.MS_PER_SECOND
            )
            return (
                future.result() if future.done() else self._reject_busy(request, queue)
            )
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_unused(request, future.result())
            raise
        finally:
            queue.remove(request.request_id)
            self._future_by_id.pop(request.request_id, None)
            self._placement_request_by_id.pop(request.request_id, None)

    def _release_unused(
        self,
        request: placements.PlacementRequest,
        result: placements.Placement | placements.Rejection,
    ) -> None:
        """Release the slot and permit of a request whose caller left just then."""
        if isinstance(result, placements.Placement):
            self._fleet.loads.record_end(result.server.server_id, request.request_id)
            self.give_back(result)

    def _resolve(
        self,
        request_id: ids.RequestId,
        result: placements.Placement | placements.Rejection,
    ) -> None:
        future = self._future_by_id.get(request_id)
        if future is None or future.done():
            return
        future.set_result(result)

    def _try_place(
        self, request: placements.PlacementRequest
    ) -> placements.Placement | None:
        now_ms = self._fleet.clock.now_ms()
        queue = self._queue_by_service[request.service.name]
        if not queue.may_start(request.queued, now_ms):
            return None
        usable = self._usable_servers(request)
        placed: placements.Placement | None = None
        if self._fleet.rate_limits.is_any_limited:
            placed = self._place_on(request, self._trial_servers(request, usable))
        if placed is None:
            placed = self._place_on(request, usable)
        if placed is not None:
            queue.record_start(request.queued, now_ms)
        return placed

    def _trial_servers(
        self,
        request: placements.PlacementRequest,
        usable: tuple[servers.ServerEntry, ...],
    ) -> tuple[servers.ServerEntry, ...]:
        """Return the limited servers that the request should try, see `send_permits`.

        None for a request that a server has already failed.
        """
        if request.tried_servers:
            return ()
        now_ms = self._fleet.clock.now_ms()
        return tuple(
            each
            for each in usable
            if self._fleet.send_permits.has_trial(each.incarnation, now_ms)
        )

    def _place_on(
        self,
        request: placements.PlacementRequest,
        usable: tuple[servers.ServerEntry, ...],
    ) -> placements.Placement | None:
        """Place a request on one of some servers; return None if none has capacity.

        A server with which this fails is left out for `FAULTY_SERVER_MS`.
        """
        tried = usable
        if self._left_out_until_ms:
            now_ms = self._fleet.clock.now_ms()
            tried = tuple(
                each
                for each in usable
                if now_ms >= self._left_out_until_ms.get(each.incarnation, now_ms)
            )
        if not tried:
            return None
        try:
            return self._place_on_best(request, tried)
        except Exception as error:
            for each in tried:
                self._fleet.loads.record_end(each.server_id, request.request_id)
            return self._place_on_any(request, tried, error)

    def _place_on_any(
        self,
        request: placements.PlacementRequest,
        tried: tuple[servers.ServerEntry, ...],
        failure: Exception,
    ) -> placements.Placement | None:
        """Try servers one by one, after an exception with all of them together.

        It is raised again if each server fails by itself: then the request is at fault.
        """
        placed: placements.Placement | None = None
        error_by_server: dict[servers.ServerId, Exception] = {}
        for each in self._generator.sample(tried, len(tried)):
            try:
                placed = self._place_on_best(request, (each,))
            except Exception as error:
                self._fleet.loads.record_end(each.server_id, request.request_id)
                error_by_server[each.server_id] = error
            if placed is not None:
                break
        if len(error_by_server) == len(tried):
            raise failure
        for each in tried:
            if each.server_id in error_by_server:
                self._leave_out(each, error_by_server[each.server_id])
        if not error_by_server:
            _LOG.error("servers fail together only", error=repr(failure))
        return placed

    def _leave_out(self, server: servers.ServerEntry, error: Exception) -> None:
        now_ms = self._fleet.clock.now_ms()
        self._left_out_until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._left_out_until_ms.items()
            if now_ms < until_ms
        }
        self._left_out_until_ms[server.incarnation] = now_ms + FAULTY_SERVER_MS
        _LOG.error(
            "server left out",
            server=server.server_id,
            started_wall_ms=server.started_wall_ms,
            error=repr(error),
        )

    def _place_on_best(
        self,
        request: placements.PlacementRequest,
        usable: tuple[servers.ServerEntry, ...],
    ) -> placements.Placement | None:
        if request.prompt is None or request.service.engine is None:
            return self._plain.place(request, usable)
        return self._engines.place(
            request, request.prompt, request.service.engine, usable
        )

    def _usable_servers(
        self, request: placements.PlacementRequest
    ) -> tuple[servers.ServerEntry, ...]:
        now_ms = self._fleet.clock.now_ms()
        allowed = tuple(
            each
            for each in self._matching_entries(request)
            if each.server_id not in request.tried_servers
            and self._fleet.health.health_of(each).allows(now_ms)
            and not self._fleet.weight_updates.is_loading(each, now_ms)
        )
        if self._fleet.rate_limits.is_any_limited:
            allowed = tuple(
                each
                for each in allowed
                if self._fleet.send_permits.allows(each.incarnation, now_ms)
            )
        if request.prompt is None or request.service.engine is None:
            return allowed
        return self._fleet.target_versions.eligible_replicas(
            allowed,
            request.prompt.model,
            now_ms,
            self._fleet.own_settings.bounds.weights_deadline_ms,
        )

    def _shortest_pause_ms(self, request: placements.PlacementRequest) -> int | None:
        """Return the shortest remaining pause of a server; None if none pauses.

        A full server pauses for a moment.  A service that merely runs at its limit
        should not reject a request that could wait for that.
        """
        now_ms = self._fleet.clock.now_ms()
        pauses_ms = [
            pause_ms
            for each in self._matching_entries(request)
            if each.server_id not in request.tried_servers
            and (
                pause_ms := self._fleet.health.health_of(each).remaining_pause_ms(
                    now_ms
                )
            )
        ]
        return min(pauses_ms, default=None)

    def _reject_busy(
        self,
        request: placements.PlacementRequest,
        queue: request_queue.RequestQueue,
    ) -> placements.Rejection:
        now_ms = self._fleet.clock.now_ms()
        after_ms = queue.retry_after_ms(
            request.queued, now_ms, self._generator.random()
        )
        return self._reject(request, "all backend servers are busy", after_ms)

    def _reject(
        self,
        request: placements.PlacementRequest,
        reason: str,
        retry_after_ms: int | None,
    ) -> placements.Rejection:
        now_ms = self._fleet.clock.now_ms()
        _LOG.info(
            "refused",
            request=request.request_id,
            service=request.service.name,
            reason=reason,
            waited_ms=now_ms - request.queued.arrived_ms,
            chance=request.queued.timeliness(now_ms).name,
            is_owed=request.queued.is_underserved,
            first_ago_ms=now_ms - request.queued.first_attempt_ms,
            prompt=request.prompt.input_tokens if request.prompt else None,
            waiting=len(self._queue_by_service[request.service.name]),
            retry_after_ms=retry_after_ms,
        )
        return placements.Rejection(reason, retry_after_ms)
