"""The admission queues of one gateway, by service.

Plain services have the queue of `request_queue`, and so have engine services where the
settings do not ask for shared admission.
"""

from quincecrank.gateway import (
    deployment,
    fleet_state,
    request_queue,
    shared_admission,
    shared_demand,
)


class QueueByService(dict[deployment.ServiceName, request_queue.RequestQueue]):
    """The queue of each service, made on demand.

    Parameters
    ----------
    fleet : FleetState
        Fleet state that this gateway tracks.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        super().__init__()
        self._fleet = fleet

    def __missing__(
        self, service: deployment.ServiceName
    ) -> request_queue.RequestQueue:
        """Make the queue of a service."""
        queue: request_queue.RequestQueue = request_queue.RequestQueue()
        if self._fleet.own_settings.shares_admission:
            queue = shared_admission.SharedQueue(service, self._fleet.shared_demand)
        self[service] = queue
        return queue

    def packed_demand(self) -> bytes:
        """Return this gateway's demand for engines; no bytes if it is not shared."""
        if not self._fleet.own_settings.shares_admission:
            return b""
        now_ms = self._fleet.clock.now_ms()
        return shared_demand.pack(
            {
                shared_demand.service_key(service): demand
                for service, queue in self.items()
                if isinstance(queue, shared_admission.SharedQueue)
                and (demand := queue.own_demand(now_ms)).by_rank
            }
        )
