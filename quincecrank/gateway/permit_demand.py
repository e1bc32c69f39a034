"""What a gateway asks of the issuers of permits, from the requests that wait.

Load pattern: more requests wait at a gateway than servers with a rate limit have
permits for.  See `send_permits` for the permits themselves.
"""

import math
from collections.abc import Mapping
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import (
    decision_log,
    deployment,
    fleet_state,
    placements,
    request_queue,
    send_permits,
    servers,
)

_LOG: Final = decision_log.logger("dispatcher")


class PermitDemand:
    """The demand of one gateway for permits of limited servers.

    Parameters
    ----------
    queue_by_service : mapping of ServiceName to RequestQueue
        The waiting requests, with an entry for each service on demand.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        queue_by_service: Mapping[deployment.ServiceName, request_queue.RequestQueue],
    ) -> None:
        self._fleet = fleet
        self._queue_by_service = queue_by_service

    def update(self, service: deployment.ServiceName) -> None:
        """Set the demand for permits of a service's limited servers.

        A gateway with fewer waiting requests than limited servers asks only some of
        them, selected by a hash, so that few permits remain unused.
        """
        now_ms = self._fleet.clock.now_ms()
        waiting = self._queue_by_service[service].ordered(now_ms)
        demand: send_permits.Demand | None = None
        asked: tuple[servers.ServerId, ...] = ()
        limited_by_id = self.limited_by_id(service)
        if waiting and limited_by_id:
            first = waiting[0]
            asked = rendezvous.ranked(first.request_id, limited_by_id, len(waiting) + 1)
            demand = send_permits.Demand(
                math.ceil(len(waiting) / len(asked)),
                request_queue.queue_class_of(first, now_ms).rank,
                first.arrived_ms,
            )
        is_due = False
        for entry in self._fleet.sendable_entries(service):
            is_due |= self._fleet.send_permits.set_demand(
                entry.incarnation, demand if entry.server_id in asked else None, now_ms
            )
        if is_due:
            self._fleet.notify_permit_demand()

    def limited_by_id(
        self,
        service: deployment.ServiceName,
        regions: frozenset[ids.Region] | None = None,
    ) -> dict[servers.ServerId, servers.ServerEntry]:
        """Return the servers of a service that may be used but for a rate limit."""
        now_ms = self._fleet.clock.now_ms()
        return {
            each.server_id: each
            for each in self._fleet.sendable_entries(service, regions)
            if self._fleet.rate_limits.limit_of(each.incarnation) is not None
            and self._fleet.health.health_of(each).allows(now_ms)
        }

    def record_interest(self, service: deployment.ServiceName) -> None:
        """Record that a request could have used the limited servers of a service."""
        now_ms = self._fleet.clock.now_ms()
        for entry in self.limited_by_id(service).values():
            self._fleet.send_permits.record_interest(entry.incarnation, now_ms)

    def shortest_wait_ms(self, request: placements.PlacementRequest) -> float | None:
        """Return the shortest expected wait for a permit; None if none is needed."""
        now_ms = self._fleet.clock.now_ms()
        limited_by_id = self.limited_by_id(
            request.service.name, request.allowed_regions
        )
        return min(
            (
                self._fleet.send_permits.expected_wait_ms(each.incarnation, now_ms)
                for each in limited_by_id.values()
                if each.server_id not in request.tried_servers
                and request.software_version in (None, each.software_version)
            ),
            default=None,
        )

    def take_permit(
        self, request: placements.PlacementRequest, server: servers.ServerEntry
    ) -> send_permits.Permit | None:
        """Take the permit for a placed request, if its server is limited."""
        if not self._fleet.rate_limits.is_any_limited:
            return None
        now_ms = self._fleet.clock.now_ms()
        permit = self._fleet.send_permits.take(server.incarnation, now_ms)
        if permit is not None:
            _LOG.info(
                "permit used",
                request=request.request_id,
                server=server.server_id,
                per_second=self._fleet.rate_limits.limit_of(server.incarnation),
                is_trial=permit.is_trial,
                left_ms=permit.expires_ms - now_ms,
            )
        return permit
