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


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    news: WeightNews
    at_ms: int


class WeightNewsBook:
    """Aggregate of the newest news of each engine."""

    def __init__(self) -> None:
        self._heard_by_server: dict[servers.ServerId, _Heard] = {}

    def take(self, news: WeightNews, now_ms: int) -> bool:
        """Take news; return whether they are newer than what was known."""
        heard = self._heard_by_server.get(news.server_id)
        if heard is not None and _rank(heard.news) >= _rank(news):
            return False
        self._heard_by_server[news.server_id] = _Heard(news, now_ms)
        return True

    def is_loading(self, server: servers.ServerEntry, now_ms: int) -> bool:
        """Return whether an engine is being loaded and gets no requests."""
        heard = self._heard_by_server.get(server.server_id)
        if heard is None or heard.news.is_loaded:
            return False
        news = heard.news
        has_weights = server.weight_versions_by_model.get(news.model, 0) >= news.version
        is_same = news.started_wall_ms == server.started_wall_ms
        return is_same and not has_weights and now_ms - heard.at_ms < LOADING_MS

    def forget(self, server_id: servers.ServerId) -> None:
        """Forget the news of an engine, after a failed order."""
        self._heard_by_server.pop(server_id, None)

    def to_tell(self, now_ms: int) -> tuple[WeightNews, ...]:
        """Return the news that are repeated to the peers."""
        return tuple(
            heard.news
            for heard in self._heard_by_server.values()
            if now_ms - heard.at_ms < REPEAT_MS
        )


def _rank(news: WeightNews) -> tuple[int, int, bool]:
    return news.started_wall_ms, news.version, news.is_loaded
