"""Updates between gateways about engines that load weights.

Load pattern: an engine that loads weights refuses requests, and its own entry in the
store shows the new weights up to one heartbeat interval after it began to serve with
them.  So the gateway that orders the loading publishes an update before the first order
of a version, so that requests go elsewhere in time, and another one as soon as the
engine reports the new weights.  An order repeated within `RETENTION_MS` publishes none.
"""

import dataclasses
from typing import Final

from quincecrank.gateway import deployment, servers

LOADING_MS: Final = 2_500
"""Time after the announcement, which precedes the draining, until an engine gets
requests again without a further update: the gateway that ordered the loading may have
ended."""

PUBLISH_MS: Final = 2_000
"""Time for which an update is published repeatedly, since datagrams get lost."""

RETENTION_MS: Final = 60_000
"""Time for which an update is retained: peers repeat theirs for seconds, and an older
one must not be applied as new."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightUpdate:
    """An engine is about to load, or has loaded, weights.

    Attributes
    ----------
    started_wall_ms : int
        Start time of the engine, which identifies the incarnation.
    """

    server_id: servers.ServerId
    started_wall_ms: int
    model: deployment.ModelName
    version: int
    is_loaded: bool

    @property
    def incarnation(self) -> servers.Incarnation:
        """Incarnation of the engine that the update is about."""
        return servers.Incarnation(self.server_id, self.started_wall_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    update: WeightUpdate
    at_ms: int


class WeightUpdates:
    """The newest update of each incarnation of an engine, whatever the model.

    Incarnations are distinguished but not ordered: their start is a time of the wall
    clock, which may jump back between two starts.
    """

    def __init__(self) -> None:
        self._received_by_incarnation: dict[servers.Incarnation, _Received] = {}

    def apply(self, update: WeightUpdate, now_ms: int) -> bool:
        """Apply an update; return whether it is newer than the one before.

        An update is newer if its version is higher, or if it is equal and only the
        update says that the weights are loaded.
        """
        received = self._received_by_incarnation.get(update.incarnation)
        if received is not None and _rank(received.update) >= _rank(update):
            return False
        self._discard_before(now_ms - RETENTION_MS)
        self._received_by_incarnation[update.incarnation] = _Received(update, now_ms)
        return True

    def is_loading(self, server: servers.ServerEntry, now_ms: int) -> bool:
        """Return whether an engine loads weights and must get no requests."""
        return self.announced_ms(server, now_ms) is not None

    def announced_ms(self, server: servers.ServerEntry, now_ms: int) -> int | None:
        """Return the time since which an engine gets no requests.

        None if it is not announced to load weights.
        """
        received = self._received_by_incarnation.get(server.incarnation)
        if received is None or received.update.is_loaded:
            return None
        update = received.update
        has_weights = (
            server.weight_versions_by_model.get(update.model, 0) >= update.version
        )
        if has_weights or now_ms - received.at_ms >= LOADING_MS:
            return None
        return received.at_ms

    def discard(self, incarnation: servers.Incarnation) -> None:
        """Discard the update of an engine whose order has failed."""
        self._received_by_incarnation.pop(incarnation, None)

    def to_publish(self, now_ms: int) -> tuple[WeightUpdate, ...]:
        """Return the updates that are still published to the peers."""
        return tuple(
            received.update
            for received in self._received_by_incarnation.values()
            if now_ms - received.at_ms < PUBLISH_MS
        )

    def _discard_before(self, at_ms: int) -> None:
        self._received_by_incarnation = {
            incarnation: received
            for incarnation, received in self._received_by_incarnation.items()
            if received.at_ms >= at_ms
        }


def _rank(update: WeightUpdate) -> tuple[int, bool]:
    return update.version, update.is_loaded
