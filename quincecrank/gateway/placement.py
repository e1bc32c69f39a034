"""Chooses the backend server of a request, or none while all are full.

Load pattern: prompts with long shared parts return to a few replicas among many.  A
replica that holds the shared parts answers without computing them again, but a
popular prompt must not wait behind a backlog that another replica hasn't got.  So
each replica is judged by the time until it would have computed the prompt.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

from quincecrank import rendezvous
from quincecrank.gateway import loads, servers

PREFILL_TOKENS_PER_MS: Final = 80.0
"""Prompt tokens that an engine computes in a millisecond before its speed is
observed; a little below the engines' data sheet, which ignores running requests."""

REQUEST_COST_MS: Final = 4.0
"""Delay that each running request adds to a new one: one engine step."""

MEMORY_SHARE: Final = 0.95
"""Part of an engine's memory that requests may fill; the rest covers answers that
grow longer than expected, as running out of memory restarts a request."""

MAX_BACKLOG_MS: Final = 400.0
"""Computation that is handed to an engine in advance; more waits at the gateway,
where it can still go elsewhere or be refused."""

PLAIN_QUEUE_SHARE: Final = 1.0
"""Requests that may queue at a plain backend server, as a part of its slots."""

HOME_BONUS_MS: Final = 15.0
"""Advantage of the replica that a prompt's shared parts hash to, where no replica
holds them: later requests of any gateway find them there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may take a request.

    Attributes
    ----------
    slowness : float
        Observed over expected time of its answers; 1 for a server as expected.
    missing_tokens : int
        Tokens of the prompt that it would have to compute.
    transfer_ms : float
        Time to fetch parts that it doesn't hold but need not compute.
    handicap_ms : float
        Delay that is accepted to have the request served elsewhere.
    """

    server: servers.ServerEntry
    load: loads.Load
    slowness: float = 1.0
    missing_tokens: int = 0
    transfer_ms: float = 0.0
    handicap_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineNeed:
    """What a model request needs of an engine.

    Attributes
    ----------
    home_key : str
        Hash key of the shared parts.
    engine_memory_tokens : int
        Memory of one engine.
    """

    home_key: str
    memory_tokens: int
    engine_memory_tokens: int


def choose_engine(
    candidates: Sequence[Candidate], need: EngineNeed
) -> Candidate | None:
    """Return the replica that computes the prompt first; None if all are full."""
    able = [each for each in candidates if _engine_has_room(each, need)]
    if not able:
        return None
    names = [each.server.server_id for each in candidates]
    home = rendezvous.ranked(need.home_key, names, 1)[0]
    return min(
        able,
        key=lambda each: (
            engine_cost_ms(each)
            + each.handicap_ms
            - HOME_BONUS_MS * (each.server.server_id == home),
            each.server.server_id,
        ),
    )


def engine_cost_ms(candidate: Candidate) -> float:
    """Return the estimated time until a replica would have computed the prompt."""
    tokens = candidate.load.prefill_tokens + candidate.missing_tokens
    compute_ms = tokens / PREFILL_TOKENS_PER_MS
    step_ms = candidate.load.requests * REQUEST_COST_MS
    return (compute_ms + step_ms) * candidate.slowness + candidate.transfer_ms


def choose_plain(candidates: Sequence[Candidate], request_key: str) -> Candidate | None:
    """Return the least busy backend server; None if all are full."""
    able = [
        each
        for each in candidates
        if each.load.requests < each.server.slots * (1 + PLAIN_QUEUE_SHARE)
    ]
    return min(
        able,
        key=lambda each: (
            (each.load.requests + 1) / max(1, each.server.slots) * each.slowness,
            rendezvous.weight(request_key, each.server.server_id),
        ),
        default=None,
    )


def _engine_has_room(candidate: Candidate, need: EngineNeed) -> bool:
    load = candidate.load
    if load.requests == 0:
        return True
    if load.requests >= candidate.server.slots:
        return False
    room = need.engine_memory_tokens * MEMORY_SHARE - load.memory_tokens
    backlog_ms = load.prefill_tokens / PREFILL_TOKENS_PER_MS * candidate.slowness
    return need.memory_tokens <= room and backlog_ms <= MAX_BACKLOG_MS
