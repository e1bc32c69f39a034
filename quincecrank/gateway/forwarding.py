"""Serves one caller's request: route, account, backend server, answer.

Guarantee of 503 answers
    A 503 of this gateway with a time to retry after means that this attempt was not
    run: no byte of it was sent, or each backend server that received it answered that
    it did not run it.  Any other failure leaves open whether it ran (502, or 504 after
    the time limit).  An error answer of a backend server, which may be a 503 without
    this meaning, is passed on as it is.

Limits
    A request ends at its own time limit.  While the gateway shuts down, it ends at the
    latest at the schedule's `answer_limit_ms` if its answer has not begun, else at its
    `cut_limit_ms`.  What has arrived by then is read first.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    active_requests,
    allowed_regions,
    answer_sink,
    cache_part_index,
    callers,
    crash_findings,
    crash_suspicions,
    decision_log,
    deployment,
    dispatcher,
    event_stream,
    failed_request_records,
    fleet_state,
    gateway_metrics,
    placements,
    request_identity,
    request_queue,
    retry_share,
    server_links,
    servers,
    stream_versions,
)
from quincecrank.platform import answers, requests

CONNECT_TIMEOUT_MS: Final = 250
"""Time limit for opening a connection: many round trips inside one region.  A live
server accepts a connection within one."""

MAX_SAFE_IDLE_MS: Final = 1_500
"""Longest idle time of a link that carries a request that may not be repeated: if
the server closes the idle link meanwhile, the request's outcome is unknown."""

MAX_IDLE_MS: Final = 8_000
"""Longest idle time of a link that carries a request that may be repeated."""

MAX_REFUSALS: Final = 3
"""Refusals by backend servers after which a request is not sent again."""

NOT_READY_RETRY_MS: Final = 500
"""Retry-after time while the configuration or the backend servers are not known."""

OUTDATED_RETRY_MS: Final = 50
"""Retry-after time while the configuration is outdated: another gateway can serve the
request at once."""

LEAVING_REASON: Final = "leaving"
LEAVING_RETRY_MS: Final = 50
"""Retry-after time while this gateway shuts down; another one can serve the request
at once."""

CRASHING_REQUEST_RETRY_MS: Final = crash_findings.RETEST_DELAYS_MS[0]
"""Retry-after time of a request that a crash finding rejects."""

UNKNOWN_VERSION_REASON: Final = (
    "the stream can't be resumed, begin a new one: its software version is not known"
)
VERSIONS_RETRY_MS: Final = 300
"""Retry-after time of resumed streams while listings or records are not read yet."""

CRASH_REASON: Final = "the request crashes backend servers"

MAX_SILENT_FRACTION: Final = 0.4
"""A repeatable request that makes no progress for this fraction of its total time is
sent to another server too, if it may be."""

STREAM_SILENCE_MS: Final = 1_200
"""Shortest silence after which a resumable stream is sent to another server too; three
times the route's target if that is longer.  Callers disconnect after two seconds."""

FETCH_TIMEOUT_MS: Final = 2_000
"""Time after which an engine abandons a fetch of cached prompt parts; computing the
longest prompt takes less."""

MAX_READ_MS: Final = 200
"""Longest time in which what a server has sent is read after a time limit."""

WRITE_CHECK_MS: Final = 5
"""Interval at which that looks whether the caller takes what was passed on."""

WATCH_INTERVAL_MS: Final = 100
"""Interval of the checks for silence and deadline during an exchange."""

_SERVER_ERROR: Final = 500

END_MARGIN_MS: Final = 20
"""Time before the time limit at which the final answer is sent."""

