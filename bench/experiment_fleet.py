"""The fleets that the experiments run on: one user's model deployment each."""

import dataclasses
import time
import urllib.request
from typing import Final

import prometheus_client.parser

from bench import load, lower_bound, measures, trace
from quincecrank import configuration, ids
from standins import local_fleet, users

PREFILL_TOKENS_PER_SECOND: Final = 20_000
DECODE_MS: Final = 10
CACHE_BLOCKS: Final = 48
PAYLOAD_BYTES: Final = 65_536
"""Size of one stored block."""

EVENT_DELAY_MS: Final = 100
EVENT_LOSS: Final = 0.002
"""Fraction of cache events that are lost."""

LOAD_LAG_MS: Final = 250
MEMORY_LINK_BYTES_PER_SECOND: Final = 8_000_000
DISK_LINK_BYTES_PER_SECOND: Final = 2_000_000
MEMORY_TIER_BYTES: Final = 24 * users.MEBIBYTE
DISK_TIER_BYTES: Final = 256 * users.MEBIBYTE
WEIGHT_VERSION: Final = ids.WeightVersion("v1")

READY_TIMEOUT_S: Final = 30.0
_READY_POLL_S: Final = 0.1

SAJHA_WEIGHTS: Final = configuration.PolicyWeights(
    first_token=0.2, recomputed=60.0, link=60.0
)
TINTA_CLARA_WEIGHTS: Final = configuration.PolicyWeights(
    first_token=1.0, recomputed=1.0, link=0.1
)

_REPLICAS: Final = {trace.Workload.SAJHA: 5, trace.Workload.TINTA_CLARA: 6}


@dataclasses.dataclass(frozen=True)
class Variant:
    """What differs between the runs of an experiment.

    Attributes
    ----------
    policy : str
        Name of the routing policy of the entries.
    entries : int
        Number of entries; requests are sent to them in turn.
    """

    policy: str
    entries: int = 1


def speeds() -> lower_bound.Speeds:
    """Return the speeds that `lower_bound` assumes, those of the fleet."""
    return lower_bound.Speeds(
        PREFILL_TOKENS_PER_SECOND, MEMORY_LINK_BYTES_PER_SECOND, PAYLOAD_BYTES
    )


def setting() -> dict[str, object]:
    """Return the settings of the experiment, by the names that the report shows."""
    return {
        "replicas": ", ".join(f"{w.value} {n}" for w, n in _REPLICAS.items()),
        "weights of sajha": _weights_text(SAJHA_WEIGHTS),
        "weights of tinta-clara": _weights_text(TINTA_CLARA_WEIGHTS),
        "prefill, tokens a second and replica": PREFILL_TOKENS_PER_SECOND,
        "decode, ms a token": DECODE_MS,
        "engine memory, blocks a replica": CACHE_BLOCKS,
        "block payload, bytes": PAYLOAD_BYTES,
        "memory link of a store VM, bytes a second": MEMORY_LINK_BYTES_PER_SECOND,
        "disk link of a store VM, bytes a second": DISK_LINK_BYTES_PER_SECOND,
        "memory tier of a store VM, MiB": MEMORY_TIER_BYTES // users.MEBIBYTE,
        "cache events": f"{EVENT_DELAY_MS} ms late, {EVENT_LOSS:.1%} lost",
        "load report lag, ms": LOAD_LAG_MS,
        "hours of a trace": f"{trace.HOURS} of {trace.HOUR_MS / 1000:.0f} s each",
        "contexts, tokens": f"{trace.MIN_CONTEXT_TOKENS}-{trace.MAX_CONTEXT_TOKENS}",
        "answer, tokens": trace.ANSWER_TOKENS,
    }


def _weights_text(weights: configuration.PolicyWeights) -> str:
    return ", ".join(f"{name} {value:g}" for name, value in weights)


