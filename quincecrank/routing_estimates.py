"""Estimates of each replica's load between two load reports.

A load report is old when it arrives.  The estimate therefore lets the reported queue
drain with time and adds the entry's own requests that the report cannot contain yet.
A correction factor follows the observed times to first token.
"""

import dataclasses
from typing import Final

from quincecrank import clock, ids, routing

REPORT_LAG_MS: Final = 500
"""Maximum assumed age of a load report on arrival."""

_SMOOTHING: Final = 0.2
"""Weight of a new observation in an exponential moving average."""

_MIN_CORRECTION: Final = 0.5
"""Lower bound of one ratio of the observed to the estimated time to first token."""

_MAX_CORRECTION: Final = 4.0
"""Upper bound of the same ratio."""

_MIN_ESTIMATE_MS: Final = 20.0
"""Shorter observed and estimated times to first token count as this."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an agent reports for its backend server.

    Attributes
    ----------
    cache_blocks : int
        Number of blocks that fit into the engine's memory, 0 if unknown.
    """

    running: int
    waiting: int
    queued_tokens: int
    max_concurrent: int
    prefill_tokens_per_second: float
    cache_blocks: int = 0


@dataclasses.dataclass(slots=True)
class _RequestInFlight:
    """A request that this entry has sent and that has not ended.

    Attributes
    ----------
    tokens : int
        Number of prompt tokens that the engine computes.
    estimated_ms : float
        Estimated time to first token, before the correction.
    blocks : int
        Number of blocks that the request needs in the engine's memory.
    """

    sent_ms: int
    tokens: int
    estimated_ms: float
    root: ids.BlockKey | None
    blocks: int
    first_token_seen: bool = False


class ReplicaEstimates:
    """Estimates a replica's load from its last report and the entry's own requests.

    Parameters
    ----------
    round_trip_ms : float
        Round-trip time between the entry and the backend server.
    """

    def __init__(self, server: ids.BackendServerName, round_trip_ms: float = 0) -> None:
        self.server = server
        self._round_trip_ms = round_trip_ms
        self._report: LoadReport | None = None
        self._reported_ms = 0
        self._in_flight_by_request: dict[ids.RequestId, _RequestInFlight] = {}
        self._correction = 1.0
        self._mean_slot_ms = 0.0

    def record_report(self, load: LoadReport, now_ms: int) -> None:
        """Record a load report that arrived at `now_ms`."""
        self._report = load
        self._reported_ms = now_ms

    def record_send(
        self,
        request: ids.RequestId,
        plan: routing.Plan,
        now_ms: int,
        keys: tuple[ids.BlockKey, ...] = (),
    ) -> None:
        """Count a request that is sent to the replica at `now_ms`.

        Parameters
        ----------
        keys : tuple of BlockKey
            Keys of the blocks that the request needs in the engine's memory.
        """
        self._in_flight_by_request[request] = _RequestInFlight(
            now_ms,
            plan.recompute_tokens,
            plan.estimated_first_token_ms,
            keys[0] if keys else None,
            len(keys),
        )

    def record_first_token(self, request: ids.RequestId, now_ms: int) -> None:
        """Update the correction with the first token of a request."""
        in_flight = self._in_flight_by_request.get(request)
        if in_flight is None or in_flight.first_token_seen:
            return
        in_flight.first_token_seen = True
        estimated_ms = max(in_flight.estimated_ms, _MIN_ESTIMATE_MS)
        observed_ms = max(now_ms - in_flight.sent_ms, _MIN_ESTIMATE_MS)
        ratio = observed_ms / estimated_ms
        ratio = min(max(ratio, _MIN_CORRECTION), _MAX_CORRECTION)
        self._correction += _SMOOTHING * (ratio - self._correction)

    def record_end(self, request: ids.RequestId, now_ms: int) -> None:
        """Remove a request that has ended in any way.

        If it had a first token, its duration updates the mean slot time.
        """
        in_flight = self._in_flight_by_request.pop(request, None)
        if in_flight is None or not in_flight.first_token_seen:
            return
        held_ms = now_ms - in_flight.sent_ms
        if not self._mean_slot_ms:
            self._mean_slot_ms = held_ms
        self._mean_slot_ms += _SMOOTHING * (held_ms - self._mean_slot_ms)

    def state(self, now_ms: int) -> routing.ReplicaState | None:
        """Return the estimated state of the replica; None before the first report."""
        load = self._report
        if load is None:
            return None
        running, waiting = self._occupancy(load)
        return routing.ReplicaState(
            self.server,
            running,
            waiting,
            load.max_concurrent,
            self._queued_tokens(load, now_ms),
            load.prefill_tokens_per_second,
            self._mean_slot_ms,
            self._correction,
            self._round_trip_ms,
            load.cache_blocks,
            self._blocks_by_root(),
        )

    def _blocks_by_root(self) -> dict[ids.BlockKey, int]:
        """Return the number of blocks that own requests need, by their root."""
        blocks: dict[ids.BlockKey, int] = {}
        for in_flight in self._in_flight_by_request.values():
            if in_flight.root is not None:
                blocks[in_flight.root] = max(
                    blocks.get(in_flight.root, 0), in_flight.blocks
                )
        return blocks

    def _occupancy(self, load: LoadReport) -> tuple[int, int]:
        newer = len(self._missing_from_report())
        total = max(
            load.running + load.waiting + newer, len(self._in_flight_by_request)
        )
        running = min(total, load.max_concurrent)
        return running, total - running

    def _missing_from_report(self) -> list[_RequestInFlight]:
        """Return the own requests sent too late for the last report to contain them."""
        seen_until_ms = self._reported_ms - REPORT_LAG_MS
        return [
            in_flight
            for in_flight in self._in_flight_by_request.values()
            if in_flight.sent_ms > seen_until_ms
        ]

    def _queued_tokens(self, load: LoadReport, now_ms: int) -> float:
        """Return the prompt tokens ahead of a new request.

        The reported queue drains from the time of the report on; requests that the
        report cannot contain join it when they are sent.  The result is at least the
        number of tokens that own requests still need if each has been computed at full
        speed since it was sent.
        """
        rate = load.prefill_tokens_per_second / clock.MS_PER_SECOND
        queue = float(load.queued_tokens)
        at_ms = self._reported_ms - REPORT_LAG_MS
        pending = [
            in_flight
            for in_flight in self._missing_from_report()
            if not in_flight.first_token_seen
        ]
        for in_flight in sorted(pending, key=lambda in_flight: in_flight.sent_ms):
            queue = (
                max(0.0, queue - rate * (in_flight.sent_ms - at_ms)) + in_flight.tokens
            )
            at_ms = in_flight.sent_ms
        queue = max(0.0, queue - rate * (now_ms - at_ms))
        own_tokens = sum(
            max(0.0, in_flight.tokens - rate * (now_ms - in_flight.sent_ms))
            for in_flight in self._in_flight_by_request.values()
            if not in_flight.first_token_seen
        )
        return max(queue, own_tokens)