_LOG: Final = decision_log.logger("forwarding")


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One send of a request to a backend server, and its answer.

    Attributes
    ----------
    running : Future
        Done when the exchange has ended.
    predecessor : _Exchange or None
        Exchange with a silent server that ends once this one succeeds; None for the
        exchange whose answer is passed on.
    predecessor_progress : int
        `progress_count` of the silent server's answer when this one was sent.
    is_superseded : bool
        Whether another exchange goes on in its place.
    was_abandoned : bool
        Whether its link was closed before it had ended.
    is_withdrawn : bool
        Whether that was done because it had not begun on outdated weights in time.
    concluded : Event
        Set once it has ended without an answer, so that a successor may go on.
    """

    placement: placements.Placement
    link: server_links.Link
    sink: answer_sink.AnswerSink
    running: "asyncio.Future[server_links.ExchangeOutcome]"
    sent_ms: int
    predecessor: "_Exchange | None" = None
    predecessor_progress: int = 0
    is_superseded: bool = False
    was_abandoned: bool = False
    is_withdrawn: bool = False
    concluded: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def outcome(self) -> server_links.ExchangeOutcome:
        """Outcome of an exchange that has ended."""
        if self.was_abandoned:
            return server_links.ExchangeOutcome.ABANDONED
        return self.running.result()

    @property
    def has_gone_on(self) -> bool:
        """Whether the silent server has made progress since this exchange began."""
        assert self.predecessor is not None
        return self.predecessor.sink.progress_count != self.predecessor_progress


@dataclasses.dataclass(slots=True)
class _Succession:
    """What another server does for a request while the one that has it is silent.

    Attributes
    ----------
    opening : Task or None
        Sends the request to another server; its result is None if there is none.
    exchange : _Exchange or None
        Exchange with that server.
    """

    opening: "asyncio.Task[_Exchange | None] | None" = None
    exchange: _Exchange | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the request is at one server only."""
        return self.opening is None and self.exchange is None

    @property
    def waits_for(self) -> "asyncio.Future[Any] | None":
        """What ends next, if anything is under way."""
        return self.exchange.running if self.exchange is not None else self.opening


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    fleet : FleetState
        State of the fleet as this gateway knows it.
    request_dispatcher : Dispatcher
        Chooses backend servers and queues requests.
    crashes : CrashSuspicions
        Crashes by request, shared with the peers.
    metrics : GatewayMetrics
        Metrics of this process.
    generator : Random
        Draws the service of a request among the targets of its route.

    Attributes
    ----------
    check_server : callable
        Called when a server has ended an answer before it was complete.
    is_running : callable
        Returns whether a server still accepts connections.
    claim_retest : callable
        Returns whether a request that a crash finding rejects may be sent as a retest.
    may_add_link : callable
        Returns whether there is a descriptor for a second link of a request.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        request_dispatcher: dispatcher.Dispatcher,
        crashes: crash_suspicions.CrashSuspicions,
        metrics: gateway_metrics.GatewayMetrics,
        generator: random.Random,
    ) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._dispatcher = request_dispatcher
        self._crashes = crashes
        self._metrics = metrics
        self._generator = generator
        self.check_server: Callable[[servers.ServerEntry], None] = _ignore_server
        self.is_running: Callable[[servers.ServerEntry], Awaitable[bool]] = (
            _assume_running
        )
        self.claim_retest: Callable[[crash_findings.Finding], Awaitable[bool]] = (
            _claim_no_retest
        )
        self.may_add_link: Callable[[], bool] = _always
        self._local_ids: set[ids.RequestId] = set()
        self._duplicate_count = 0
        self._unplaced_by_id: dict[ids.RequestId, active_requests.ActiveRequest] = {}
        self._retry_budget_by_service: dict[
            deployment.ServiceName, retry_share.RetryBudgetShare
        ] = {}

    async def handle(
        self, request: callers.CallerRequest, answer: callers.CallerAnswer
    ) -> None:
        """Answer one request; no failure escapes except cancellation."""
        try:
            active = self._admit(request, answer)
        except Exception:
            # Nothing was sent, so the answer is true.
            _LOG.exception("request not admitted")
            if not answer.has_begun:
                self._send_own_answer(
                    answer, "", 503, "internal error", NOT_READY_RETRY_MS
                )
            return
        if active is None:
            return
        self._local_ids.add(active.local_id)
        try:
            await self._serve(active)
        except asyncio.CancelledError:
            self._log_end(active, "caller left")
            raise
        except callers.CallerDisconnectedError:
            self._log_end(active, "caller left")
        except Exception:
            _LOG.exception("request failed", request=active.caller_headers.request_id)
            # The failure may have happened after the request was sent.
            active.may_have_run = True
            self._fail(active, "internal error", request_queue.MIN_RETRY_AFTER_MS)
        finally:
            self._local_ids.discard(active.local_id)

    def _make_local_id(self, request_id: ids.RequestId) -> ids.RequestId:
        """Return the caller's id of a request, or a unique one if that is in use."""
        if request_id and request_id not in self._local_ids:
            return request_id
        self._duplicate_count += 1
        return ids.RequestId(f"{request_id}#{self._duplicate_count}")

    def _admit(
        self, request: callers.CallerRequest, answer: callers.CallerAnswer
    ) -> active_requests.ActiveRequest | None:
        """Return the active request, or answer it and return None.

        Requests are rejected here for bad headers, missing fleet state, or an unknown
        route, API key or service.
        """
        self._fleet.receive_waiting()
        current = self._fleet.configuration
        try:
            caller_headers = requests.decode(request.headers)
        except requests.HeaderError as error:
            self._send_own_answer(answer, "", 400, str(error))
            return None
        if not answer.has_descriptor:
            answer.closes_connection = True
            self._send_own_answer(
                answer,
                caller_headers.request_id,
                503,
                "no free descriptor",
                callers.RETRY_MS,
            )
            return None
        if current is None or not self._fleet.is_complete:
            self._send_own_answer(
                answer, caller_headers.request_id, 503, "not ready", NOT_READY_RETRY_MS
            )
            return None
        if not self._fleet.may_serve():
            self._reject_outdated(
                answer,
                caller_headers.request_id,
                "configuration outdated",
                OUTDATED_RETRY_MS,
            )
            return None
        route = current.find_route(caller_headers.host, request.path)
        if route is None:
            self._refuse(answer, caller_headers.request_id, 404, "no route")
            return None
        account = current.find_account(caller_headers.api_key)
        if account is None and current.requires_keys and not route.is_public:
            self._refuse(answer, caller_headers.request_id, 401, "unknown key")
            return None
        stream = request_identity.stream_key(route, caller_headers, account)
        service = self._draw_service(current, route, stream)
        if service is None:
            self._send_own_answer(
                answer, caller_headers.request_id, 503, "no service", NOT_READY_RETRY_MS
            )
            return None
        allowed_ms = route.timeout_ms
        if caller_headers.remaining_ms is not None:
            allowed_ms = min(allowed_ms, caller_headers.remaining_ms)
        fingerprint = request_identity.fingerprint(request, account)
        key, first_attempt_ms = None, request.received_ms
        if caller_headers.prompt is not None:
            key = failed_request_records.request_key(fingerprint, caller_headers.prompt)
            first_attempt_ms = self._fleet.failed_requests.first_attempt_ms(
                key, first_attempt_ms
            )
        return active_requests.ActiveRequest(
            request=request,
            answer=answer,
            caller_headers=caller_headers,
            local_id=self._make_local_id(caller_headers.request_id),
            route=route,
            service=service,
            account=account,
            deadline_ms=request.received_ms + allowed_ms - END_MARGIN_MS,
            subject=crash_suspicions.Subject(
                fingerprint, crash_findings.part_keys(caller_headers.prompt)
            ),
            key=key,
            first_attempt_ms=first_attempt_ms,
            event_splitter=event_stream.EventSplitter(
                caller_headers.resume_after
                if route.is_stream and route.is_resumable
                else None
            ),
            stream=stream,
        )

    async def _serve(self, active: active_requests.ActiveRequest) -> None:
        if active.is_resumed and not self._find_software_version(active):
            return
        finding = self._crashes.finding_against(active.subject)
        if finding is not None:
            active.is_retest = await self.claim_retest(finding)
        while not active.answer.has_ended:
            if self._reject_crashing(active) or self._reject_leaving(active):
                return
            placement = await self._place(active)
            if isinstance(placement, placements.Rejection):
                self._fail(active, placement.reason, placement.retry_after_ms)
                return
            if await self._attempt(active, placement) or self._reject_crashing(active):
                return
            if self._reject_leaving(active):
                return
            reason = self._spend_retry(active)
            if reason is not None:
                self._fail(active, reason, request_queue.MIN_RETRY_AFTER_MS)
                return

    def _find_software_version(self, active: active_requests.ActiveRequest) -> bool:
        """Find the version of a resumed stream; reject the request if it has none."""
        service = active.service.name
        present = {
            each.software_version
            for each in self._fleet.registry.entries()
            if each.service == service
        }
        version = self._fleet.stream_versions.version_of(
            service, active.stream, present, self._clock.now_ms()
        )
        is_unknown = isinstance(version, stream_versions.Resumption)
        _LOG.info(
            "stream resumed by its caller",
            request=active.caller_headers.request_id,
            first_attempt=active.caller_headers.first_attempt_id,
            after=active.caller_headers.resume_after,
            software=None if is_unknown else version,
            present=sorted(present),
        )
        if isinstance(version, stream_versions.Resumption):
            self._metrics.record_resumption(version.value)
            is_loading = version is stream_versions.Resumption.NOT_LOADED
            retry_ms = VERSIONS_RETRY_MS if is_loading else None
            self._fail(active, UNKNOWN_VERSION_REASON, retry_ms)
            return False
        self._metrics.record_resumption("known")
        active.software_version = version
        return True

    def _record_stream(
        self, active: active_requests.ActiveRequest, server: servers.ServerEntry
    ) -> None:
        """Record at which software version a stream has events."""
        if not active.route.is_resumable or active.is_stream_recorded:
            return
        active.is_stream_recorded = True
        current = self._fleet.registry.find(server.server_id)
        is_replaced = current is not None and current.incarnation != server.incarnation
        may_have_ended = self._fleet.liveness.may_have_ended(server.incarnation)
        if is_replaced or may_have_ended:
            # It has started again, maybe before it got the request.
            active.software_version = servers.UNKNOWN_SOFTWARE
            return
        if active.software_version is None:
            active.software_version = server.software_version
        if active.stream is not None:
            self._fleet.stream_versions.record_begin(
                stream_versions.Record(
                    active.service.name, active.stream, active.software_version
                ),
                self._clock.now_ms(),
            )

    async def _place(
        self, active: active_requests.ActiveRequest
    ) -> placements.Placement | placements.Rejection:
        request_id = active.local_id
        self._unplaced_by_id[request_id] = active
        try:
            return await self._dispatcher.place(self._placement_request(active))
        finally:
            self._unplaced_by_id.pop(request_id, None)

    def reject_crashing(self) -> None:
        """Reject the queued requests that a crash finding concerns."""
        for request_id, active in tuple(self._unplaced_by_id.items()):
            if self._is_rejected(active):
                self._dispatcher.reject_queued(
                    request_id, CRASH_REASON, CRASHING_REQUEST_RETRY_MS
                )

    def _is_rejected(self, active: active_requests.ActiveRequest) -> bool:
        """Return whether a crash finding rejects a request."""
        if active.is_retest:
            return False
        return self._crashes.finding_against(active.subject) is not None

    def _reject_crashing(self, active: active_requests.ActiveRequest) -> bool:
        """Answer a request that a crash finding rejects; return False if none does."""
        if not self._is_rejected(active):
            return False
        finding = self._crashes.finding_against(active.subject)
        assert finding is not None
        _LOG.info(
            "crashing request rejected",
            request=active.caller_headers.request_id,
            suspect=finding.scope.key,
            servers=list(finding.servers),
        )
        self._metrics.record_crash_rejection()
        self._fail(active, CRASH_REASON, CRASHING_REQUEST_RETRY_MS)
        return True

    def reject_leaving(self) -> None:
        """Reject the queued requests that can't end before this process does."""
        for request_id, active in tuple(self._unplaced_by_id.items()):
            if not self._may_begin(active):
                self._dispatcher.reject_queued(
                    request_id, LEAVING_REASON, LEAVING_RETRY_MS
                )

    def _may_begin(self, active: active_requests.ActiveRequest) -> bool:
        """Return whether an answer that begins now can end before this process does."""
        shutdown = self._fleet.shutdown
        if shutdown is None:
            return True
        now_ms = self._clock.now_ms()
        remaining_ms = active.deadline_ms - now_ms
        prompt = active.caller_headers.prompt
        answer_time = self._fleet.answer_times.time_of(
            active.route.name, prompt.output_tokens if prompt else 0
        )
        if active.answer.has_begun:
            return shutdown.may_resume(
                now_ms, remaining_ms, active.rest_ms(answer_time)
            )
        return shutdown.may_begin(
            now_ms, remaining_ms, answer_time, may_repeat=active.route.may_repeat
        )

    def _reject_leaving(self, active: active_requests.ActiveRequest) -> bool:
        """Answer a request that can't end in time; return False if it may begin."""
        if active.answer.has_ended or self._may_begin(active):
            return False
        self._fail(active, LEAVING_REASON, LEAVING_RETRY_MS)
        return True

    def _deadline_ms(self, active: active_requests.ActiveRequest) -> int:
        """Return the time at which a request is ended, whether answered or not."""
        shutdown = self._fleet.shutdown
        if shutdown is None:
            return active.deadline_ms
        if active.answer.has_begun:
            return min(active.deadline_ms, shutdown.cut_limit_ms)
        return min(active.deadline_ms, shutdown.answer_limit_ms)

    def _work_limit_ms(self, active: active_requests.ActiveRequest) -> int:
        """Return the time until which a server may work on a request."""
        shutdown = self._fleet.shutdown
        if shutdown is None or not active.route.is_stream:
            return self._deadline_ms(active)
        return min(active.deadline_ms, shutdown.cut_limit_ms)

    async def _attempt(
        self, active: active_requests.ActiveRequest, placement: placements.Placement
    ) -> bool:
        """Send the request to a server; return whether the caller was answered.

        While that server is silent, the request may go on at another one.
        """
        exchange = await self._begin_exchange(active, placement)
        while exchange is not None:
            outcome, successor = await self._run_exchange(active, exchange)
            is_done = True
            try:
                is_done = await self._conclude(active, exchange, outcome)
                # The other server may have given a final answer.
                is_done = is_done or active.answer.has_ended
            finally:
                if successor is not None and (is_done or successor.sink.is_stopped):
                    await self._withdraw(active, successor)
                    successor = None
            if successor is not None:
                successor.predecessor = None
                exchange.concluded.set()
            if is_done:
                return True
            exchange = successor
        return False

    async def _begin_exchange(
        self,
        active: active_requests.ActiveRequest,
        placement: placements.Placement,
        predecessor: _Exchange | None = None,
    ) -> _Exchange | None:
        """Send the request to a server; None if it could not be sent.

        Parameters
        ----------
        predecessor : _Exchange or None
            Exchange with a silent server, which ends once this one succeeds.
        """
        exchange: _Exchange | None = None
        try:
            link = await self._acquire_link(active, placement)
            if link is None:
                return None
            if predecessor is not None and not self._may_follow(active, predecessor):
                self._fleet.links.release(placement.server, link)
                self._dispatcher.give_back(placement)
                active.tried_servers.discard(placement.server.server_id)
                return None
            exchange = self._send(active, placement, link, predecessor)
            return exchange
        finally:
            if exchange is None:
                self._release(active, placement)

    def _may_follow(
        self, active: active_requests.ActiveRequest, predecessor: _Exchange
    ) -> bool:
        """Spend a retry if a server is still silent; return whether both hold."""
        now_ms = self._clock.now_ms()
        if predecessor.running.done():
            return False
        if not self._is_silent(active, predecessor, now_ms):
            return False
        return self._retry_budget(active.service.name).try_retry(
            now_ms, self._fleet.gateway_count
        )

    async def _acquire_link(
        self, active: active_requests.ActiveRequest, placement: placements.Placement
    ) -> server_links.Link | None:
        """Return a link on which the request may be sent now; None if there is none."""
        server = placement.server
        active.tried_servers.add(server.server_id)
        link = await self._open_link(active, server)
        if link is None:
            return None
        may_send = self._may_begin(active) and self._fleet.may_send_to(server)
        if self._is_rejected(active) or not may_send:
            # That has changed while the request waited for a server or link.
            self._fleet.links.release(server, link)
            return None
        if not self._fleet.send_permits.may_send(
            server.incarnation, placement.permit, self._clock.now_ms()
        ):
            # Its permit has expired, or the server has named a limit meanwhile.
            active.tried_servers.discard(server.server_id)
            self._fleet.links.release(server, link)
            return None
        return link

    def _send(
        self,
        active: active_requests.ActiveRequest,
        placement: placements.Placement,
        link: server_links.Link,
        predecessor: _Exchange | None,
    ) -> _Exchange:
        server = placement.server
        now_ms = self._clock.now_ms()
        self._fleet.health.health_of(server).record_send(now_ms)
        if active.sends == 0:
            self._retry_budget(active.service.name).record_first_send(now_ms)
        active.sends += 1
        if active.route.is_stream and placement.weights_version is not None:
            self._fleet.begin_delays.record_send(
                server.server_id, active.local_id, now_ms
            )

        def handle_head(head: answers.AnswerHead) -> None:
            self._fleet.record_bytes(server, link.opened_ms)
            self._record_head(active, server, head, now_ms)

        def handle_events() -> None:
            self._fleet.record_bytes(server, link.opened_ms)
            self._record_stream(active, server)

        async def take_over() -> bool:
            return await self._supersede(active, exchange)

        sink = answer_sink.AnswerSink(
            active,
            self._clock,
            handle_head,
            take_over,
            lambda: self._record_begin(active, server),
            handle_events,
            lambda: self._crashes.record_answer(active.subject, self._clock.now_ms()),
        )
        outgoing = self._outgoing(active, placement)
        running = asyncio.ensure_future(link.exchange(outgoing, sink, self._clock))
        exchange = _Exchange(
            placement,
            link,
            sink,
            running,
            now_ms,
            predecessor,
            0 if predecessor is None else predecessor.sink.progress_count,
        )
        return exchange

    async def _supersede(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> bool:
        """End the exchange with the silent server: the next one has made progress.

        Returns whether the answer of the next one is the one to pass on.
        """
        predecessor = exchange.predecessor
        if predecessor is not None and predecessor.running.done():
            # Whether it has ended well decides.
            await predecessor.concluded.wait()
            predecessor = exchange.predecessor
        if predecessor is None:
            return True
        if exchange.has_gone_on:
            return False
        exchange.predecessor = None
        predecessor.is_superseded = True
        predecessor.sink.stop()
        if not predecessor.running.done():
            predecessor.was_abandoned = True
            predecessor.link.close()
        active.event_splitter.drop_partial_event()
        _LOG.info(
            "silent server replaced",
            request=active.caller_headers.request_id,
            server=predecessor.placement.server.server_id,
            next_server=exchange.placement.server.server_id,
            silent_ms=self._clock.now_ms() - predecessor.sink.progress_ms,
        )
        return True

    def _record_begin(
        self, active: active_requests.ActiveRequest, server: servers.ServerEntry
    ) -> None:
        """Record the first part of an answer."""
        request_id = active.local_id
        self._fleet.loads.record_prefill_end(server.server_id, request_id)
        self._fleet.begin_delays.record_begin_or_end(
            server.server_id, request_id, self._clock.now_ms()
        )

    def _withdraw_if_late(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> None:
        """Withdraw a stream that has not begun on outdated weights in time.

        Its engine drops it when the connection closes.  The answer of another route
        doesn't show when it began.
        """
        placement, sink = exchange.placement, exchange.sink
        if not active.route.is_stream or sink.first_part_ms is not None:
            return
        if sink.head is not None and not sink.head.is_success:
            return
        limit_ms = self._dispatcher.begin_limit_ms(
            active.caller_headers.prompt, placement.weights_version
        )
        now_ms = self._clock.now_ms()
        if limit_ms is None or now_ms < limit_ms or exchange.running.done():
            return
        if exchange.link.has_arrived:
            return
        exchange.is_withdrawn = exchange.was_abandoned = True
        exchange.link.close()
        _LOG.info(
            "request withdrawn from outdated weights",
            request=active.caller_headers.request_id,
            server=placement.server.server_id,
            weights=placement.weights_version,
            sent_ago_ms=now_ms - exchange.sent_ms,
            late_ms=round(now_ms - limit_ms),
        )

    def _release(
        self, active: active_requests.ActiveRequest, placement: placements.Placement
    ) -> None:
        """Release the capacity that a request had at a server."""
        server_id = placement.server.server_id
        request_id = active.local_id
        try:
            self._fleet.loads.record_end(server_id, request_id)
            self._fleet.begin_delays.record_begin_or_end(
                server_id, request_id, self._clock.now_ms()
            )
            self._dispatcher.start_queued(active.service.name)
        except Exception:
            # This request must not fail because of those that wait behind it.
            _LOG.exception("queued requests not started", service=active.service.name)

    def _record_head(
        self,
        active: active_requests.ActiveRequest,
        server: servers.ServerEntry,
        head: answers.AnswerHead,
        sent_ms: int,
    ) -> None:
        """Record what an answer's head states about its server's condition.

        Parameters
        ----------
        sent_ms : int
            Time at which the request was sent.
        """
        now_ms = self._clock.now_ms()
        self._record_rate_limit(active, server, head, sent_ms)
        self._fleet.record_cold_answer(server, head.cold_ms)
        if head.is_leaving:
            self._fleet.mark_leaving(server.incarnation, is_direct=True)
        if head.pause_ms is not None:
            self._fleet.health.health_of(server).record_pause_request(
                now_ms, head.pause_ms
            )
            _LOG.info(
                "server wants a pause",
                server=server.server_id,
                pause_ms=head.pause_ms,
            )

    def _record_rate_limit(
        self,
        active: active_requests.ActiveRequest,
        server: servers.ServerEntry,
        head: answers.AnswerHead,
        sent_ms: int,
    ) -> None:
        if head.unreadable_rate_limit is not None:
            _LOG.warning(
                "unreadable rate limit",
                request=active.caller_headers.request_id,
                server=server.server_id,
                value=head.unreadable_rate_limit,
            )
            return
        # A misdirected request was answered by another server.
        if head.actual_server not in (None, server.server_id):
            return
        if self._fleet.record_rate_limit(
            server.incarnation, head.rate_limit_per_s, sent_ms
        ):
            _LOG.info(
                "rate limit changed by an answer",
                request=active.caller_headers.request_id,
                server=server.server_id,
                status=head.status,
                per_second=head.rate_limit_per_s,
            )

    async def _open_link(
        self, active: active_requests.ActiveRequest, server: servers.ServerEntry
    ) -> server_links.Link | None:
        """Return an idle or new link; None if the server can't be reached."""
        pool = self._fleet.links
        max_idle_ms = MAX_IDLE_MS if active.route.may_repeat else MAX_SAFE_IDLE_MS
        request_id = active.caller_headers.request_id
        link = pool.acquire_idle(server, max_idle_ms, request_id)
        if link is not None:
            return link
        remaining_ms = active.deadline_ms - self._clock.now_ms()
        try:
            return await pool.connect(server, min(CONNECT_TIMEOUT_MS, remaining_ms))
        except (OSError, TimeoutError) as error:
            health = self._fleet.health.health_of(server)
            was_cut_short = remaining_ms < CONNECT_TIMEOUT_MS
            if not isinstance(error, TimeoutError) or not was_cut_short:
                health.mark_unreachable(self._clock.now_ms())
            if server_links.is_refused_connection(error):
                self._fleet.record_refusal(server)
            _LOG.warning(
                "server unreachable",
                request=active.caller_headers.request_id,
                server=server.server_id,
                error=repr(error),
            )
            return None

    def _outgoing(
        self, active: active_requests.ActiveRequest, placement: placements.Placement
    ) -> server_links.OutgoingRequest:
        request = active.request
        remaining_ms = max(1, self._work_limit_ms(active) - self._clock.now_ms())
        transfers = placement.transfers
        gateway_headers = requests.GatewayHeaders(
            server_id=placement.server.server_id,
            remaining_ms=remaining_ms,
            account=active.account.name if active.account else None,
            urgency=active.urgency
            if active.caller_headers.prompt is not None
            else None,
            cache_salt=placement.salt,
            expected_weights=placement.weights_version,
            fetch_from=transfers.fetch_from or None,
            save_to=transfers.save_to or None,
            fetch_until_wall_ms=self._fetch_deadline_ms(placement),
            resume_after=active.event_splitter.last_id,
        )
        body_bytes = len(request.body) if request.has_body else None
        headers = requests.encode(request.headers, gateway_headers, body_bytes)
        return server_links.OutgoingRequest(
            request.method,
            request.target,
            headers,
            request.body,
            active.caller_headers.request_id,
        )

    def _fetch_deadline_ms(self, placement: placements.Placement) -> int | None:
        """Return the time, in ms of the engine's clock, at which it abandons its fetch.

        None if nothing is fetched, or if the engine's clock is not known.
        """
        if not any(placement.transfers.fetch_from):
            return None
        holder = cache_part_index.HolderName(placement.server.server_id)
        clock_ms = self._fleet.holder_clock_ms(holder)
        return None if clock_ms is None else clock_ms + FETCH_TIMEOUT_MS

    async def _run_exchange(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> tuple[server_links.ExchangeOutcome, _Exchange | None]:
        """Run an exchange until it ends, is superseded or reaches the deadline.

        Returns its outcome, `ABANDONED` in the last two cases, and the exchange with
        another server that goes on, None if there is none.  While the server is silent,
        the request is sent to another one if one has capacity and a retry is allowed;
        the first of both that makes progress is kept.
        """
        succession = _Succession()
        is_kept = False
        try:
            while not exchange.running.done() and not exchange.is_superseded:
                if self._clock.now_ms() >= self._deadline_ms(active):
                    await self._handle_arrived(exchange, succession.exchange)
                    # An answer that has begun meanwhile has a later limit.
                    if self._clock.now_ms() >= self._deadline_ms(active):
                        break
                if active.answer.has_ended:
                    break  # The other server has given a final answer.
                await self._watch(active, exchange, succession)
            outcome = server_links.ExchangeOutcome.ABANDONED
            if exchange.running.done():
                outcome = exchange.outcome
            is_kept = succession.opening is None
            return outcome, succession.exchange if is_kept else None
        finally:
            try:
                await self._end_exchange(active, exchange)
            finally:
                if not is_kept:
                    await self._end_succession(active, succession)

    async def _handle_arrived(
        self, exchange: _Exchange, successor: _Exchange | None
    ) -> None:
        """Let exchanges handle what their servers have sent by now."""
        until_ms = self._clock.now_ms() + MAX_READ_MS
        for each in (exchange, successor):
            while (
                each is not None
                and not each.running.done()
                and each.link.has_arrived
                and self._clock.now_ms() < until_ms
            ):
                await self._clock.sleep(WRITE_CHECK_MS if each.sink.is_writing else 0)

    async def _watch(
        self,
        active: active_requests.ActiveRequest,
        exchange: _Exchange,
        succession: _Succession,
    ) -> None:
        """Wait for progress; send the request to another server if there is none."""
        now_ms = self._clock.now_ms()
        if succession.is_empty and self._is_silent(active, exchange, now_ms):
            succession.opening = asyncio.ensure_future(
                self._send_to_another(active, exchange)
            )
        for each in (exchange, succession.exchange):
            if each is not None:
                self._withdraw_if_late(active, each)
        await self._wait_for_progress(active, exchange, succession.waits_for)
        opening = succession.opening
        if opening is not None:
            if opening.done():
                succession.opening, succession.exchange = None, opening.result()
                if succession.is_empty:
                    await self._wait_for_progress(active, exchange, None)
            return
        successor = succession.exchange
        if successor is None or exchange.is_superseded:
            return
        if successor.has_gone_on:
            _LOG.info(
                "silent server went on",
                request=active.caller_headers.request_id,
                server=exchange.placement.server.server_id,
            )
            await self._withdraw(active, successor)
            succession.exchange = None
        elif successor.running.done() and not exchange.running.done():
            await self._end_exchange(active, successor)
            succession.exchange = None
            await self._conclude_successor(active, successor)

    async def _withdraw(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> None:
        """End an exchange that is not needed any more; it may have run the request."""
        active.may_have_run = True
        server = exchange.placement.server
        self._fleet.health.health_of(server).record_withdrawal()
        await self._end_exchange(active, exchange)

    async def _end_succession(
        self, active: active_requests.ActiveRequest, succession: _Succession
    ) -> None:
        opening = succession.opening
        if opening is not None:
            opening.cancel()
            await asyncio.wait({opening})
            if not opening.cancelled():
                succession.exchange = opening.result()
        if succession.exchange is not None:
            await self._withdraw(active, succession.exchange)

    async def _wait_for_progress(
        self,
        active: active_requests.ActiveRequest,
        exchange: _Exchange,
        other: "asyncio.Future[Any] | None",
    ) -> None:
        """Wait for the end of an exchange, at most for `WATCH_INTERVAL_MS`."""
        remaining_ms = max(0, self._deadline_ms(active) - self._clock.now_ms())
        wait_s = min(WATCH_INTERVAL_MS, remaining_ms) / clocks.MS_PER_SECOND
        running: set[asyncio.Future[Any]] = {exchange.running}
        if other is not None:
            running.add(other)
        await asyncio.wait(running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)

    async def _send_to_another(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> _Exchange | None:
        """Send a request to another server while the one that has it is silent.

        None if no server has capacity, or if the request must not be sent again; the
        silent server keeps the request.
        """
        budget = self._retry_budget(active.service.name)
        now_ms = self._clock.now_ms()
        if self._retry_obstacle(active, may_have_run=True) is not None:
            return None
        if not budget.allows_retry(now_ms, self._fleet.gateway_count):
            return None
        if not self.may_add_link():
            return None
        try:
            placement = self._dispatcher.place_now(self._placement_request(active))
            if placement is None:
                return None
            return await self._begin_exchange(active, placement, exchange)
        except Exception:
            # The silent server's answer must not end because of another server.
            _LOG.exception(
                "not sent to another server", request=active.caller_headers.request_id
            )
            return None

    async def _conclude_successor(
        self, active: active_requests.ActiveRequest, failed: _Exchange
    ) -> None:
        """Conclude an ended exchange while the silent server keeps the request."""
        try:
            outcome = failed.outcome
        except Exception:
            _LOG.exception("exchange failed", request=active.caller_headers.request_id)
            outcome = server_links.ExchangeOutcome.ABANDONED
        await self._conclude(active, failed, outcome)

    async def _end_exchange(
        self, active: active_requests.ActiveRequest, exchange: _Exchange
    ) -> None:
        """End an exchange, and release its link and the capacity at its server."""
        if not exchange.running.done():
            active.unread_bytes = exchange.link.unread_bytes
            exchange.sink.stop()
            # The server aborts the request when its connection closes.
            exchange.link.close()
            exchange.running.cancel()
        try:
            if not exchange.running.done():
                await asyncio.wait({exchange.running})
        finally:
            self._fleet.links.release(exchange.placement.server, exchange.link)
            self._release(active, exchange.placement)

    def _is_silent(
        self,
        active: active_requests.ActiveRequest,
        exchange: _Exchange,
        now_ms: int,
    ) -> bool:
        """Return whether a request makes no progress and may go to another server.

        Its server may be sound all the same, so it keeps the request until another
        server has begun to answer.  If this process stood still, bytes may have arrived
        that it has not read yet.
        """
        sink = exchange.sink
        if (
            not active.route.may_repeat
            or sink.is_writing
            or active.possible_runs >= active.route.max_attempts
        ):
            return False
        silent_ms = now_ms - sink.progress_ms
        if active.route.is_stream:
            limit_ms: float = max(STREAM_SILENCE_MS, 3 * active.route.target_ms)
        else:
            total_ms = active.deadline_ms - active.request.received_ms
            limit_ms = total_ms * MAX_SILENT_FRACTION
        return silent_ms > limit_ms and not exchange.link.has_arrived

    async def _conclude(
        self,
        active: active_requests.ActiveRequest,
        exchange: _Exchange,
        outcome: server_links.ExchangeOutcome,
    ) -> bool:
        """Record the outcome of an exchange; return whether the caller was answered."""
        placement, sink, sent_ms = exchange.placement, exchange.sink, exchange.sent_ms
        now_ms = self._clock.now_ms()
        health = self._fleet.health.health_of(placement.server)
        head = sink.head
        if outcome is server_links.ExchangeOutcome.UNSENT:
            # The idle link had become unusable, so no byte was sent; the same server
            # may be chosen again.
            active.sends -= 1
            active.tried_servers.discard(placement.server.server_id)
            if placement.permit is not None:
                self._fleet.send_permits.give_back(placement.permit)
            return False
        if outcome is server_links.ExchangeOutcome.COMPLETE and head is not None:
            if head.was_refused:
                active.refusals += 1
                health.record_refusal(now_ms)
                self._log_attempt(
                    active, placement, sink, "refused", head.status, sent_ms
                )
                return False
            active.may_have_run = True
            if await self._is_whole(sink, placement.server):
                is_final = await self._conclude_whole(active, exchange, head)
                if is_final is not None:
                    return is_final
            outcome = server_links.ExchangeOutcome.BROKEN
        active.may_have_run = True
        if exchange.is_withdrawn or sink.was_dropped:
            health.record_withdrawal()
        else:
            health.record_failure(now_ms)
        if sink.was_dropped:
            active.was_dropped = True
        if outcome is server_links.ExchangeOutcome.BROKEN:
            self._crashes.record_broken_answer(
                active.subject,
                placement.server,
                sent_ms,
                now_ms,
                is_established=sink.is_established,
            )
            self.check_server(placement.server)
        status = head.status if head else 0
        attempt = "withdrawn" if exchange.is_withdrawn else "broken off"
        self._log_attempt(active, placement, sink, attempt, status, sent_ms)
        prompt = active.caller_headers.prompt
        _LOG.info(
            "answer broken off",
            request=active.caller_headers.request_id,
            server=placement.server.server_id,
            started_wall_ms=placement.server.started_wall_ms,
            was_abandoned=outcome is server_links.ExchangeOutcome.ABANDONED,
            was_dropped=sink.was_dropped,
            has_begun=sink.first_part_ms is not None,
            sent_ago_ms=now_ms - sent_ms,
            silent_ms=now_ms - sink.progress_ms,
            left_ms=active.deadline_ms - now_ms,
            parts=[part.part_id for part in prompt.parts] if prompt else [],
        )
        if exchange.predecessor is None and not exchange.is_superseded:
            active.event_splitter.drop_partial_event()
        return False

    async def _is_whole(
        self, sink: answer_sink.AnswerSink, server: servers.ServerEntry
    ) -> bool:
        """Return False if an answer that ends with its connection has broken off.

        It has if its server has ended, too.  A server that leaves accepts no
        connections while it completes its answers.
        """
        if not sink.is_unframed or await self.is_running(server):
            return True
        return self._fleet.registry.has_announced_departure(server.incarnation)

    async def _conclude_whole(
        self,
        active: active_requests.ActiveRequest,
        exchange: _Exchange,
        head: answers.AnswerHead,
    ) -> bool | None:
        """Conclude an answer that has arrived to the end of its framing.

        Returns whether the caller was answered; None if a stream ended inside an event.
        """
        placement, sink, sent_ms = exchange.placement, exchange.sink, exchange.sent_ms
        now_ms = self._clock.now_ms()
        # A success must carry the server's signature (seal), and its body must not be
        # encoded, as an encoded one is not the server's own bytes.
        if head.is_success and (not head.is_sealed or head.is_encoded):
            self._fleet.health.health_of(placement.server).record_failure(now_ms)
            self._log_attempt(active, placement, sink, "unsealed", head.status, sent_ms)
            return False
        if not head.is_success:
            return self._conclude_failure(active, placement, sink, sent_ms)
        if not await sink.handle_end():
            return None
        first_ms = (sink.first_part_ms or now_ms) - sent_ms
        self._fleet.record_answer_time(placement, first_ms)
        self._crashes.record_answer(active.subject, now_ms)
        self._fleet.answer_times.record(
            active.route.name, now_ms - sent_ms, active.event_splitter.token_count
        )
        self._send_buffered(active, sink)
        self._log_attempt(active, placement, sink, "answered", head.status, sent_ms)
        self._log_end(active, "answered")
        return True

    def _conclude_failure(
        self,
        active: active_requests.ActiveRequest,
        placement: placements.Placement,
        sink: answer_sink.AnswerSink,
        sent_ms: int,
    ) -> bool:
        """Record a server's error answer; return whether it went to the caller.

        A server error (5xx) of a request that may be repeated is only stored, as the
        request can succeed at another server.
        """
        assert sink.buffer is not None
        if sink.buffer.status >= _SERVER_ERROR:
            self._fleet.health.health_of(placement.server).record_failure(
                self._clock.now_ms()
            )
        self._log_attempt(
            active, placement, sink, "failed", sink.buffer.status, sent_ms
        )
        active.last_failure = sink.buffer
        is_final = sink.buffer.status < _SERVER_ERROR or not active.route.may_repeat
        if is_final and not active.answer.has_begun:
            self._send_server_failure(active, sink.buffer)
            return True
        return False

    def _send_buffered(
        self, active: active_requests.ActiveRequest, sink: answer_sink.AnswerSink
    ) -> None:
        """Send a buffered answer; do nothing if it was passed on as it arrived."""
        if active.answer.has_ended:
            return
        assert sink.buffer is not None
        headers = answers.returned_headers(sink.buffer.headers)
        active.answer.send(sink.buffer.status, headers, sink.buffer.body)

    def _send_server_failure(
        self,
        active: active_requests.ActiveRequest,
        failure: active_requests.AnswerBuffer,
    ) -> None:
        headers = answers.returned_headers(failure.headers)
        active.answer.send(failure.status, headers, failure.body)
        self._log_end(active, f"server's {failure.status}")

    def _spend_retry(self, active: active_requests.ActiveRequest) -> str | None:
        """Count a retry in the budget; return why there can't be one, or None."""
        obstacle = self._retry_obstacle(active, may_have_run=active.may_have_run)
        if obstacle is not None:
            return obstacle
        if active.sends and not self._retry_budget(active.service.name).try_retry(
            self._clock.now_ms(), self._fleet.gateway_count
        ):
            return "retry budget"
        return None

    def _retry_obstacle(
        self, active: active_requests.ActiveRequest, *, may_have_run: bool
    ) -> str | None:
        """Return why the request can't be sent again, budget aside; None if it can."""
        if self._clock.now_ms() >= self._deadline_ms(active):
            return "time limit"
        if active.was_dropped:
            return "no memory for the answer"
        if may_have_run and not active.route.may_repeat:
            return "outcome unknown"
        if active.answer.has_begun and not active.route.is_stream:
            return "broken off"
        if active.possible_runs >= active.route.max_attempts:
            return "no attempts left"
        if active.refusals >= MAX_REFUSALS:
            return "refused by servers"
        if active.is_retest and active.sends:
            return "retest of a crash finding"
        if may_have_run and not self._crashes.may_repeat(active.subject):
            return "ran at a crash"
        return None

    def _fail(
        self,
        active: active_requests.ActiveRequest,
        reason: str,
        retry_after_ms: int | None,
    ) -> None:
        """End a request that no server answered with success.

        Nothing is done for an answer that has ended.  A begun answer is aborted.  Else
        the caller gets the last server's error answer if there is one, or an answer of
        this gateway.
        """
        if active.answer.has_ended:
            return
        self._log_end(active, reason)
        if active.key is not None:
            now_ms = self._clock.now_ms()
            self._fleet.failed_requests.record_failure(
                active.key, active.first_attempt_ms, now_ms
            )
        if active.answer.has_begun:
            self._metrics.record_aborted_answer(reason)
            self._log_cut(active, reason)
            active.answer.abort()
        elif active.last_failure is not None:
            self._send_server_failure(active, active.last_failure)
        elif not active.may_have_run:
            self._send_own_answer(
                active.answer,
                active.caller_headers.request_id,
                503,
                reason,
                retry_after_ms,
            )
        else:
            is_late = self._clock.now_ms() >= self._deadline_ms(active)
            self._send_own_answer(
                active.answer,
                active.caller_headers.request_id,
                504 if is_late else 502,
                reason,
            )

    def _refuse(
        self, answer: callers.CallerAnswer, request_id: str, status: int, reason: str
    ) -> None:
        """Refuse a route or key that the configuration lacks, unless it may be old."""
        if self._fleet.currency.may_refuse(self._fleet.confirmed_age_ms()):
            self._send_own_answer(answer, request_id, status, reason)
        else:
            # The store may be away for all gateways.
            self._reject_outdated(
                answer, request_id, "configuration not confirmed", NOT_READY_RETRY_MS
            )

    def _reject_outdated(
        self,
        answer: callers.CallerAnswer,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Reject a request as not run, and have its caller turn to another gateway."""
        answer.closes_connection = True
        self._send_own_answer(answer, request_id, 503, reason, retry_after_ms)

    def _send_own_answer(
        self,
        answer: callers.CallerAnswer,
        request_id: str,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        _LOG.info(
            "own answer",
            request=request_id,
            status=status,
            reason=reason,
            retry_after_ms=retry_after_ms,
            configuration=self._fleet.configuration.version
            if self._fleet.configuration
            else None,
        )
        self._metrics.record_own_answer(status, reason)
        answer.send(
            status,
            answers.gateway_answer_headers(request_id, retry_after_ms),
            reason.encode() + b"\n",
        )

    def _placement_request(
        self, active: active_requests.ActiveRequest
    ) -> placements.PlacementRequest:
        prompt = active.caller_headers.prompt
        queued = request_queue.QueuedRequest(
            request_id=active.local_id,
            urgency=active.urgency,
            arrived_ms=active.request.received_ms,
            deadline_ms=active.deadline_ms,
            target_ms=active.route.target_ms,
            idle_answer_ms=self._dispatcher.idle_answer_ms(active.service, prompt),
            earlier_first_attempt_ms=active.first_attempt_ms,
            resume_by_ms=None
            if active.software_version is None
            else self._clock.now_ms() + request_queue.MAX_RESUMED_WAIT_MS,
            leaves_ms=active.request.received_ms + active.route.first_event_limit_ms
            if active.route.is_stream
            else None,
        )
        return placements.PlacementRequest(
            queued,
            active.service,
            active.account,
            prompt,
            active.route.name,
            frozenset(active.tried_servers),
            active.software_version,
            begins_stream=active.begins_stream,
            may_repeat=active.route.may_repeat,
            allowed_regions=allowed_regions.of_request(active.route, active.account),
        )

    def _draw_service(
        self,
        current: deployment.Deployment,
        route: deployment.Route,
        stream: stream_versions.StreamKey | None,
    ) -> deployment.Service | None:
        """Return a service drawn by the weights of the route's targets.

        A resumed stream stays at its service while that is a target of the route.
        None if no target has a weight, or if the configuration lacks the service.
        """
        for target in route.targets:
            has_record = self._fleet.stream_versions.has_record(target.service, stream)
            if has_record and target.weight > 0:
                return current.services_by_name.get(target.service)
        weights = [target.weight for target in route.targets]
        if not any(weight > 0 for weight in weights):
            return None
        drawn = self._generator.choices(route.targets, weights)[0]
        return current.services_by_name.get(drawn.service)

    def _retry_budget(
        self, service: deployment.ServiceName
    ) -> retry_share.RetryBudgetShare:
        budget = self._retry_budget_by_service.setdefault(
            service, retry_share.RetryBudgetShare(self._fleet.own_settings.bounds)
        )
        budget.bounds = self._fleet.own_settings.bounds
        return budget

    def _log_attempt(
        self,
        active: active_requests.ActiveRequest,
        placement: placements.Placement,
        sink: answer_sink.AnswerSink,
        outcome: str,
        status: int,
        sent_ms: int,
    ) -> None:
        first_ms = sink.first_part_ms
        _LOG.info(
            "attempt",
            request=active.caller_headers.request_id,
            server=placement.server.server_id,
            software=placement.server.software_version,
            weights=placement.weights_version,
            resumes=active.caller_headers.first_attempt_id,
            after=active.event_splitter.last_id or active.caller_headers.resume_after,
            attempt=active.sends,
            outcome=outcome,
            status=status,
            took_ms=self._clock.now_ms() - sent_ms,
            first_ms=None if first_ms is None else first_ms - sent_ms,
            expected_ms=round(placement.expected_first_event_ms),
        )

    def _log_cut(self, active: active_requests.ActiveRequest, reason: str) -> None:
        """Log which limit ends a begun answer, and what is lost with it."""
        now_ms = self._clock.now_ms()
        shutdown = self._fleet.shutdown
        limit = "none"
        if now_ms >= active.deadline_ms:
            limit = "request"
        elif now_ms >= self._deadline_ms(active):
            limit = "shutdown"
        signal = None if shutdown is None else shutdown.signal
        _LOG.warning(
            "answer cut",
            request=active.caller_headers.request_id,
            reason=reason,
            limit=limit,
            since_signal_ms=None if signal is None else now_ms - signal.earliest_ms,
            since_notice_ms=None if signal is None else now_ms - signal.latest_ms,
            lateness_ms=self._fleet.lateness_ms(),
            unread_bytes=active.unread_bytes,
            unsent_bytes=active.answer.unsent_bytes,
            events=active.event_splitter.event_count,
            left_ms=active.deadline_ms - now_ms,
        )

    def _log_end(self, active: active_requests.ActiveRequest, outcome: str) -> None:
        took_ms = self._clock.now_ms() - active.request.received_ms
        self._metrics.record_end(active.service.name, outcome, took_ms)
        _LOG.info(
            "request ended",
            request=active.caller_headers.request_id,
            route=active.route.name,
            outcome=outcome,
            sends=active.sends,
            events=active.event_splitter.event_count,
            took_ms=took_ms,
        )


def _ignore_server(_server: servers.ServerEntry) -> None:
    """Do nothing: without a crash monitor, entries alone show that servers ended."""


async def _assume_running(_server: servers.ServerEntry) -> bool:
    """Return True: without a crash monitor, only entries show that servers ended."""
    return True


def _always() -> bool:
    """Return True: without a listener, descriptors are not counted."""
    return True


async def _claim_no_retest(_finding: crash_findings.Finding) -> bool:
    """Return False: without a crash monitor there are no retests."""
    return False