def fleet_spec(workload: trace.Workload, variant: Variant) -> local_fleet.FleetSpec:
    """Return the fleet of one user, with model replicas only."""
    if workload is trace.Workload.SAJHA:
        deployment, centres = users.lekhak(), users.SAJHA_CENTRES
        account_names, stores, prefix = users.NEWSROOMS, users.SAJHA_STORES, "smriti"
    else:
        deployment, centres = users.lector(), users.TINTA_CENTRES
        account_names, stores, prefix = users.FLEETS, users.TINTA_STORES, "quince"
    weights_by_workload = {
        trace.Workload.SAJHA: SAJHA_WEIGHTS,
        trace.Workload.TINTA_CLARA: TINTA_CLARA_WEIGHTS,
    }
    weights = weights_by_workload[workload]
    deployment = deployment.model_copy(update={"weights": weights})
    replicas = _REPLICAS[workload]
    backend = local_fleet.BackendSpec(deployment, replicas, centres, _engine_flags())
    return local_fleet.FleetSpec(
        backends=(backend,),
        accounts=users.accounts(account_names),
        tiers=_tiers(prefix, stores),
        store_flags={name: _store_flags() for name in stores},
        entries=variant.entries,
        entry_options={"policy": variant.policy},
    )


def _engine_flags() -> dict[str, object]:
    return {
        "prefill_tokens_per_second": PREFILL_TOKENS_PER_SECOND,
        "decode_ms": DECODE_MS,
        "cache_blocks": CACHE_BLOCKS,
        "payload_bytes": PAYLOAD_BYTES,
        "event_delay_ms": EVENT_DELAY_MS,
        "event_loss": EVENT_LOSS,
        "load_lag_ms": LOAD_LAG_MS,
    }


def _store_flags() -> dict[str, object]:
    return {
        "memory_bytes": MEMORY_TIER_BYTES,
        "disk_bytes": DISK_TIER_BYTES,
        "memory_link": MEMORY_LINK_BYTES_PER_SECOND,
        "disk_link": DISK_LINK_BYTES_PER_SECOND,
    }


def _tiers(
    prefix: str, stores: tuple[ids.VmName, ...]
) -> tuple[configuration.Tier, ...]:
    kinds = configuration.TierKind
    sizes = (
        (kinds.MEMORY, MEMORY_LINK_BYTES_PER_SECOND, MEMORY_TIER_BYTES),
        (kinds.DISK, DISK_LINK_BYTES_PER_SECOND, DISK_TIER_BYTES),
    )
    return tuple(
        configuration.Tier(
            name=ids.TierName(f"{prefix}-{kind.value}"),
            kind=kind,
            link_bytes_per_second=link,
            capacity_bytes=capacity,
            stores=stores,
        )
        for kind, link, capacity in sizes
    )


def target(fleet: local_fleet.LocalFleet) -> load.Target:
    """Return the addresses and secrets that the load generator needs for a fleet."""
    return load.Target(
        tuple(entry.url for entry in fleet.entries),
        fleet.keys_by_account,
        fleet.account_secret(),
        WEIGHT_VERSION,
    )


def wait_ready(fleet: local_fleet.LocalFleet, replicas: int) -> None:
    """Wait until every entry answers prompts reliably.

    An entry counts as ready after two consecutive answers for each replica.

    Parameters
    ----------
    replicas : int
        Replicas of the fleet.

    Raises
    ------
    TimeoutError
        If an entry is not ready within `READY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    account = next(iter(fleet.keys_by_account))
    deployment = next(iter(fleet.replicas_by_name.values())).spec.deployment.name
    for entry in fleet.entries:
        answered = 0
        while answered < 2 * replicas:
            if time.monotonic() > deadline:
                raise TimeoutError(f"{entry.name} is not ready within the timeout")
            if _answers(entry.url, fleet.keys_by_account[account], deployment):
                answered += 1
            else:
                answered = 0
                time.sleep(_READY_POLL_S)


def _answers(url: str, key: str, model: str) -> bool:
    request = urllib.request.Request(
        f"{url}/v1/completions",
        f'{{"model":"{model}","prompt":"ready?","max_tokens":1}}'.encode(),
        {"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return bool(response.status == 200)
    except OSError:
        return False


def link_use(fleet: local_fleet.LocalFleet) -> measures.LinkBytes:
    """Return the bytes that all agents have transferred so far, by tier."""
    read: dict[str, int] = {}
    written: dict[str, int] = {}
    for name in fleet.replicas_by_name:
        with urllib.request.urlopen(fleet.metrics_url(name), timeout=10) as response:
            text = response.read().decode()
        for family in prometheus_client.parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name != "quince_link_bytes_total":
                    continue
                by_tier = read if sample.labels["direction"] == "read" else written
                tier = sample.labels["tier"]
                by_tier[tier] = by_tier.get(tier, 0) + int(sample.value)
    return measures.LinkBytes(read, written)
