"""The gateway program: connects the parts and runs until a signal ends it.

Reading order: `forwarding` (how a request is served), `dispatcher` (choice of its
backend server), `followers` and `row_consumers` (state of the fleet from the store),
`weight_rollout` (orders to engines), `peers` (reports between gateways).
"""

import asyncio
import concurrent.futures
import gc
import os
import random
import resource
import signal
import sys
from collections.abc import Mapping
from typing import Any, Final

from tornado import netutil

from quincecrank import clock as clocks
from quincecrank import process_memory, status_server, store_era, store_rows, tasks
from quincecrank.budgets import budget_metrics, connection_budget, process_budgets
from quincecrank.gateway import (
    cache_followers,
    cache_history,
    callers,
    change_delivery,
    crash_monitor,
    crash_suspicions,
    decision_log,
    dispatcher,
    environment,
    fleet_state,
    followers,
    forwarding,
    gateway_metrics,
    loop_monitor,
    member_registration,
    order_lease,
    peer_messages,
    peers,
    permit_exchange,
    row_consumers,
    service_times,
    shutdown_schedule,
    store_cleaner,
    store_clock,
    store_restores,
    stored_service_times,
    stream_version_exchange,
    tables,
    target_marks,
    target_times,
    weight_rollout,
)
from quincecrank.platform import engines, gateway_tables, names, settings, store

INTERVALS_BY_TABLE: Final = {
    # An operator's change must apply within two seconds, even if all readers of the
    # table are cut off from the store at that moment.
    tables.TableName.OPERATOR: followers.PollingIntervals(500, 0, 1_000),
    # A server that shuts down must get no request after two seconds.  Every heartbeat
    # changes the table, so calls seldom wait, and the pause bounds their rate.
    tables.TableName.SERVERS: followers.PollingIntervals(500, 200, 1_000),
    tables.TableName.MEMBERS: followers.PollingIntervals(2_000, 500, 4_000),
}

MAINTENANCE_INTERVAL_MS: Final = 250
"""Interval of the periodic maintenance."""

REPORTS_PER_TIMES: Final = 4
"""Every fourth report contains the learned service times.  A gateway that starts gets
them from each peer within a second, and from one of many peers within one interval of
reports."""

LEAVING_CHECK_MS: Final = 50
"""Interval at which a gateway that shuts down looks for what it has to do next."""

CLOSING_CHECK_MS: Final = 10
"""The same while it closes its connections."""

LAST_CHECKS: Final = 12
"""Number of these checks for which the process stays after its end is due."""

MAX_PAUSE_MS: Final = 500
"""Time without an accepted connection, for lack of descriptors, after which a gateway
is not ready: other ones can serve its callers."""

_LOG: Final = decision_log.logger("gateway")


