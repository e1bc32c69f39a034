"""Decodes documents that operators and backend servers write to the store."""

from typing import Any, Final

from quincecrank import checked_values, ids, json_text
from quincecrank.gateway import deployment, servers

DEFAULT_EVENT_CALLS: Final = 12
"""Maximum number of concurrent event calls at a server whose service sets no limit."""


class DocumentError(Exception):
    """A document lacks a required field or has one of a wrong type."""


def configuration(text: str) -> deployment.Deployment:
    """Decode the operator's configuration.

    Raises
    ------
    DocumentError
        If it is malformed.
    """
    try:
        return _parse_deployment(json_text.parse(text))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"configuration: {error!r}") from error


def target_weights(text: str) -> tuple[deployment.ModelName, int]:
    """Decode the operator's target weights of a model: its name and the version.

    Raises
    ------
    DocumentError
        If it is malformed.
    """
    try:
        document = json_text.parse(text)
        return deployment.ModelName(document["model"]), int(document["version"])
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError(f"weights: {error!r}") from error


def server_entry(server_id: str, text: str) -> servers.ServerEntry:
    """Decode the entry of a backend server.

    Raises
    ------
    DocumentError
        If the entry is malformed, as those of other writers may be.
    """
    try:
        document = json_text.parse(text)
        # Entries of other writers may lack any field.  This one is not used, but every
        # backend server writes it, so an entry without it is rejected.
        checked_values.count(document["coldRemainingMs"])
        return servers.ServerEntry(
            server_id=servers.ServerId(checked_values.token(server_id)),
            service=deployment.ServiceName(checked_values.name(document["service"])),
            address=checked_values.endpoint(document["address"]),
            data_centre=ids.DataCentre(checked_values.name(document["zone"])),
            slots=checked_values.count(
                document["slots"], limit=checked_values.MAX_UINT32
            ),
            state=servers.ServerState(checked_values.name(document["state"])),
            started_wall_ms=checked_values.count(document["born"]),
            # Counts the writes of one incarnation of the server.
            report_number=checked_values.count(document["seq"]),
            software_version=servers.SoftwareVersion(
                checked_values.name(document["version"])
            ),
            weight_versions_by_model={
                deployment.ModelName(
                    checked_values.name(model["name"])
                ): checked_values.count(
                    model["version"], limit=checked_values.MAX_UINT32
                )
                for model in document.get("models", ())
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"server entry: {error!r}") from error


def _parse_deployment(document: dict[str, Any]) -> deployment.Deployment:
    routes_by_host: dict[str, list[deployment.Route]] = {}
    for each in document["routes"]:
        route = _parse_route(each)
        routes_by_host.setdefault(route.host, []).append(route)
    accounts = document.get("tenants")
    services, stores = _parse_services(document["services"])
    return deployment.Deployment(
        version=ids.ConfigurationVersion(int(document["version"])),
        routes_by_host={host: tuple(each) for host, each in routes_by_host.items()},
        services_by_name=services,
        stores_by_name=stores,
        limits=_parse_limits(document["limits"]),
        accounts_by_key={
            key: account
            for each in accounts or ()
            for account in (_parse_account(each),)
            for key in each["apiKeys"]
        },
        requires_keys=accounts is not None,
    )


def _parse_route(document: dict[str, Any]) -> deployment.Route:
    kind = document["routeKind"]
    is_idempotent = kind == "idempotent"
    # A route names one service, or several with a weight for each.
    split = document.get("trafficSplit") or [
        {"service": document["service"], "weight": 1}
    ]
    return deployment.Route(
        name=deployment.RouteName(document["name"]),
        host=document["host"].lower(),
        prefix=document["prefix"],
        targets=tuple(
            deployment.WeightedService(
                deployment.ServiceName(each["service"]), float(each["weight"])
            )
            for each in split
        ),
        repeatability=(
            deployment.Repeatability.IDEMPOTENT
            if is_idempotent
            else deployment.Repeatability.NON_IDEMPOTENT
        ),
        is_stream=kind == "streaming",
        is_resumable=bool(document.get("resumable", False)),
        timeout_ms=int(document["timeoutMs"]),
        target_ms=int(document.get("targetLatencyMs") or document["timeoutMs"]),
        gap_target_ms=int(document.get("gapTargetMs") or document["timeoutMs"]),
        max_attempts=max(1, int(document.get("maxAttempts") or 1)),
        urgency=int(document.get("priority") or 0),
        is_public=bool(document.get("public", False)),
    )


def _parse_services(
    documents: list[dict[str, Any]],
) -> tuple[
    dict[deployment.ServiceName, deployment.Service],
    dict[deployment.ServiceName, deployment.CacheStore],
]:
    services = {}
    stores = {}
    for each in documents:
        name = deployment.ServiceName(each["name"])
        if each.get("kvStoreAddr"):
            stores[name] = _parse_store(name, each)
        else:
            services[name] = deployment.Service(
                name, int(each.get("maxConns") or 1), _parse_engine(each.get("engine"))
            )
    return services, stores


def _parse_engine(document: dict[str, Any] | None) -> deployment.EngineLimits | None:
    if not document:
        return None
    return deployment.EngineLimits(
        slots=int(document["slots"]),
        memory_tokens=int(document["kvCapacityTokens"]),
        token_bytes=int(document["kvTokenBytes"]),
        link_mbps=float(document["linkMbps"]),
        max_event_calls=int(document.get("maxInflight") or DEFAULT_EVENT_CALLS),
        models=tuple(
            deployment.ModelName(model["name"]) for model in document["models"]
        ),
    )


def _parse_store(
    name: deployment.ServiceName, document: dict[str, Any]
) -> deployment.CacheStore:
    return deployment.CacheStore(
        name=name,
        address=document["kvStoreAddr"],
        data_centre=ids.DataCentre(document["zone"]),
        capacity_tokens=int(document["kvCapacityTokens"]),
        link_mbps=float(document["linkMbps"]),
        transfer_delay_ms=float(document.get("first_ms") or 0.0),
        max_event_calls=int(document.get("maxInflight") or DEFAULT_EVENT_CALLS),
        is_managed=bool(document.get("managed", False)),
    )


def _parse_limits(document: dict[str, Any]) -> deployment.ClientLimits:
    return deployment.ClientLimits(
        max_header_bytes=int(document["maxHeaderBytes"]),
        max_body_bytes=int(document["maxBodyBytes"]),
        header_timeout_ms=int(document["headerTimeoutMs"]),
        idle_timeout_ms=int(document["idleTimeoutMs"]),
    )


def _parse_account(document: dict[str, Any]) -> deployment.Account:
    urgency = document.get("priority")
    return deployment.Account(
        name=ids.AccountName(document["name"]),
        urgency=None if urgency is None else int(urgency),
        is_isolated=bool(document.get("isolated", False)),
    )
