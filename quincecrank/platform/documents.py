"""Decodes documents that operators and backend servers write to the store."""

import math
from typing import Any, Final

from quincecrank import checked_values, clock, ids, json_text
from quincecrank.gateway import deployment, servers

DEFAULT_EVENT_CALLS: Final = 12
"""Maximum number of concurrent event calls at a server whose service sets no limit."""

MAX_ERROR_LENGTH: Final = 300
"""Characters of an error's text that are logged."""


class DocumentError(Exception):
    """A document lacks a required field or has one of a wrong type."""


class ConfigurationDecoder:
    """Decodes successive configurations; routes that are unchanged are reused.

    Most changes concern one route of a thousand.
    """

    def __init__(self) -> None:
        self._decoded_by_name: dict[str, tuple[dict[str, Any], deployment.Route]] = {}

    def decode(self, text: str) -> deployment.Deployment:
        """Decode the operator's configuration.

        Raises
        ------
        DocumentError
            If it is malformed.
        """
        try:
            document = json_text.parse(text)
            routes = [self._parse_route(each) for each in document["routes"]]
            decoded = _parse_deployment(document, routes)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise _error("configuration", error) from error
        self._decoded_by_name = {
            route.name: (each, route)
            for each, route in zip(document["routes"], routes, strict=True)
        }
        return decoded

    def _parse_route(self, document: dict[str, Any]) -> deployment.Route:
        found = self._decoded_by_name.get(document["name"])
        # Equal numbers of different types, as 1 and true, are decoded alike.
        if found is not None and found[0] == document:
            return found[1]
        return _parse_route(document)


def configuration(text: str) -> deployment.Deployment:
    """Decode one configuration; raises as `ConfigurationDecoder.decode` does."""
    return ConfigurationDecoder().decode(text)


def target_weights(text: str) -> tuple[deployment.ModelName, int]:
    """Decode the operator's target weights of a model: its name and the version.

    Raises
    ------
    DocumentError
        If it is malformed.
    """
    try:
        document = json_text.parse(text)
        return (
            deployment.ModelName(checked_values.name(document["model"])),
            checked_values.count(document["version"], checked_values.MAX_UINT32),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _error("weights", error) from error


def server_entry(server_id: str, text: str) -> servers.ServerEntry:
    """Decode the entry of a backend server.

    Raises
    ------
    DocumentError
        If the entry is malformed, as those of other writers may be.
    """
    try:
        document = json_text.parse(text)
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
            # Entries of other writers may lack any field.  Every backend server writes
            # this one, so an entry without it is rejected.
            cold_remaining_ms=checked_values.count(document["coldRemainingMs"]),
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
        raise _error("server entry", error) from error


def _parse_deployment(
    document: dict[str, Any], routes: list[deployment.Route]
) -> deployment.Deployment:
    routes_by_host: dict[str, list[deployment.Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    accounts = document.get("tenants")
    services, stores = _parse_services(document["services"])
    return deployment.Deployment(
        version=ids.ConfigurationVersion(_integer(document["version"])),
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
        name=deployment.RouteName(checked_values.name(document["name"])),
        host=document["host"].lower(),
        prefix=document["prefix"],
        targets=tuple(
            deployment.WeightedService(
                deployment.ServiceName(checked_values.name(each["service"])),
                _finite(each["weight"]),
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
        timeout_ms=_integer(document["timeoutMs"]),
        target_ms=_integer(document.get("targetLatencyMs") or document["timeoutMs"]),
        gap_target_ms=_integer(document.get("gapTargetMs") or document["timeoutMs"]),
        max_attempts=max(1, _integer(document.get("maxAttempts") or 1)),
        urgency=_integer(document.get("priority") or 0),
        is_public=bool(document.get("public", False)),
        allowed_regions=_parse_regions(document),
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
        name = deployment.ServiceName(checked_values.name(each["name"]))
        if each.get("kvStoreAddr"):
            stores[name] = _parse_store(name, each)
        else:
            services[name] = deployment.Service(
                name,
                _integer(each.get("maxConns") or 1),
                _parse_engine(each.get("engine")),
                round(_finite(each.get("coldStartS") or 0.0) * clock.MS_PER_SECOND),
                _finite(each.get("coldPerS") or 0.0),
            )
    return services, stores


def _parse_engine(document: dict[str, Any] | None) -> deployment.EngineLimits | None:
    if not document:
        return None
    return deployment.EngineLimits(
        slots=_integer(document["slots"]),
        memory_tokens=_integer(document["kvCapacityTokens"]),
        token_bytes=_integer(document["kvTokenBytes"]),
        link_mbps=_finite(document["linkMbps"]),
        max_event_calls=_integer(document.get("maxInflight") or DEFAULT_EVENT_CALLS),
        models=tuple(
            deployment.ModelName(checked_values.name(model["name"]))
            for model in document["models"]
        ),
    )


def _parse_store(
    name: deployment.ServiceName, document: dict[str, Any]
) -> deployment.CacheStore:
    return deployment.CacheStore(
        name=name,
        address=checked_values.token(document["kvStoreAddr"]),
        data_centre=ids.DataCentre(checked_values.name(document["zone"])),
        capacity_tokens=_integer(document["kvCapacityTokens"]),
        link_mbps=_finite(document["linkMbps"]),
        transfer_delay_ms=_finite(document.get("first_ms") or 0.0),
        max_event_calls=_integer(document.get("maxInflight") or DEFAULT_EVENT_CALLS),
        is_managed=bool(document.get("managed", False)),
    )


def _parse_limits(document: dict[str, Any]) -> deployment.ClientLimits:
    return deployment.ClientLimits(
        max_header_bytes=_integer(document["maxHeaderBytes"]),
        max_body_bytes=_integer(document["maxBodyBytes"]),
        header_timeout_ms=_integer(document["headerTimeoutMs"]),
        idle_timeout_ms=_integer(document["idleTimeoutMs"]),
    )


def _parse_account(document: dict[str, Any]) -> deployment.Account:
    urgency = document.get("priority")
    return deployment.Account(
        name=ids.AccountName(checked_values.name(document["name"])),
        urgency=None if urgency is None else _integer(urgency),
        is_isolated=bool(document.get("isolated", False)),
        allowed_regions=_parse_regions(document),
    )


def _parse_regions(document: dict[str, Any]) -> frozenset[ids.Region]:
    """Return the allowed regions of a route or an account; empty for all."""
    names = document.get("allowedRegions") or []
    if not isinstance(names, list):
        raise ValueError("allowedRegions is no list")
    return frozenset(ids.Region(checked_values.name(each)) for each in names)


def _integer(value: Any) -> int:
    """Return a value as an integer of at most 64 bits; truncates fractions."""
    number = int(value)
    if abs(number) > json_text.MAX_NUMBER:
        raise ValueError("a number of more than 64 bits")
    return number


def _finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("a number that is not finite")
    return number


def _error(kind: str, error: Exception) -> DocumentError:
    """Return the error of a document; its text is short, whatever the document has."""
    return DocumentError(f"{kind}: {repr(error)[:MAX_ERROR_LENGTH]}")
