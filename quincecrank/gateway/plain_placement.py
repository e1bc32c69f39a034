"""Places a request on a plain backend server, which runs no model.

Load pattern: short requests at a few servers with a handful of slots each.  The rule is
that of `placement.choose_plain`; this module applies it to the state of the fleet.
"""

from typing import Final

from quincecrank.gateway import (
    cache_transfers,
    decision_log,
    fleet_state,
    permit_demand,
    placement,
    placements,
    servers,
)

_LOG: Final = decision_log.logger("dispatcher")


class PlainPlacement:
    """Chooses plain servers by the fleet state that this gateway tracks.

    Parameters
    ----------
    fleet : FleetState
        Fleet state that this gateway tracks.
    demand : PermitDemand
        Takes the permits for servers with a rate limit.
    """

    def __init__(
        self, fleet: fleet_state.FleetState, demand: permit_demand.PermitDemand
    ) -> None:
        self._fleet = fleet
        self._demand = demand

    def place(
        self,
        request: placements.PlacementRequest,
        usable: tuple[servers.ServerEntry, ...],
    ) -> placements.Placement | None:
        """Return the least busy of the usable servers; None if all are full.

        The load of the request is recorded at the server.
        """
        now_ms = self._fleet.clock.now_ms()
        slowness_by_server = self._fleet.health.relative_slowness(usable)
        candidates = [
            placement.Candidate(
                each,
                self._fleet.loads.total_load(each.server_id, now_ms),
                slowness_by_server[each.server_id],
            )
            for each in usable
        ]
        chosen = placement.choose_plain(candidates, request.request_id)
        if chosen is None:
            return None
        self._fleet.loads.record_start(
            chosen.server.server_id, request.request_id, 0, 0
        )
        _LOG.info(
            "placed",
            request=request.request_id,
            server=chosen.server.server_id,
            software=chosen.server.software_version,
            running=chosen.load.requests,
            slowness=round(chosen.slowness, 2),
        )
        work = chosen.work
        expected_ms = self._fleet.service_times.times_of(
            request.service.name
        ).expected_ms(work)
        return placements.Placement(
            chosen.server,
            None,
            None,
            cache_transfers.NO_TRANSFERS,
            work,
            expected_ms,
            self._demand.take_permit(request, chosen.server),
        )
