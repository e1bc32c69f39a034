"""Builders of test data for gateways."""

import json
import random
from collections.abc import Mapping
from typing import Any

from tornado import httputil

from quincecrank import crash_counts, ids
from quincecrank.gateway import (
    cache_part_index,
    cache_transfers,
    crash_findings,
    crash_suspicions,
    deployment,
    engine_weight_updates,
    environment,
    loads,
    placement,
    prompts,
    request_queue,
    servers,
    shutdown_schedule,
)

LLM = deployment.ServiceName("drafting")
PLAIN = deployment.ServiceName("records")
MODEL = deployment.ModelName("model-a")
HOST = "desk.example"
KEY = "key-of-patan"
ACCOUNT = ids.AccountName("patan")


def make_bounds(**changes: Any) -> environment.Bounds:
    """Return bounds as operators set them, with the given changes."""
    values: dict[str, Any] = {
        "shutdown_grace_ms": 8_000,
        "drain_ms": 2_000,
        "configuration_apply_ms": 2_000,
        "order_lease_ms": 3_000,
        "weights_deadline_ms": 8_000,
        "retry_ratio": 0.2,
        "retry_floor": 100,
        "retry_window_ms": 10_000,
        "thaw_ms": 300,
    }
    return environment.Bounds(**{**values, **changes})


def make_environment(
    peer_port: int = 1,
    metrics_port: int = 2,
    callers_port: int = 3,
    ip: str = "127.0.0.1",
) -> environment.Environment:
    """Return the settings of a process on loopback."""
    endpoint = environment.Endpoint
    return environment.Environment(
        vm=ids.VmName("entry-1"),
        data_centre=ids.DataCentre("patan"),
        ip=ip,
        callers=endpoint("127.0.0.1", callers_port),
        readiness=endpoint("127.0.0.1", 4),
        peer_port=peer_port,
        metrics_port=metrics_port,
        seed_ips=(),
        memory_mb=200,
        max_descriptors=1_000,
        store=environment.StoreSettings(endpoint("127.0.0.1", 5), 400, 2_000, 65_536),
        bounds=make_bounds(),
    )


def make_entry(
    server_id: str = "i-1",
    *,
    service: deployment.ServiceName = LLM,
    address: str = "127.0.0.1:9",
    slots: int = 8,
    state: servers.ServerState = servers.ServerState.READY,
    started_wall_ms: int = 1,
    weights: int | None = 1,
    software_version: str = "v1",
) -> servers.ServerEntry:
    """Return the entry of a backend server; `weights` is None for a plain one."""
    return servers.ServerEntry(
        server_id=servers.ServerId(server_id),
        service=service,
        address=address,
        data_centre=ids.DataCentre("patan"),
        slots=slots,
        state=state,
        started_wall_ms=started_wall_ms,
        weight_versions_by_model={} if weights is None else {MODEL: weights},
        software_version=servers.SoftwareVersion(software_version),
    )


def make_entry_document(**changes: Any) -> dict[str, Any]:
    """Return an entry of a backend server as stored; None removes a field."""
    document: dict[str, Any] = {
        "service": "drafting",
        "address": "10.1.0.9:8080",
        "zone": "patan",
        "version": "v1",
        "slots": 128,
        "state": "ready",
        "coldRemainingMs": 0,
        "stage": "colocated",
        "models": [{"name": "model-a", "version": 1, "adapters": []}],
        "seq": 4,
        "born": 1_790_343_895_426,
    }
    document.update(changes)
    return {name: value for name, value in document.items() if value is not None}


def make_configuration_document(version: int = 7) -> dict[str, Any]:
    """Return an operator's configuration as stored."""
    return {
        "version": version,
        "routes": [
            make_route_document("r-1", "/draft/", "drafting", kind="streaming"),
            make_route_document(
                "r-2", "/draft/long/", "drafting", kind="streaming", resumable=True
            ),
            make_route_document("r-3", "/record/", "records", kind="non_idempotent"),
            make_route_document("r-4", "/look/", "records", attempts=2),
            make_route_document("r-5", "/open/", "records", public=True),
        ],
        "services": [
            {
                "name": "store-a",
                "kvStoreAddr": "127.0.0.1:10",
                "zone": "patan",
                "kvCapacityTokens": 100_000,
                "linkMbps": 850_000.0,
                "maxInflight": 12,
                "managed": True,
                "first_ms": 0.5,
            },
            {
                "name": "drafting",
                "healthPath": "/health",
                "maxConns": 100,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 128,
                    "kvCapacityTokens": 64_000,
                    "kvTokenBytes": 96_256,
                    "linkMbps": 1_100_000.0,
                    "maxInflight": 12,
                    "models": [{"name": "model-a"}],
                },
            },
            {
                "name": "records",
                "healthPath": "/health",
                "maxConns": 50,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": "patan", "apiKeys": [KEY], "priority": 1},
            {"name": "closed", "apiKeys": ["key-of-closed"], "isolated": True},
        ],
    }


def make_route_document(
    name: str,
    prefix: str,
    service: str,
    *,
    kind: str = "idempotent",
    attempts: int = 1,
    timeout_ms: int = 3_000,
    public: bool = False,
    resumable: bool = False,
) -> dict[str, Any]:
    """Return a route of an operator's configuration as stored."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": public,
        "resumable": resumable,
        "gapTargetMs": 250,
    }


def make_configuration_text(version: int = 7) -> str:
    """Return the stored text of an operator's configuration."""
    return json.dumps(make_configuration_document(version))


