"""What gateways tell each other about engines that load weights.

Load pattern: an engine that loads weights refuses requests, and its own entry tells
of the new weights up to a heartbeat after they serve.  The gateway that gives the
orders says so before each order, so that requests go elsewhere in time, and as soon
as the engine reports the new weights.
"""

import dataclasses
from typing import Final

from quincecrank.gateway import deployment, servers

LOADING_MS: Final = 2_500
"""Time after which an engine whose load was announced gets requests again without
further news: the gateway that ordered may be gone."""

REPEAT_MS: Final = 2_000
"""Time for which news are repeated, since datagrams get lost."""

KEEP_MS: Final = 60_000
"""Time for which news are remembered: peers repeat theirs for seconds, and an older
one must not come back as new."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightNews:
    """An engine is about to load, or has loaded, weights.

    Attributes
    ----------
    started_wall_ms : int
        Incarnation of the engine.
    """

    server_id: servers.ServerId
    started_wall_ms: int
    model: deployment.ModelName
    version: int
    is_loaded: bool

    @property
    def incarnation(self) -> servers.Incarnation:
        """The start of the engine that the news are about."""
        return servers.Incarnation(self.server_id, self.started_wall_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    news: WeightNews
    at_ms: int


class WeightNewsBook:
    """Aggregate of the newest news of each incarnation of an engine.

    Incarnations are told apart but not ordered: their start is a time of day, which
    may jump back between two starts.
    """

    def __init__(self) -> None:
        self._heard_by_incarnation: dict[servers.Incarnation, _Heard] = {}

    def take(self, news: WeightNews, now_ms: int) -> bool:
        """Take news; return whether they are newer than what was known."""
        heard = self._heard_by_incarnation.get(news.incarnation)
        if heard is not None and _rank(heard.news) >= _rank(news):
            return False
        self._forget_before(now_ms - KEEP_MS)
        self._heard_by_incarnation[news.incarnation] = _Heard(news, now_ms)
        return True

    def is_loading(self, server: servers.ServerEntry, now_ms: int) -> bool:
        """Return whether an engine is being loaded and gets no requests."""
        heard = self._heard_by_incarnation.get(server.incarnation)
        if heard is None or heard.news.is_loaded:
            return False
        news = heard.news
        has_weights = server.weight_versions_by_model.get(news.model, 0) >= news.version
        return not has_weights and now_ms - heard.at_ms < LOADING_MS

    def forget(self, incarnation: servers.Incarnation) -> None:
        """Forget the news of an engine, after a failed order."""
        self._heard_by_incarnation.pop(incarnation, None)

    def to_tell(self, now_ms: int) -> tuple[WeightNews, ...]:
        """Return the news that are repeated to the peers."""
        return tuple(
            heard.news
            for heard in self._heard_by_incarnation.values()
            if now_ms - heard.at_ms < REPEAT_MS
        )

    def _forget_before(self, at_ms: int) -> None:
        self._heard_by_incarnation = {
            incarnation: heard
            for incarnation, heard in self._heard_by_incarnation.items()
            if heard.at_ms >= at_ms
        }


def _rank(news: WeightNews) -> tuple[int, bool]:
    return news.version, news.is_loaded
