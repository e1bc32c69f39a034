"""Settings of a gateway process: addresses, limits of its VM and of the platform."""

import dataclasses
from collections.abc import Mapping

from quincecrank import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An IPv4 address and a port."""

    ip: str
    port: int

    @property
    def url(self) -> str:
        """Base of URLs at this endpoint."""
        return f"http://{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Return the endpoint of a text in the form IP:PORT.

        Raises
        ------
        ValueError
            If the text has another form.
        """
        ip, separator, port = text.rpartition(":")
        if not separator or not ip:
            raise ValueError(f"{text!r} is not IP:PORT")
        return cls(ip, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address and limits of the platform's store.

    Attributes
    ----------
    writes_per_second, reads_per_second : int
        Most calls a second of all processes together.
    max_row_bytes : int
        Size limit of a row's value.
    """

    endpoint: Endpoint
    writes_per_second: int
    reads_per_second: int
    max_row_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the operator sets.

    Attributes
    ----------
    shutdown_grace_ms : int
        Time between SIGTERM and SIGKILL.
    drain_ms : int
        Time after which a backend server that is shutting down must get no new
        request.
    configuration_apply_ms : int
        Time within which a confirmed configuration must be in force.
    order_lease_ms : int
        Shortest time between the orders of two successive lease holders.
    weights_deadline_ms : int
        Time after a new target version within which requests may still start on
        outdated weights.
    retry_ratio, retry_floor, retry_window_ms : float, int, int
        Budget of retries of all processes together for a service in a window: a ratio
        of its requests, plus a fixed number.
    thaw_ms : int
        Time after a process resumes from a freeze in which orders that were in flight
        may still arrive.
    evacuation_apply_ms : int or None
        Time within which an evacuation of a data centre must be in force everywhere;
        None if the operator evacuates none.
    cold_overshoot, cold_slack : float or None
        A cold server gets at most `cold_overshoot` times its own rate plus `cold_slack`
        requests in a second, from all gateways together; None without such a bound.
    """

    shutdown_grace_ms: int
    drain_ms: int
    configuration_apply_ms: int
    order_lease_ms: int
    weights_deadline_ms: int
    retry_ratio: float
    retry_floor: int
    retry_window_ms: int
    thaw_ms: int
    evacuation_apply_ms: int | None = None
    cold_overshoot: float | None = None
    cold_slack: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Settings of one gateway process.

    Attributes
    ----------
    callers, readiness : Endpoint
        Endpoints for callers and for the balancer's readiness check.
    peer_port : int
        Port for messages between gateways, the same on all VMs.
    metrics_port : int
        Port that serves metrics, from the same range.
    seed_ips : tuple of str
        VMs that may run gateways; the list may be outdated.
    region_by_data_centre : mapping of DataCentre to Region
        Regions of the data centres; empty if the settings name none.
    shares_admission : bool
        Whether gateways admit requests by figures that they share.
    spreads_load : bool
        Whether gateways spread requests over engines with near-equal estimates.
    hands_over : bool
        Whether gateways hand over the order lease, and store service times for others.
    """

    vm: ids.VmName
    data_centre: ids.DataCentre
    ip: str
    callers: Endpoint
    readiness: Endpoint
    peer_port: int
    metrics_port: int
    seed_ips: tuple[str, ...]
    memory_mb: int
    max_descriptors: int
    store: StoreSettings
    bounds: Bounds
    region_by_data_centre: Mapping[ids.DataCentre, ids.Region] = dataclasses.field(
        default_factory=dict
    )
    shares_admission: bool = False
    spreads_load: bool = False
    hands_over: bool = False