def make_prompt(
    *parts: tuple[str, int], output_tokens: int = 10, hint: int | None = None
) -> prompts.Prompt:
    """Return a prompt of parts given by name and tokens; the last one is not shared."""
    prompt_parts = tuple(
        prompts.PromptPart(prompts.PartId(name), tokens) for name, tokens in parts
    )
    return prompts.Prompt(
        model=MODEL,
        input_tokens=sum(part.tokens for part in prompt_parts),
        max_output_tokens=output_tokens,
        parts=prompt_parts,
        expected_output_tokens=hint,
    )


def make_queued_request(
    request_id: str = "r",
    *,
    urgency: int = 1,
    arrived_ms: int = 0,
    deadline_ms: int = 5_000,
    target_ms: int = 500,
    least_run_ms: float = 0.0,
) -> request_queue.QueuedRequest:
    """Return a queued request; times are monotonic milliseconds."""
    return request_queue.QueuedRequest(
        ids.RequestId(request_id),
        urgency,
        arrived_ms,
        deadline_ms,
        target_ms,
        least_run_ms,
    )


def make_candidate(
    server_id: str,
    *,
    requests: int = 0,
    memory_tokens: int = 0,
    prefill_tokens: int = 0,
    missing_tokens: int = 0,
    slots: int = 8,
    slowness: float = 1.0,
) -> placement.Candidate:
    """Return a backend server that may be chosen, with its load."""
    return placement.Candidate(
        make_entry(server_id, slots=slots),
        loads.Load(requests, memory_tokens, prefill_tokens),
        slowness,
        missing_tokens,
    )


def make_source(
    name: str,
    *,
    is_store: bool = True,
    capacity_tokens: int = 10_000,
    link_mbps: float = 850_000.0,
    known_for_ms: int = 60_000,
) -> cache_transfers.Source:
    """Return a holder to fetch KV cache from; its address is its name and a port."""
    return cache_transfers.Source(
        holder=cache_part_index.HolderName(name),
        address=f"{name}:1",
        link_mbps=link_mbps,
        delay_ms=0.5,
        is_store=is_store,
        capacity_tokens=capacity_tokens,
        is_managed=is_store,
        tracked_for_ms=known_for_ms,
    )


def make_cache_index(
    salt: cache_part_index.CacheSalt,
    tokens_by_part_by_holder: Mapping[str, Mapping[str, int]],
) -> cache_part_index.CacheIndex:
    """Return a cache index in which the holders hold the given parts."""
    cache_index = cache_part_index.CacheIndex()
    for name, tokens_by_part in tokens_by_part_by_holder.items():
        holder = cache_part_index.HolderName(name)
        cache_index.reset(holder, 1, 0)
        cache_index.apply(
            holder,
            [
                cache_part_index.CacheChange(
                    cache_part_index.PartKey(salt, prompts.PartId(part)), tokens
                )
                for part, tokens in tokens_by_part.items()
            ],
        )
    return cache_index


def make_changes(
    salt: cache_part_index.CacheSalt, count: int, seed: int = 1
) -> tuple[cache_part_index.CacheChange, ...]:
    """Return changes of different parts with random names, which compress badly."""
    generator = random.Random(seed)
    return tuple(
        cache_part_index.CacheChange(
            cache_part_index.PartKey(
                salt, prompts.PartId(f"{generator.randrange(16**12):012x}")
            ),
            generator.randrange(9_000),
        )
        for _ in range(count)
    )


def make_weight_update(
    server_id: str = "i-1",
    *,
    version: int = 2,
    is_loaded: bool = False,
    started_wall_ms: int = 1,
) -> engine_weight_updates.WeightUpdate:
    """Return an update of an engine's weights."""
    return engine_weight_updates.WeightUpdate(
        servers.ServerId(server_id), started_wall_ms, MODEL, version, is_loaded
    )


def make_fingerprint(name: str = "a") -> crash_counts.CrashKey:
    """Return the identity of a request of the test account."""
    return crash_counts.CrashKey(ACCOUNT, name.encode())


def make_subject(
    name: str = "a", *parts: str, account: ids.AccountName = ACCOUNT
) -> crash_suspicions.Subject:
    """Return a request with shared prompt parts as evidence of crashes."""
    return crash_suspicions.Subject(
        crash_counts.CrashKey(account, name.encode()),
        tuple(make_part_key(part) for part in parts),
    )


def make_part_key(part: str) -> crash_findings.SuspectKey:
    """Return the key of a prompt part of the test model as a suspect."""
    return crash_findings.SuspectKey(f"part {MODEL} {part}")


def make_headers(**extra: str) -> httputil.HTTPHeaders:
    """Return the headers of a caller's request; underscores stand for dashes."""
    headers = httputil.HTTPHeaders(
        {
            "Host": HOST,
            "Request-Id": "q-1",
            "Authorization": f"Token {KEY}",
            "Deadline-Ms": "2000",
        }
    )
    for name, value in extra.items():
        headers[name.replace("_", "-")] = value
    return headers


def make_shutdown(
    signalled_ms: int, grace_ms: int, noticed_after_ms: int = 0
) -> shutdown_schedule.ShutdownSchedule:
    """Return the schedule of a shutdown.

    Parameters
    ----------
    signalled_ms : int
        Earliest time of the signal.
    noticed_after_ms : int
        Time from then to its notice.
    """
    latest_ms = signalled_ms + noticed_after_ms
    signal = shutdown_schedule.SignalTime(signalled_ms, latest_ms)
    return shutdown_schedule.ShutdownSchedule(signal, grace_ms)


def make_suspicions() -> crash_suspicions.CrashSuspicions:
    """Return an aggregate for which each suspected server counts as crashed."""
    return crash_suspicions.CrashSuspicions(lambda _suspicion: True)
