"""Decodes the settings file that the platform writes for each process."""

import os
import pathlib
from collections.abc import Callable
from typing import Any, Final, TypeVar

from quincecrank import checked_values, clock, ids, json_text
from quincecrank.gateway import environment
from quincecrank.platform import names

DEFAULT_CONFIGURATION_APPLY_MS: Final = 2_000
"""Time within which a configuration must be in force where the settings name none."""

SHARED_ADMISSION_CONTRACT: Final = "pressure"
POOL_CONTRACT: Final = "pool"
"""Parts of the operator's terms.  The first asks for shared admission, the second for
even placement, and for state that gateways keep for each other."""


_Number = TypeVar("_Number", int, float)


class SettingsError(Exception):
    """The settings are missing, unreadable, or have a missing or malformed field."""


def settings_path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment variable that holds it is not set.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{names.SETTINGS_VARIABLE} is not set")
    return pathlib.Path(path)


def load(path: pathlib.Path) -> environment.Environment:
    """Read and decode the settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or decoded; the message names the file, and a
        missing field.
    """
    try:
        return _parse_environment(json_text.parse(path.read_text()))
    except KeyError as error:
        raise SettingsError(f"{path}: field {error} is missing") from error
    except (OSError, TypeError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _parse_environment(document: dict[str, Any]) -> environment.Environment:
    listen = document["listen"]
    first_port, last_port = document["internalPorts"]
    limits = document["limits"]
    contracts = document.get("contracts") or ()
    seeds = [environment.Endpoint.parse(seed) for seed in document["seedNodes"]]
    return environment.Environment(
        vm=ids.VmName(document["nodeName"]),
        data_centre=ids.DataCentre(document["zone"]),
        ip=document["ip"],
        callers=environment.Endpoint.parse(listen["frontend"]),
        readiness=environment.Endpoint.parse(listen["readiness"]),
        peer_port=int(first_port),
        metrics_port=int(last_port),
        # Seeds name the control port; gateways reach each other on the peer port.
        seed_ips=tuple(seed.ip for seed in seeds),
        memory_mb=int(limits["memoryMb"]),
        max_descriptors=int(limits["maxFds"]),
        store=_parse_store(document["platformSettings"]),
        bounds=_parse_bounds(document["bounds"]),
        region_by_data_centre={
            ids.DataCentre(checked_values.name(data_centre)): ids.Region(
                checked_values.name(region)
            )
            for data_centre, region in (document.get("zones") or {}).items()
        },
        shares_admission=SHARED_ADMISSION_CONTRACT in contracts,
        spreads_load=POOL_CONTRACT in contracts,
        hands_over=POOL_CONTRACT in contracts,
    )


def _parse_store(document: dict[str, Any]) -> environment.StoreSettings:
    return environment.StoreSettings(
        endpoint=environment.Endpoint.parse(document["address"]),
        writes_per_second=int(document["writesPerS"]),
        reads_per_second=int(document["readsPerS"]),
        max_row_bytes=int(document["rowBytes"]),
    )


def _parse_bounds(document: dict[str, Any]) -> environment.Bounds:
    return environment.Bounds(
        shutdown_grace_ms=int(document["graceS"] * clock.MS_PER_SECOND),
        drain_ms=int(document["drainMs"]),
        configuration_apply_ms=int(
            document.get("configApplyMs", DEFAULT_CONFIGURATION_APPLY_MS)
        ),
        order_lease_ms=int(document["leaseMs"]),
        weights_deadline_ms=int(document["versionMs"]),
        retry_ratio=float(document["retryBudgetRatio"]),
        retry_floor=int(document["budgetMinRetries"]),
        retry_window_ms=int(document["budgetWindowS"] * clock.MS_PER_SECOND),
        thaw_ms=int(document["thawMs"]),
        evacuation_apply_ms=_optional(int, document.get("evacuateMs")),
        cold_overshoot=_optional(float, document.get("coldOvershoot")),
        cold_slack=_optional(float, document.get("coldSlack")),
    )


def _optional(convert: Callable[[Any], _Number], value: Any) -> _Number | None:
    """Return a number of the settings; None if they lack the field."""
    return None if value is None else convert(value)