class Gateway:
    """One gateway process.

    Parameters
    ----------
    own_settings : Environment
        Settings of the process.
    """

    def __init__(
        self, own_settings: environment.Environment, clock: loop_monitor.ObservedClock
    ) -> None:
        self._own_settings = own_settings
        self._clock = clock
        self._tasks = tasks.BackgroundTasks()
        self._generator = random.Random()
        self._metrics = gateway_metrics.GatewayMetrics()
        self._fleet = fleet_state.FleetState(own_settings, clock)
        self._crashes = crash_suspicions.CrashSuspicions(self._fleet.has_ended)
        self._era = store_era.StoreEra()
        self._store = gateway_tables.GatewayTables(
            store.PlatformStore(
                own_settings.store.endpoint.url,
                era=self._era,
                lateness_ms=lambda: self._loop_monitor.lateness_ms,
            )
        )
        self._loop_monitor = loop_monitor.LoopMonitor(clock)
        self._peers = peers.PeerDirectory(
            own_settings, clock, self._era, lambda: self._loop_monitor.is_late
        )
        self._dispatcher = dispatcher.Dispatcher(self._fleet, self._generator)
        self._forwarder = forwarding.Forwarder(
            self._fleet, self._dispatcher, self._crashes, self._metrics, self._generator
        )
        self._listener = callers.CallerListener(self._forwarder.handle, clock)
        self._listener.state.observe_close = self._observe_close
        self._budgets = process_budgets.ProcessBudgets(
            own_settings.memory_mb,
            min(own_settings.max_descriptors, _descriptor_limit()),
        )
        self._listener.state.budgets = self._budgets
        self._metrics.registry.register(budget_metrics.BudgetCollector(self._budgets))
        self._connect_listener()
        self._reporter = peers.PeerReporter(
            own_settings,
            self._peers,
            self._make_report,
            self._apply_report,
            self._apply_load_change,
            lambda message: self._permits.handle(message),
            clock,
            self._apply_table_change,
        )
        self._crash_monitor = crash_monitor.CrashMonitor(
            self._fleet,
            self._crashes,
            self._peers,
            self._store,
            self._reporter.send,
            self._forwarder.reject_crashing,
            clock,
        )
        self._forwarder.check_server = self._crash_monitor.check_server
        self._forwarder.is_running = self._crash_monitor.is_running
        self._forwarder.claim_retest = self._crash_monitor.claim_retest
        self._fleet.loads.notify_peers = self._reporter.send_load_change
        self._permits = permit_exchange.PermitExchange(
            self._fleet,
            self._peers,
            self._reporter.send_permits,
            self._dispatcher.start_queued,
            clock,
        )
        # The peers learn of a limit at once, as it binds all gateways together.
        self._fleet.notify_rate_limit = self._reporter.send
        self._store_clock = store_clock.StoreClock()
        self._order_lease = order_lease.OrderLease(
            self._store,
            own_settings.vm,
            own_settings.bounds.order_lease_ms,
            clock,
            self._store_clock,
        )
        self._stream_versions = stream_version_exchange.StreamVersionExchange(
            self._fleet,
            self._peers,
            self._store,
            lambda: self._followers_by_table[tables.TableName.MEMBERS].rows_age_ms,
            lambda: self._followers_by_table[tables.TableName.MEMBERS].is_behind,
            clock,
        )
        self._target_marks = target_marks.TargetMarks(
            self._fleet, self._peers, self._store, self._store_clock, clock
        )
        self._target_times = target_times.TargetTimes(
            self._fleet,
            self._peers,
            self._store,
            self._store_clock,
            clock,
            self._target_marks,
        )
        self._stored_times = stored_service_times.StoredServiceTimes(
            self._fleet.service_times, self._peers, self._store, clock
        )
        self._members = row_consumers.MemberRowConsumer(
            self._peers,
            self._order_lease,
            self._crash_monitor,
            self._stream_versions,
            self._target_times,
            self._stored_times if own_settings.hands_over else None,
        )
        self._registration = member_registration.Registration(
            own_settings.vm,
            own_settings.ip,
            self._store,
            self._members,
            lambda: self._fleet.gateway_count,
            self._metrics.registrations.inc,
            clock,
        )
        self._restore_progress = store_restores.StoreRestoreProgress(
            clock, self._metrics
        )
        self._operator = row_consumers.OperatorRowConsumer(
            self._fleet, self._metrics.record_configuration_delay, self._target_marks
        )
        self._followers_by_table = self._make_followers()
        self._fleet.confirmed_age_ms = self._configuration_confirmed_age_ms
        self._fleet.lateness_ms = lambda: self._loop_monitor.lateness_ms
        self._fleet.receive_waiting = self._reporter.receive_waiting
        self._subscribe_to_eras()
        calls = engines.FleetEngineClient()
        self._cache_followers = cache_followers.CacheFollowers(
            self._fleet, self._peers, calls, clock
        )
        self._store_cleaner = store_cleaner.StoreCleaner(
            self._fleet, calls, self._peers, clock
        )
        self._weight_rollout = weight_rollout.WeightRollout(
            self._fleet,
            calls,
            self._order_lease,
            self._peers,
            self._reporter.send,
            clock,
            lambda: self._dispatcher.waiting_requests,
        )
        self._is_leaving = False
        self._signal: shutdown_schedule.SignalTime | None = None
        self._reports_made = 0
        self._admits_by_shared_figures = False

    def _connect_listener(self) -> None:
        """Let the callers' connections share descriptors with links and followers."""
        self._listener.links = self._fleet.links
        self._listener.count_followed = lambda: self._cache_followers.followed_count
        self._forwarder.may_add_link = self._listener.may_add_link

    def _subscribe_to_eras(self) -> None:
        """Subscribe the parts that hold positions of the store to new eras.

        The order lease is notified first, so that orders stop before other parts react.
        """
        self._era.subscribe(self._order_lease.handle_new_era)
        self._era.subscribe(self._store_clock.handle_new_era)
        self._era.subscribe(
            lambda _era: self._fleet.registry.mark_store_restored(self._clock.now_ms())
        )
        self._era.subscribe(self._restore_progress.handle_new_era)
        self._era.subscribe(self._stream_versions.handle_new_era)
        self._era.subscribe(
            lambda _era: self._fleet.currency.handle_restore(self._clock.now_ms())
        )

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        own_settings = self._own_settings
        self._serve_readiness()
        callers_socket = netutil.bind_sockets(
            own_settings.callers.port,
            own_settings.callers.ip,
            backlog=process_budgets.CALLERS_BACKLOG,
        )[0]
        self._listener.start(callers_socket)
        peers.serve(
            own_settings,
            [
                peers.rows_rule(self._rows),
                (
                    "/cache",
                    cache_history.CacheHandler,
                    {"histories": self._cache_followers.histories},
                ),
            ],
            self._budgets,
            self._clock,
        )
        status_server.start(
            status_server.bind(own_settings.ip, own_settings.metrics_port),
            self._metrics.registry,
            lambda: self._is_ready,
            self._budgets,
            self._clock,
        )
        self._reporter.start()
        runs = [
            self._reporter.run,
            self._dispatcher.run,
            self._permits.run,
            self._crash_monitor.run,
            self._crash_monitor.run_writes,
            self._stream_versions.run,
            self._target_times.run,
            self._weight_rollout.run,
            self._cache_followers.run,
            self._store_cleaner.run,
            self._registration.run,
            self._loop_monitor.run,
            self._run_repeats,
            self._run_maintenance,
        ]
        if own_settings.hands_over:
            runs.append(self._stored_times.run)
        for follower in self._followers_by_table.values():
            runs += [follower.run, follower.run_from_peers]
        for run in runs:
            # Requests of all services depend on each of them.
            self._tasks.start(tasks.keep_running(run, self._clock))
        _LOG.info("started", ip=own_settings.ip, data_centre=own_settings.data_centre)

    def note_signal(self) -> None:
        """Note the time of the signal that ends the process.

        The system delivers a signal as soon as the process runs, so that it was sent
        after the process last read its clock.
        """
        if self._signal is None:
            earliest_ms = self._clock.last_read_ms
            self._signal = shutdown_schedule.SignalTime(
                earliest_ms, self._clock.now_ms()
            )

    async def stop(self) -> None:
        """Become unready, answer what arrives and cancel the background tasks.

        Returns within the grace time, as `shutdown_schedule` decides.
        """
        self._is_leaving = True
        self._permits.is_leaving = True
        self._listener.state.is_leaving = True
        self.note_signal()
        assert self._signal is not None
        grace_ms = self._fleet.own_settings.bounds.shutdown_grace_ms
        schedule = shutdown_schedule.ShutdownSchedule(self._signal, grace_ms)
        self._fleet.shutdown = schedule
        self._log_shutdown("leaving")
        while self._next_stage(schedule) is shutdown_schedule.Stage.SERVING:
            self._reject_leaving()
            await self._clock.sleep(LEAVING_CHECK_MS)
        self._log_shutdown("closing")
        while self._close_idle():
            if self._next_stage(schedule) is shutdown_schedule.Stage.ENDED:
                await self._send_last_answers()
                break
            self._reject_leaving()
            await self._clock.sleep(CLOSING_CHECK_MS)
        self._listener.log_open_requests()
        self._log_shutdown("ended")
        self._tasks.cancel()

    async def _send_last_answers(self) -> None:
        """Wait for answers that are due, as the loop may have stood still up to now."""
        for _ in range(LAST_CHECKS):
            await self._clock.sleep(CLOSING_CHECK_MS)
            if not self._listener.open_requests:
                return

    def _reject_leaving(self) -> None:
        try:
            self._forwarder.reject_leaving()
        except Exception:
            # Requests that are open must not be cut because of it.
            _LOG.exception("queued requests not rejected")

    def _close_idle(self) -> bool:
        try:
            return self._listener.close_idle()
        except Exception:
            _LOG.exception("idle connections not closed")
            return True

    def _next_stage(
        self, schedule: shutdown_schedule.ShutdownSchedule
    ) -> shutdown_schedule.Stage:
        schedule.lateness_ms = self._loop_monitor.lateness_ms
        return schedule.next_stage(
            self._clock.now_ms(), self._listener.oldest_arrival_ms
        )

    def _log_shutdown(self, event: str) -> None:
        _LOG.info(
            event,
            open_requests=self._listener.open_requests,
            since_signal_ms=self._since_signal_ms,
            since_notice_ms=self._since_notice_ms,
            lateness_ms=self._loop_monitor.lateness_ms,
        )

    def reload(self) -> None:
        """Read the settings file again.

        Bounds take effect at once, addresses at the next start.  If the file can't be
        read, the settings stay as they are.
        """
        try:
            loaded = settings.load(settings.settings_path())
        except settings.SettingsError as error:
            _LOG.error("settings not reloaded", error=str(error))
            return
        changed = loaded != self._fleet.own_settings
        self._fleet.own_settings = loaded
        _LOG.info("settings reloaded", changed=changed)

    @property
    def _since_signal_ms(self) -> int | None:
        """Longest time that may have passed since the signal; None without one."""
        if self._signal is None:
            return None
        return self._clock.now_ms() - self._signal.earliest_ms

    @property
    def _since_notice_ms(self) -> int | None:
        """Time since the signal was noticed; None without one."""
        if self._signal is None:
            return None
        return self._clock.now_ms() - self._signal.latest_ms

    def _observe_close(
        self, reason: connection_budget.CloseReason, is_unread: bool
    ) -> None:
        self._metrics.record_closed_connection(reason.value, is_unread=is_unread)
        if self._is_leaving or is_unread:
            _LOG.info(
                "connection closed",
                reason=reason.value,
                unread=is_unread,
                since_signal_ms=self._since_signal_ms,
                since_notice_ms=self._since_notice_ms,
                lateness_ms=self._loop_monitor.lateness_ms,
            )

    @property
    def _is_ready(self) -> bool:
        return (
            self._fleet.is_complete
            and self._fleet.may_serve()
            and not self._is_leaving
            and not self._is_accept_blocked
        )

    @property
    def _is_accept_blocked(self) -> bool:
        """Whether connections have not been accepted for some time."""
        since_ms = self._listener.paused_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms > MAX_PAUSE_MS

    def _make_followers(
        self,
    ) -> dict[tables.TableName, followers.TableFollower]:
        consumer_by_table: dict[tables.TableName, followers.RowConsumer] = {
            tables.TableName.OPERATOR: self._operator,
            tables.TableName.SERVERS: row_consumers.ServerRowConsumer(self._fleet),
            tables.TableName.MEMBERS: self._members,
        }
        hooks_by_table: dict[tables.TableName, dict[str, Any]] = {
            tables.TableName.OPERATOR: {
                "must_read": self._lacks_configuration,
                "handle_store_answer": self._operator.handle_store_answer,
            }
        }
        return {
            table: followers.TableFollower(
                table,
                self._store,
                consumer,
                self._peers,
                self._clock,
                INTERVALS_BY_TABLE[table],
                self._reporter.send,
                lambda name: self._metrics.store_failures.labels(name).inc(),
                self._restore_progress,
                self._store_clock,
                change_delivery.ChangeDelivery(self._generator),
                self._push_change,
                **hooks_by_table.get(table, {}),
            )
            for table, consumer in consumer_by_table.items()
        }

    def _lacks_configuration(self) -> bool:
        """Return whether a newer configuration has not arrived from peers for long.

        The store may lack it, too, if it was restored from a snapshot.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._fleet.currency.newer_since_ms(now_ms)
        return since_ms is not None and now_ms - since_ms > followers.MAX_BEHIND_MS

    def _configuration_confirmed_age_ms(self) -> int | None:
        """Return the time since the store had no newer configuration than this gateway.

        None if neither this gateway nor a peer with the same rows knows.
        """
        follower = self._followers_by_table[tables.TableName.OPERATOR]
        ages_ms = [follower.rows_age_ms]
        if not follower.is_behind:
            ages_ms.append(self._peers.rows_age_ms(tables.TableName.OPERATOR))
        return min((each for each in ages_ms if each is not None), default=None)

    def _push_change(self, aged: change_delivery.AgedChange) -> None:
        """Send a change of a table to all peers, unless that takes too many bytes."""
        table = aged.change.table
        delivery = self._followers_by_table[table].delivery
        receivers = self._peers.positions(table, takes_changes=True)
        datagram = self._encoded(aged)
        is_pushed = delivery.may_push(len(datagram), len(receivers))
        if is_pushed:
            self._reporter.send_table_change(receivers, datagram)
        self._metrics.table_changes.labels(
            table.value, "pushed" if is_pushed else "too large"
        ).inc()
        if table is not tables.TableName.MEMBERS:
            _LOG.info(
                "table changed",
                table=table.value,
                version=aged.change.position.version,
                bytes=len(datagram),
                pushed_to=len(receivers) if is_pushed else 0,
            )

    def _encoded(self, aged: change_delivery.AgedChange) -> bytes:
        age_ms = self._clock.now_ms() - aged.known_ms
        return peer_messages.encode_table_change(
            peer_messages.TableChange(aged.change, age_ms)
        )

    def _apply_table_change(
        self, table_change: peer_messages.TableChange, source: str, unread_ms: int
    ) -> None:
        change = table_change.change
        follower = self._followers_by_table.get(change.table)
        if follower is None or not self._era.observe(change.position.era):
            return
        known_ms = self._clock.now_ms() - table_change.age_ms
        self._metrics.table_changes.labels(change.table.value, "received").inc()
        follower.apply_pushed(
            change_delivery.AgedChange(change, known_ms, source, unread_ms)
        )

    async def _run_repeats(self) -> None:
        """Send peers the changes that they lack; never returns."""
        while True:
            await self._clock.sleep(
                peers.report_interval_ms(len(self._peers.live_ips()))
            )
            for table, follower in self._followers_by_table.items():
                for ip, missing in follower.repeats().items():
                    for aged in missing:
                        datagram = self._encoded(aged)
                        if len(datagram) <= change_delivery.MAX_CHANGE_BYTES:
                            self._reporter.send_table_change((ip,), datagram)
                            self._metrics.table_changes.labels(
                                table.value, "repeated"
                            ).inc()

    def _rows(self, table: tables.TableName) -> store_rows.Rows | None:
        follower = self._followers_by_table.get(table)
        return follower.rows if follower else None

    def _make_report(self) -> peer_messages.Report:
        currency = self._fleet.currency
        report = peer_messages.Report(
            vm=self._own_settings.vm,
            is_leaving=self._is_leaving,
            states=tuple(
                peer_messages.TableState(
                    table, follower.last_change_position, follower.store_answer_age_ms
                )
                for table, follower in self._followers_by_table.items()
            ),
            load_by_server=self._fleet.loads.own_load_by_server(),
            target_weights=self._fleet.target_versions.to_publish(self._clock.now_ms()),
            weight_updates=self._fleet.weight_updates.to_publish(self._clock.now_ms()),
            times_by_service=self._times_to_publish(),
            leaving=self._fleet.registry.leaving_to_publish(self._clock.now_ms()),
            pauses=self._fleet.health.pauses_to_publish(self._clock.now_ms()),
            refused=self._fleet.liveness.refused_to_publish(self._clock.now_ms()),
            liveness=self._fleet.liveness.to_publish(self._clock.now_ms()),
            failed_requests=self._fleet.failed_requests.to_publish(
                self._clock.now_ms()
            ),
            configuration_version=currency.version,
            configuration_age_ms=None
            if currency.known_ms is None
            else self._clock.now_ms() - currency.known_ms,
            is_late=self._loop_monitor.is_late,
            handover=self._order_lease.handover()
            if self._fleet.own_settings.hands_over
            else None,
            demand=self._dispatcher.packed_demand,
        )
        report = self._crash_monitor.complete_report(report)
        report = self._stream_versions.complete_report(report)
        return self._permits.complete_report(report)

    def _apply_report(self, report: peer_messages.Report) -> None:
        now_ms = self._clock.now_ms()
        self._fleet.loads.apply_peer_report(report.vm, report.load_by_server, now_ms)
        if report.configuration_version is not None:
            self._fleet.currency.record_report(
                report.configuration_version, report.configuration_age_ms, now_ms
            )
        self._crash_monitor.apply_report(report)
        self._stream_versions.apply_report(report)
        for target in report.target_weights:
            self._fleet.target_versions.record_target(
                target.model, target.version, now_ms, target.age_ms
            )
        for incarnation in report.leaving:
            self._fleet.mark_leaving(incarnation, is_direct=False)
        for evidence in report.liveness:
            self._fleet.apply_peer_evidence(evidence)
        dated = {evidence.incarnation for evidence in report.liveness}
        for incarnation in set(report.refused) - dated:
            self._fleet.apply_peer_refusal(incarnation)
        for pause in report.pauses:
            self._fleet.health.apply_peer_pause(pause, now_ms)
        self._fleet.failed_requests.apply_peer_failures(report.failed_requests, now_ms)
        self._fleet.shared_demand.apply_report(report.vm, report.demand, now_ms)
        for service, times in report.times_by_service.items():
            self._fleet.service_times.apply_peer_times(service, times)
        for update in report.weight_updates:
            self._fleet.apply_weight_update(update)
        if report.handover is not None and self._fleet.own_settings.hands_over:
            self._order_lease.apply_handover(report.handover, report.vm)
        self._permits.apply_report(report)

    def _times_to_publish(self) -> Mapping[str, service_times.Times]:
        """Return the service times in one of `REPORTS_PER_TIMES` reports, else nothing.

        They change slowly.
        """
        self._reports_made += 1
        if self._reports_made % REPORTS_PER_TIMES:
            return {}
        return self._fleet.service_times.to_publish()

    def _apply_load_change(self, change: peer_messages.LoadChange) -> None:
        self._fleet.loads.apply_peer_change(change.vm, change.server_id, change.load)

    async def _run_maintenance(self) -> None:
        """Expire servers, close idle connections and links, and update metrics."""
        while True:
            await self._clock.sleep(MAINTENANCE_INTERVAL_MS)
            for server_id in self._fleet.registry.remove_expired(self._clock.now_ms()):
                _LOG.info("server gone", server=server_id, reason="lapsed")
                self._fleet.remove_server(server_id)
            self._update_operator_requests()
            self._update_shared_demand()
            self._fleet.links.close_stale()
            self._listener.close_expired()
            if self._budgets.bytes.take_freed():
                process_memory.trim()
            self._fleet.gateway_count = 1 + len(self._peers.live_members())
            current = self._fleet.configuration
            if current is not None:
                self._listener.state.limits = current.limits
                self._metrics.configuration_version.set(current.version)
            now_ms = self._clock.now_ms()
            since_ms = self._fleet.currency.newer_since_ms(now_ms)
            confirmed_ms = self._configuration_confirmed_age_ms()
            self._metrics.configuration_behind_seconds.set(
                0 if since_ms is None else (now_ms - since_ms) / clocks.MS_PER_SECOND
            )
            self._metrics.configuration_confirmed_seconds.set(
                -1 if confirmed_ms is None else confirmed_ms / clocks.MS_PER_SECOND
            )
            lateness_s = self._loop_monitor.lateness_ms / clocks.MS_PER_SECOND
            self._metrics.loop_lateness_seconds.set(lateness_s)
            self._metrics.peers.set(self._fleet.gateway_count - 1)
            self._metrics.set_rate_limits(
                self._fleet.rate_limits.states(self._clock.now_ms())
            )
            permits = self._fleet.send_permits
            self._metrics.set_permit_counts(permits.count_by_event)
            self._metrics.waiting_for_permits.set(permits.waiting_count)
            engine_count = sum(
                bool(each.weight_versions_by_model)
                for each in self._fleet.registry.entries()
            )
            unseen_tokens = self._fleet.loads.unseen_tokens(engine_count)
            self._metrics.unseen_tokens.set(unseen_tokens)
            self._metrics.crash_findings.set(self._crashes.findings.active_count)
            self._metrics.stream_records.set(self._fleet.stream_versions.record_count)
            self._metrics.waiting.set(self._dispatcher.waiting_requests)
            self._metrics.set_descriptors(
                self._listener.usage, self._budgets.descriptors.limit
            )
            self._metrics.set_accept_pauses(self._listener.pauses)
            self._metrics.set_held_bytes(self._budgets.bytes)
            self._metrics.waiting_heads.set(self._budgets.head_turns.waiting_heads)
            chunk_reader = self._budgets.chunk_reader
            self._metrics.set_chunks(
                chunk_reader.waiting_bodies, chunk_reader.budget.rejections
            )
            self._metrics.held_for_ended.set(self._fleet.liveness.held_for_ended_count)
            self._metrics.set_lease_takeovers(self._order_lease.takeovers)
            self._metrics.service_times_writes.set(self._stored_times.writes)

    def _update_shared_demand(self) -> None:
        """Update the number of gateways; log when requests are admitted otherwise."""
        if not self._own_settings.shares_admission:
            return
        demand = self._fleet.shared_demand
        demand.known_gateways = self._peers.known_gateways()
        was_shared = self._admits_by_shared_figures
        self._admits_by_shared_figures = demand.suffices(self._clock.now_ms())
        if self._admits_by_shared_figures is not was_shared:
            _LOG.info(
                "admission by shared figures"
                if self._admits_by_shared_figures
                else "admission by own figures",
                reporting=demand.reporting_peers,
                known=demand.known_gateways,
            )
        self._metrics.admission_peers.set(
            demand.reporting_peers if self._admits_by_shared_figures else 0
        )

    def _update_operator_requests(self) -> None:
        """Update evacuations and cold servers, which end with time."""
        now_ms = self._clock.now_ms()
        evacuations = self._fleet.evacuations
        follower = self._followers_by_table[tables.TableName.OPERATOR]
        newest = self._peers.last_change_position_of(tables.TableName.OPERATOR)
        evacuations.record_currency(follower.position, newest, now_ms)
        for data_centre in evacuations.end_missing(now_ms):
            _LOG.info("evacuation ended", data_centre=data_centre, origin="restore")
            self._fleet.presume_cold(data_centre)
        self._fleet.cold_servers.remove_ended(now_ms)
        self._fleet.update_cold_limits("time")
        self._metrics.set_cold_servers(
            entry.service
            for entry in self._fleet.registry.entries()
            if self._fleet.is_cold(entry)
        )
        self._metrics.evacuated.set(len(evacuations.in_force))

    def _serve_readiness(self) -> None:
        arguments: dict[str, object] = {"is_ready": lambda: self._is_ready}
        readiness = self._own_settings.readiness
        status_server.serve(
            status_server.bind(readiness.ip, readiness.port),
            [(names.READY, status_server.ReadyHandler, arguments)],
            "readiness",
            self._budgets,
            connection_budget.READINESS_FRACTION,
            self._clock,
        )


def _descriptor_limit() -> int:
    """Return how many descriptors the system lets this process have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


async def _serve(own_settings: environment.Environment) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_default_executor(
        concurrent.futures.ThreadPoolExecutor(
            initializer=loop_monitor.block_end_signals
        )
    )
    gateway = Gateway(own_settings, loop_monitor.ObservedClock())

    def handle_end_signal(_number: int, _frame: object) -> None:
        gateway.note_signal()
        loop.call_soon_threadsafe(ended.set)

    for number in (signal.SIGTERM, signal.SIGINT):
        # Handlers of the loop run only once the loop gets to them.
        signal.signal(number, handle_end_signal)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    await ended.wait()
    await gateway.stop()
    # asyncio.run would wait for each task, and wait_for can swallow a cancellation.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def main() -> None:
    """Run a gateway by the platform's settings file."""
    try:
        own_settings = settings.load(settings.settings_path())
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    decision_log.configure(own_settings.vm)
    if not process_memory.return_freed_blocks():
        _LOG.warning("freed memory may stay with the process")
    gc.freeze()
    asyncio.run(_serve(own_settings))
