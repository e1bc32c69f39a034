"""What the machine and the operator's platform prescribe to a gateway process."""

import dataclasses

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
        """Return the endpoint that `text` names as IP:PORT.

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
class StoreFacts:
    """Address and limits of the platform's store.

    Attributes
    ----------
    writes_per_second, reads_per_second : int
        Calls that all processes together may make.
    max_row_bytes : int
        Largest value of a row.
    """

    endpoint: Endpoint
    writes_per_second: int
    reads_per_second: int
    max_row_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the operator prescribes.

    Attributes
    ----------
    shutdown_grace_ms : int
        Time between SIGTERM and SIGKILL.
    drain_ms : int
        Time after which a leaving backend server must get no new work.
    order_lease_ms : int
        Time for which orders of two holders must be apart.
    weights_deadline_ms : int
        Time after which a request must not start on replaced weights.
    retry_ratio, retry_floor, retry_window_ms
        Retries that all processes together may make on a service in a window: the
        ratio of its requests, and the floor.
    thaw_ms : int
        Time after a freeze in which orders that were under way still arrive.
    """

    shutdown_grace_ms: int
    drain_ms: int
    order_lease_ms: int
    weights_deadline_ms: int
    retry_ratio: float
    retry_floor: int
    retry_window_ms: int
    thaw_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Settings of one gateway process.

    Attributes
    ----------
    callers, readiness : Endpoint
        Where callers and the balancer's readiness check arrive.
    peer_port : int
        Port for messages between gateways, the same on all machines.
    metrics_port : int
        Port that serves metrics, from the same range.
    seed_ips : tuple of str
        Machines that may know the others; they may be stale.
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
    store: StoreFacts
    bounds: Bounds
