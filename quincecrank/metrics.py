"""Prometheus metrics of entries and agents."""

import enum
from typing import Final

import prometheus_client

from quincecrank import ids

_FIRST_TOKEN_BUCKETS_S: Final = (
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip


class Direction(enum.Enum):
    """Direction of a transfer over the network link of a store VM."""

    READ = "read"
    WRITE = "write"


class EntryMetrics:
    """Metrics of an entry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._first_token = prometheus_client.Histogram(
            "quince_first_token_seconds",
            "Time from the request to its first token",
            ["deployment"],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self._prompt_tokens = prometheus_client.Counter(
            "quince_prompt_tokens",
            "Prompt tokens by where their work came from",
            ["deployment", "source"],
            registry=self.registry,
        )
        self._answers = prometheus_client.Counter(
            "quince_answers",
            "Answers by kind; kind is 'whole' or that of the refusal",
            ["deployment", "kind"],
            registry=self.registry,
        )
        self._retries = prometheus_client.Counter(
            "quince_retries", "Attempts after the first", ["deployment"],
            registry=self.registry,
        )  # fmt: skip
        self.open_requests = prometheus_client.Gauge(
            "quince_open_requests", "Requests being served", registry=self.registry
        )
        self.configuration_version = prometheus_client.Gauge(
            "quince_configuration_version", "Version in force", registry=self.registry
        )

    def record_first_token(
        self, deployment: ids.DeploymentName, duration_ms: float
    ) -> None:
        """Record a time to first token, given in milliseconds."""
        self._first_token.labels(deployment).observe(duration_ms / 1000)

    def record_prompt_sources(
        self,
        deployment: ids.DeploymentName,
        prompt_tokens: int,
        cached_tokens: int,
        restored_tokens: int,
    ) -> None:
        """Count the tokens of one prompt as recomputed, restored or cached."""
        sources = {
            "recomputed": prompt_tokens - cached_tokens,
            "restored": restored_tokens,
            "cached": max(0, cached_tokens - restored_tokens),
        }
        for source, tokens in sources.items():
            self._prompt_tokens.labels(deployment, source).inc(tokens)

    def count_answer(self, deployment: ids.DeploymentName, kind: str) -> None:
        """Count an answer; `kind` is "whole" or the kind of its problem."""
        self._answers.labels(deployment, kind).inc()

    def count_retry(self, deployment: ids.DeploymentName) -> None:
        """Count an attempt after the first."""
        self._retries.labels(deployment).inc()


class AgentMetrics:
    """Metrics of an agent."""

    def __init__(self, deployment: ids.DeploymentName) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._deployment = deployment
        self._link_bytes = prometheus_client.Counter(
            "quince_link_bytes",
            "Bytes moved over the links of the store VMs",
            ["deployment", "tier", "direction"],
            registry=self.registry,
        )
        self.running = prometheus_client.Gauge(
            "quince_running", "Requests that run", registry=self.registry
        )
        self.waiting = prometheus_client.Gauge(
            "quince_waiting", "Requests that wait", registry=self.registry
        )
        self.directory_blocks = prometheus_client.Gauge(
            "quince_directory_blocks", "Blocks in the shard", registry=self.registry
        )

    def count_transfer(
        self, tier: ids.TierName, direction: Direction, size_bytes: int
    ) -> None:
        """Add the bytes of a transfer over the link of a store VM."""
        labels = (self._deployment, tier, direction.value)
        self._link_bytes.labels(*labels).inc(size_bytes)
