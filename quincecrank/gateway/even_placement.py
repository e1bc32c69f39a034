"""Chooses among engines with near-equal estimates, so that gateways choose differently.

Load pattern: what a gateway knows of its peers' requests is up to a report interval
old.  All gateways see the same engine as the best, and send their requests there until
their next reports.  So a gateway draws among the engines whose estimates differ by
less than the work that peers may have started there since their reports.

Invariant: an engine is chosen before another one by chance only as far as the
difference of their estimates is explained by unseen work.  Without unseen work, as
without peers, the engine with the lowest estimate is chosen.

Terms
-----
unseen work
    Work that peers have started at an engine, or completed, without this gateway's
    knowledge; estimated from what each report changed, see `loads`.
"""

import math
import random
from collections.abc import Mapping
from typing import Final, Protocol

from quincecrank.gateway import servers

MAX_WIDTH_MS: Final = 60.0
"""Longest unseen work that is taken into account: a longer one, as after lost
datagrams, must not make holders of a prompt's parts lose their advantage."""

RECOMPUTE_RATIO: Final = 1.0
"""Penalty for prompt tokens that an engine has to compute, as a fraction of the time
that they take: requests that come after this one wait for them as well."""

LOCAL_BONUS_MS: Final = 4.0
"""Time subtracted from the estimate of an engine in the gateway's own data centre, as
traffic between data centres has a cost: about one step of an engine, so that only
near-equal estimates are decided by it."""


REACH: Final = 2.5
"""Multiple of the unseen work beyond which a longer estimate is not explained by it:
many engines without a prompt's parts would otherwise be drawn together."""


class EngineChooser(Protocol):
    """Chooses one of the engines that can take a request."""

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """Return the engine to send a request to.

        Parameters
        ----------
        estimated_ms_by_server : mapping of ServerId to float
            Estimated times, penalties included; not empty.
        unseen_ms : float
            Standard deviation of the unseen work of one engine.
        """


class WeightedChooser:
    """Draws an engine with weights that decrease with its estimate.

    An engine whose estimate is longer than the lowest one by the unseen work has a
    weight of 1/e, and one whose estimate is longer by more than `REACH` times as much
    has none.

    Parameters
    ----------
    generator : Random
        Source of the draws; gateways must not share its seed.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, estimated_ms_by_server: Mapping[servers.ServerId, float], unseen_ms: float
    ) -> servers.ServerId:
        """Return the engine to send a request to; see `EngineChooser`."""
        width_ms = min(unseen_ms, MAX_WIDTH_MS)
        lowest_ms = min(estimated_ms_by_server.values())
        if width_ms <= 0:
            return min(
                server_id
                for server_id, each_ms in estimated_ms_by_server.items()
                if each_ms == lowest_ms
            )
        near = [
            (each, each_ms)
            for each, each_ms in estimated_ms_by_server.items()
            if each_ms - lowest_ms <= REACH * width_ms
        ]
        weights = [math.exp((lowest_ms - each_ms) / width_ms) for _, each_ms in near]
        return self._generator.choices([each for each, _ in near], weights)[0]
