"""Requests that need a backend server, and what the dispatcher decides about them."""

import dataclasses

from quincecrank import ids
from quincecrank.gateway import (
    cache_part_index,
    cache_transfers,
    deployment,
    prompts,
    request_queue,
    send_permits,
    servers,
    service_times,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs a backend server.

    Attributes
    ----------
    route : str
        Name of the route.  Its requests are of equal importance, whatever their size;
        the fairness between size classes holds within a route.
    tried_servers : frozenset of ServerId
        Servers at which an attempt of the request has failed; they are not chosen.
    software_version : SoftwareVersion or None
        Version at which a stream goes on; None for any.
    begins_stream : bool
        Whether a resumable stream begins, see `stream_versions`.
    may_repeat : bool
        Whether it may run more than once.
    allowed_regions : frozenset of Region or None
        Regions whose servers may get it; None for all.
    """

    queued: request_queue.QueuedRequest
    service: deployment.Service
    account: deployment.Account | None
    prompt: prompts.Prompt | None
    route: str = ""
    tried_servers: frozenset[servers.ServerId] = frozenset()
    software_version: servers.SoftwareVersion | None = None
    begins_stream: bool = False
    may_repeat: bool = False
    allowed_regions: frozenset[ids.Region] | None = None

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self.queued.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The backend server chosen for a request, and the instructions for it.

    Attributes
    ----------
    weights_version : int or None
        Version of the weights without which the request must not run; None for a
        plain service.
    work : Work
        What the backend server has to do before the first event of the answer.
    expected_first_event_ms : float
        Estimated time to the first event at a server of the service's usual speed.
    permit : Permit or None
        Permit with which the request is sent; None for a server without a rate limit.
    is_cold : bool
        Whether the server was cold when it was chosen.
    """

    server: servers.ServerEntry
    weights_version: int | None
    salt: cache_part_index.CacheSalt | None
    transfers: cache_transfers.Transfers
    work: service_times.Work
    expected_first_event_ms: float
    permit: send_permits.Permit | None = None
    is_cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The rejection of a request; no retry time if no retry can succeed."""

    reason: str
    retry_after_ms: int | None
