"""Chooses the backend server of a request, or none while all are full.

Load pattern: prompts with long shared parts return to a few replicas among many.  A
replica that holds the shared parts answers without computing them again, but a
popular prompt must not wait behind a backlog that another replica hasn't got.  So
each replica is judged by the time until it would have computed the prompt.
"""

import dataclasses
from collections.abc import Mapping, Sequence, Set
from typing import Final

from quincecrank import rendezvous
from quincecrank.gateway import loads, servers, service_times

SPREAD_COST_MS: Final = 4.0
"""Disadvantage of a replica for each request that it runs, in the choice among those
that can take another: fewer requests make all their answers faster."""

MEMORY_SHARE: Final = 0.95
"""Part of an engine's memory that requests may fill; the rest covers answers that
grow longer than expected, as running out of memory restarts a request."""

SLACK_SHARE: Final = 0.8
"""Part of the time until a prompt must be computed that its estimate may take; the
rest is for what the estimate misses."""

MAX_LATE_BACKLOG_MS: Final = 0.0
"""Computation before a late request at an engine: none, so that it takes no time from
requests that are still on time."""

PLAIN_QUEUE_SHARE: Final = 1.0
"""Requests that may queue at a plain backend server, as a part of its slots."""

MAX_JUDGED: Final = 16
"""Replicas that are judged in full for one request, whatever the size of the service:
planning the transfers of one takes as long as looking at the load of ten."""

MAX_JUDGED_HOLDERS: Final = 6
"""Replicas among these that hold the prompt's shared parts; the others have the least
to do."""

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

    @property
    def work(self) -> service_times.Work:
        """What the backend server has to do before the first event."""
        return service_times.Work(
            self.missing_tokens,
            self.load.prefill_tokens,
            self.load.requests,
            self.transfer_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineNeed:
    """What a model request needs of an engine.

    Attributes
    ----------
    home : ServerId
        Replica that the prompt's shared parts hash to.
    engine_memory_tokens : int
        Memory of one engine.
    slack_ms : float or None
        Time until the prompt must be computed for an answer on time; None if it
        can't be on time any more.
    times : Times
        Times of the service's engines.
    """

    home: servers.ServerId
    memory_tokens: int
    engine_memory_tokens: int
    slack_ms: float | None = None
    times: service_times.Times = service_times.PRIOR


def has_room(load: loads.Load, slots: int, need: EngineNeed) -> bool:
    """Return whether an engine has a slot and memory for a request."""
    if load.requests == 0:
        return True
    room = need.engine_memory_tokens * MEMORY_SHARE - load.memory_tokens
    return load.requests < slots and need.memory_tokens <= room


def shortlist(
    able: Sequence[servers.ServerEntry],
    load_by_server: Mapping[servers.ServerId, loads.Load],
    holders: Set[servers.ServerId],
    home: servers.ServerId,
) -> tuple[servers.ServerEntry, ...]:
    """Return the replicas that are worth judging in full.

    Load pattern: a large service, of which a few replicas hold the prompt's parts and
    the others differ only in what they have to do.

    Parameters
    ----------
    holders : set of ServerId
        Replicas that hold the prompt's last shared part.
    """
    if len(able) <= MAX_JUDGED:
        return tuple(able)
    by_load = sorted(able, key=lambda each: _busyness(each, load_by_server))
    judged = [each for each in by_load if each.server_id in holders]
    judged = judged[:MAX_JUDGED_HOLDERS]
    judged += [each for each in by_load if each.server_id == home]
    chosen = {each.server_id for each in judged}
    others = [each for each in by_load if each.server_id not in chosen]
    return tuple((judged + others)[:MAX_JUDGED])


def choose_engine(
    candidates: Sequence[Candidate], need: EngineNeed
) -> Candidate | None:
    """Return the replica that computes the prompt first; None if all are full."""
    able = [
        each
        for each in candidates
        if has_room(each.load, each.server.slots, need)
        and _computes_in_time(each, need)
    ]
    if not able:
        return None
    return min(
        able,
        key=lambda each: (
            engine_cost_ms(each, need.times)
            + each.load.requests * SPREAD_COST_MS
            + each.handicap_ms
            - HOME_BONUS_MS * (each.server.server_id == need.home),
            each.server.server_id,
        ),
    )


def engine_cost_ms(candidate: Candidate, times: service_times.Times) -> float:
    """Return the estimated time until a replica would have computed the prompt."""
    expected_ms = times.expected_ms(candidate.work, candidate.slowness)
    return expected_ms - times.base_ms


def _busyness(
    server: servers.ServerEntry, load_by_server: Mapping[servers.ServerId, loads.Load]
) -> tuple[int, int, str]:
    load = load_by_server[server.server_id]
    return load.prefill_tokens, load.requests, server.server_id


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


def _computes_in_time(candidate: Candidate, need: EngineNeed) -> bool:
    load = candidate.load
    if load.requests == 0:
        return True
    if need.slack_ms is not None:
        return engine_cost_ms(candidate, need.times) <= need.slack_ms * SLACK_SHARE
    backlog_ms = need.times.backlog_ms(candidate.work, candidate.slowness)
    return backlog_ms <= MAX_LATE_BACKLOG_MS
