"""Prometheus metrics of a gateway."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

import prometheus_client

from quincecrank import clock
from quincecrank.budgets import byte_budget, connection_budget
from quincecrank.gateway import deployment, rate_limits

_BUCKETS_S: Final = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 5.0, 15.0)
"""Bucket bounds near the on-time targets and the deadlines of requests."""


class GatewayMetrics:
    """Metrics of one gateway process, with their registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._ended = prometheus_client.Histogram(
            "quince_gateway_request_seconds",
            "Time from a request to its end, by how it ended",
            ["service", "outcome"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._own_answers = prometheus_client.Counter(
            "quince_gateway_own_answers",
            "Answers that the gateway gave itself, by status and reason",
            ["status", "reason"],
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            "quince_gateway_waiting",
            "Requests that wait for a backend server",
            registry=self.registry,
        )
        self.configuration_version = prometheus_client.Gauge(
            "quince_gateway_configuration_version",
            "Version in force",
            registry=self.registry,
        )
        self._configuration_delay = prometheus_client.Histogram(
            "quince_gateway_configuration_delay_seconds",
            "Time from the first gateway that had a version until it was in force here",
            ["origin"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.configuration_behind_seconds = prometheus_client.Gauge(
            "quince_gateway_configuration_behind_seconds",
            "Time for which a newer version than the one in force has been known",
            registry=self.registry,
        )
        self.configuration_confirmed_seconds = prometheus_client.Gauge(
            "quince_gateway_configuration_confirmed_seconds",
            "Time since the store had no newer version than the one in force; -1 if it "
            "is not known",
            registry=self.registry,
        )
        self.table_changes = prometheus_client.Counter(
            "quince_gateway_table_changes",
            "Changes of tables by what was done: pushed, repeated, received, too large",
            ["table", "what"],
            registry=self.registry,
        )
        self.store_failures = prometheus_client.Counter(
            "quince_gateway_store_failures",
            "Calls to the platform's store that failed, by table",
            ["table"],
            registry=self.registry,
        )
        self.store_era = prometheus_client.Gauge(
            "quince_gateway_store_era",
            "Restores of the platform's store from a copy",
            registry=self.registry,
        )
        self.store_rows_lost = prometheus_client.Counter(
            "quince_gateway_store_rows_lost",
            "Rows that were known and that a restored store lacks, by table",
            ["table"],
            registry=self.registry,
        )
        self.registrations = prometheus_client.Counter(
            "quince_gateway_registrations",
            "Writes of this gateway's own row",
            registry=self.registry,
        )
        self.restore_seconds = prometheus_client.Histogram(
            "quince_gateway_restore_seconds",
            "Time from a restore of the store until all tables are known again",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.rate_limit = prometheus_client.Gauge(
            "quince_gateway_server_rate_limit",
            "Requests a second that a server takes from all gateways, while limited",
            ["server"],
            registry=self.registry,
        )
        self.rate_limit_age_seconds = prometheus_client.Gauge(
            "quince_gateway_server_rate_limit_age_seconds",
            "Time since an answer last confirmed the rate limit of a server",
            ["server"],
            registry=self.registry,
        )
        self.waiting_for_permits = prometheus_client.Gauge(
            "quince_gateway_waiting_for_permits",
            "Requests that wait for a permit of a server with a rate limit",
            registry=self.registry,
        )
        self._permits = prometheus_client.Counter(
            "quince_gateway_permits",
            "Permits for servers with a rate limit: issued, used, expired",
            ["event"],
            registry=self.registry,
        )
        self.crash_findings = prometheus_client.Gauge(
            "quince_gateway_crash_findings",
            "Requests and parts of prompts that are rejected as they crash servers",
            registry=self.registry,
        )
        self._crash_rejections = prometheus_client.Counter(
            "quince_gateway_crash_rejections",
            "Requests rejected because of a crash finding",
            registry=self.registry,
        )
        self._aborted_answers = prometheus_client.Counter(
            "quince_gateway_aborted_answers",
            "Answers that callers received in part only, by what kept them from going "
            "on at another server",
            ["reason"],
            registry=self.registry,
        )
        self.stream_records = prometheus_client.Gauge(
            "quince_gateway_stream_records",
            "Streams whose software version this gateway knows",
            registry=self.registry,
        )
        self._resumptions = prometheus_client.Counter(
            "quince_gateway_stream_resumptions",
            "Streams that callers resumed, by what was known of their software version",
            ["origin"],
            registry=self.registry,
        )
        self._closed_connections = prometheus_client.Counter(
            "quince_gateway_closed_connections",
            "Connections of callers that this gateway closed, by reason, and by "
            "whether bytes had arrived that it had not read",
            ["reason", "unread"],
            registry=self.registry,
        )
        self._descriptors = prometheus_client.Gauge(
            "quince_gateway_descriptors",
            "Descriptors of callers' connections, of served requests, of links to "
            "backend servers and of followed holders; those in use, and their limit",
            ["use"],
            registry=self.registry,
        )
        self._accept_pauses = prometheus_client.Counter(
            "quince_gateway_accept_pauses",
            "Times that no connection was accepted for lack of descriptors",
            registry=self.registry,
        )
        self._accept_pause_count = 0
        self._held_bytes = prometheus_client.Gauge(
            "quince_gateway_held_bytes",
            "Bytes that are held for callers and for servers, and their limits",
            ["holder", "what"],
            registry=self.registry,
        )
        self._memory_rejections = prometheus_client.Counter(
            "quince_gateway_memory_rejections",
            "Times that bytes of callers or servers were not held for lack of memory",
            ["holder"],
            registry=self.registry,
        )
        self._memory_rejection_count: dict[byte_budget.Holder, int] = {}
        self._chunked_bodies = prometheus_client.Gauge(
            "quince_gateway_waiting_chunked_bodies",
            "Bodies in chunks that wait to be decoded",
            registry=self.registry,
        )
        self.waiting_heads = prometheus_client.Gauge(
            "quince_gateway_waiting_heads",
            "Heads of many lines that wait to be parsed",
            registry=self.registry,
        )
        self._chunk_rejections = prometheus_client.Counter(
            "quince_gateway_chunk_rejections",
            "Requests rejected for the small chunks of their bodies",
            registry=self.registry,
        )
        self._chunk_rejection_count = 0
        self.held_for_ended = prometheus_client.Gauge(
            "quince_gateway_servers_held_for_ended",
            "Listed servers that refused a connection and have shown no life since",
            registry=self.registry,
        )
        self.loop_lateness_seconds = prometheus_client.Gauge(
            "quince_gateway_loop_lateness_seconds",
            "Largest lateness of the event loop in the last seconds",
            registry=self.registry,
        )
        self.evacuated = prometheus_client.Gauge(
            "quince_gateway_evacuated_data_centres",
            "Data centres whose backend servers get no requests",
            registry=self.registry,
        )
        self._cold_servers = prometheus_client.Gauge(
            "quince_gateway_cold_servers",
            "Backend servers that are cold and get requests at a limited rate",
            ["service"],
            registry=self.registry,
        )
        self._lease_takeovers = prometheus_client.Gauge(
            "quince_gateway_order_lease_takeovers",
            "Times that this gateway took the order lease, by how it was free",
            ["origin"],
            registry=self.registry,
        )
        self.service_times_writes = prometheus_client.Gauge(
            "quince_gateway_service_times_writes",
            "Times that this gateway wrote the service times to the store",
            registry=self.registry,
        )
        self.admission_peers = prometheus_client.Gauge(
            "quince_gateway_admission_peers",
            "Other gateways by whose figures requests are admitted; 0 without any",
            registry=self.registry,
        )
        self.unseen_tokens = prometheus_client.Gauge(
            "quince_gateway_unseen_backlog_tokens",
            "Standard deviation of the backlog that peers have started at one engine "
            "unseen",
            registry=self.registry,
        )
        self._permit_counts: dict[str, int] = {}
        self.peers = prometheus_client.Gauge(
            "quince_gateway_peers", "Live other gateways", registry=self.registry
        )

    def record_end(
        self, service: deployment.ServiceName, outcome: str, duration_ms: int
    ) -> None:
        """Record the outcome of a request and its time to the end."""
        seconds = duration_ms / clock.MS_PER_SECOND
        self._ended.labels(service, outcome).observe(seconds)

    def record_configuration_delay(self, origin: str, delay_ms: int) -> None:
        """Record how long a version took to be in force here."""
        seconds = delay_ms / clock.MS_PER_SECOND
        self._configuration_delay.labels(origin).observe(seconds)

    def set_rate_limits(self, states: Iterable[rate_limits.LimitState]) -> None:
        """Replace the rate limits in force."""
        self.rate_limit.clear()
        self.rate_limit_age_seconds.clear()
        for state in states:
            if state.per_second is None:
                continue
            server = state.incarnation.server_id
            self.rate_limit.labels(server).set(state.per_second)
            self.rate_limit_age_seconds.labels(server).set(
                state.answer_age_ms / clock.MS_PER_SECOND
            )

    def set_cold_servers(self, services: Iterable[deployment.ServiceName]) -> None:
        """Set the cold servers, given by their services."""
        self._cold_servers.clear()
        for service, count in collections.Counter(services).items():
            self._cold_servers.labels(service).set(count)

    def set_lease_takeovers(self, count_by_origin: Mapping[str, int]) -> None:
        """Set how often this gateway took the order lease."""
        for origin, count in count_by_origin.items():
            self._lease_takeovers.labels(origin).set(count)

    def record_crash_rejection(self) -> None:
        """Count a request that a crash finding rejected."""
        self._crash_rejections.inc()

    def record_aborted_answer(self, reason: str) -> None:
        """Count an answer that was ended before it was complete."""
        self._aborted_answers.labels(reason).inc()

    def record_closed_connection(self, reason: str, *, is_unread: bool) -> None:
        """Record a connection of a caller that this gateway closed."""
        self._closed_connections.labels(reason, str(is_unread).lower()).inc()

    def set_descriptors(self, usage: connection_budget.Usage, limit: int) -> None:
        """Set the descriptors in use, and how many may be."""
        for use, count in (
            ("connections", usage.connections),
            ("requests", usage.requests),
            ("links", usage.links),
            ("followed", usage.followed),
            ("used", usage.descriptors),
            ("limit", limit),
        ):
            self._descriptors.labels(use).set(count)

    def set_accept_pauses(self, count: int) -> None:
        """Set how often accepting was paused since the start of the process."""
        self._accept_pauses.inc(count - self._accept_pause_count)
        self._accept_pause_count = count

    def set_held_bytes(self, budget: byte_budget.ByteBudget) -> None:
        """Set the bytes that are held, and how often further ones could not be."""
        for holder, limit in budget.limit_by_holder.items():
            held = budget.held_by_holder[holder]
            self._held_bytes.labels(holder.value, "used").set(held)
            self._held_bytes.labels(holder.value, "limit").set(limit)
            count = budget.rejections_by_holder[holder]
            added = count - self._memory_rejection_count.get(holder, 0)
            self._memory_rejection_count[holder] = count
            self._memory_rejections.labels(holder.value).inc(added)

    def set_chunks(self, waiting: int, rejections: int) -> None:
        """Set the bodies in chunks that wait, and the requests rejected so far."""
        self._chunked_bodies.set(waiting)
        self._chunk_rejections.inc(rejections - self._chunk_rejection_count)
        self._chunk_rejection_count = rejections

    def record_resumption(self, origin: str) -> None:
        """Count a stream that a caller resumed, by the origin of its version."""
        self._resumptions.labels(origin).inc()

    def set_permit_counts(self, count_by_event: Mapping[str, int]) -> None:
        """Set the number of permits since the start of the process, by event."""
        for event, count in count_by_event.items():
            added = count - self._permit_counts.get(event, 0)
            self._permit_counts[event] = count
            self._permits.labels(event).inc(max(0, added))

    def record_own_answer(self, status: int, reason: str) -> None:
        """Count an answer that the gateway gave without a backend server."""
        self._own_answers.labels(str(status), reason).inc()
