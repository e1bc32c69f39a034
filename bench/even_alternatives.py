"""Alternatives to `even_placement.WeightedChooser`, for `even_load` to compare."""

import random
from collections.abc import Mapping

from quincecrank import ids, rendezvous
from quincecrank.gateway import even_placement, loads, servers


class TwoChoices:
    """The better of two engines that are drawn among those within the unseen work."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """See the base class."""
        lowest_ms = min(estimated_ms_by_server.values())
        near = [
            each
            for each, estimated_ms in estimated_ms_by_server.items()
            if estimated_ms <= lowest_ms + 2 * unseen_ms
        ]
        drawn = self._generator.sample(near, min(2, len(near)))
        return min(drawn, key=lambda each: (estimated_ms_by_server[each], each))


class TwoOfAll(TwoChoices):
    """The better of two engines that are drawn among all evaluated ones."""

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """See the base class."""
        return super().choose(estimated_ms_by_server, float("inf"))


class RankedChoice:
    """Of the engines within the unseen work, the first in the gateway's own ranking."""

    def __init__(self, vm: ids.VmName) -> None:
        self._vm = vm

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """See the base class."""
        lowest_ms = min(estimated_ms_by_server.values())
        near = [
            each
            for each, estimated_ms in estimated_ms_by_server.items()
            if estimated_ms <= lowest_ms + unseen_ms
        ]
        return rendezvous.ranked(self._vm, near, 1)[0]


class ScaledChoice(even_placement.WeightedChooser):
    """A weighted draw whose width is a multiple of the unseen work."""

    def __init__(self, generator: random.Random, factor: float) -> None:
        super().__init__(generator)
        self._factor = factor

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """See the base class."""
        return super().choose(estimated_ms_by_server, unseen_ms * self._factor)


def make_chooser(
    name: str, vm: ids.VmName, generator: random.Random
) -> even_placement.EngineChooser:
    """Return the chooser with a name, for a gateway."""
    if name == "two":
        return TwoChoices(generator)
    if name == "two-of-all":
        return TwoOfAll(generator)
    if name == "ranked":
        return RankedChoice(vm)
    factor = {"half": 0.5, "weighted": 1.0, "double": 2.0}[name]
    return ScaledChoice(generator, factor)


class ExtrapolatedLoads(loads.Loads):
    """Loads whose backlogs are extrapolated by each peer's changes between reports."""

    def __init__(self) -> None:
        super().__init__()
        self._seen_by_peer: dict[
            ids.VmName, tuple[int, dict[servers.ServerId, loads.Load]]
        ] = {}
        self._rate_by_server: dict[
            servers.ServerId, dict[ids.VmName, tuple[int, float]]
        ] = {}

    def apply_peer_report(
        self,
        peer: ids.VmName,
        load_by_server: Mapping[servers.ServerId, loads.Load],
        now_ms: int,
    ) -> None:
        """See the base class."""
        before_ms, before = self._seen_by_peer.get(peer, (now_ms, {}))
        for server_id in {*before, *load_by_server}:
            change = (
                load_by_server.get(server_id, loads.Load()).backlog_tokens
                - before.get(server_id, loads.Load()).backlog_tokens
            )
            rate = change / max(1, now_ms - before_ms)
            self._rate_by_server.setdefault(server_id, {})[peer] = (now_ms, rate)
        self._seen_by_peer[peer] = (now_ms, dict(load_by_server))
        super().apply_peer_report(peer, load_by_server, now_ms)

    def total_load(self, server_id: servers.ServerId, now_ms: int) -> loads.Load:
        """See the base class."""
        load = super().total_load(server_id, now_ms)
        unseen = sum(
            rate * (now_ms - reported_ms)
            for reported_ms, rate in self._rate_by_server.get(server_id, {}).values()
            if now_ms - reported_ms < loads.PEER_EXPIRY_MS
        )
        backlog_tokens = max(0, int(load.backlog_tokens + unseen))
        return loads.Load(load.requests, load.memory_tokens, backlog_tokens)
