"""Seeded open-loop traces of both users' days, in compressed time.

Terms
-----
context
    Long text that many prompts begin with: a style guide or a release manifest.
tail
    Text behind the context, which no other prompt has.
hour
    Time between two broadcasts, compressed to `HOUR_MS` in the trace; it ends with
    a peak.
warm-up
    One request for each context before the measured part, so that every policy
    starts with the same earlier requests.

The same seed gives the same trace, whatever policy serves it.
"""

import dataclasses
import enum
import functools
import random
from typing import Final

from quincecrank import ids
from standins import texts, users

HOUR_MS: Final = 10_000
HOURS: Final = 2
PEAK_FRACTION: Final = 0.4
"""Fraction of an hour, at its end, that is a peak."""

MIN_CONTEXT_TOKENS: Final = 8_000
MAX_CONTEXT_TOKENS: Final = 24_000
ANSWER_TOKENS: Final = 8
NEW_CONTEXT_FRACTION: Final = 0.01
"""Fraction of the measured requests that replace a context by a new one."""

_MAX_TAIL_PARTS: Final = 6
_ACCOUNT_WEIGHTS: Final = (8.0, 5.0, 4.0, 1.5, 1.5, 1.0, 1.0, 1.0, 1.0, 1.0)
"""Relative load of the ten client accounts, a few of them large."""


class Workload(enum.Enum):
    """Users whose load a trace imitates."""

    SAJHA = "sajha"
    TINTA_CLARA = "tinta-clara"


@dataclasses.dataclass(frozen=True)
class Profile:
    """Shape of one user's load.

    Attributes
    ----------
    contexts : int
        Number of style guides or manifests of all accounts together.
    quiet_per_second, peak_per_second : float
        Mean arrival rates outside and inside the peak.
    burst_every_ms : int
        Mean time between bursts, each on one context; 0 for no bursts.
    burst_size : int
        Requests of a burst.
    deadline_ms : int
        Deadline that callers declare, from the arrival.
    """

    workload: Workload
    deployment: ids.DeploymentName
    contexts: int
    quiet_per_second: float
    peak_per_second: float
    burst_every_ms: int
    burst_size: int
    deadline_ms: int


PROFILES_BY_WORKLOAD: Final = {
    Workload.SAJHA: Profile(
        Workload.SAJHA, ids.DeploymentName("lekhak"), 30, 0.7, 5.5, 0, 0, 20_000
    ),
    Workload.TINTA_CLARA: Profile(
        Workload.TINTA_CLARA,
        ids.DeploymentName("lector-llm"),
        36,
        2.2,
        2.2,
        4_000,
        5,
        8_000,
    ),
}

_BURST_SPREAD_MS: Final = 800
"""Time within which the requests of a burst arrive."""


@dataclasses.dataclass(frozen=True)
class Context:
    """One style guide or manifest of one client account."""

    workload: Workload
    account: ids.AccountName
    seed: int
    tokens: int

    def text(self) -> str:
        """Return the text, `tokens` tokens long."""
        return _context_text(self.workload, self.seed, self.tokens)


@functools.lru_cache(maxsize=256)
def _context_text(workload: Workload, seed: int, tokens: int) -> str:
    if workload is Workload.SAJHA:
        return texts.style_guide(seed, tokens)
    return texts.release_manifest(seed, tokens)


@dataclasses.dataclass(frozen=True)
class TraceRequest:
    """One request of a trace.

    Attributes
    ----------
    at_ms : int
        Arrival after the start of the measured part; 0 in the warm-up.
    tail_seed, tail_parts : int
        Seed of the tail and its number of generated texts.
    """

    number: int
    at_ms: int
    context: Context
    tail_seed: int
    tail_parts: int
    warm_up: bool = False

    def prompt(self) -> str:
        """Return the prompt: the context and the tail."""
        seeds = range(self.tail_seed, self.tail_seed + self.tail_parts)
        if self.context.workload is Workload.SAJHA:
            tail = [texts.wire_copy(seed) for seed in seeds]
        else:
            tail = [texts.device_question(seed) for seed in seeds]
        return self.context.text() + "".join(tail)


@dataclasses.dataclass(frozen=True)
class Trace:
    """Requests of one user's compressed day, ascending by arrival."""

    profile: Profile
    seed: int
    warm_up: tuple[TraceRequest, ...]
    measured: tuple[TraceRequest, ...]


def accounts(workload: Workload) -> tuple[ids.AccountName, ...]:
    """Return the client accounts of a user, the large ones first."""
    return users.NEWSROOMS if workload is Workload.SAJHA else users.FLEETS


class _TraceBuilder:
    """Draws the requests of one trace at random."""

    def __init__(self, profile: Profile, seed: int) -> None:
        self._profile = profile
        self._random = random.Random(f"{profile.workload.value} {seed}")
        self._next_seed = seed * 1_000_000
        self._number = 0
        self._contexts = [
            self._new_context(number % len(_ACCOUNT_WEIGHTS))
            for number in range(profile.contexts)
        ]
        # An account requests its contexts in proportion to 1 / rank.
        self._weights = [
            _ACCOUNT_WEIGHTS[number % len(_ACCOUNT_WEIGHTS)]
            / (1 + number // len(_ACCOUNT_WEIGHTS))
            for number in range(profile.contexts)
        ]

    def trace(self, seed: int) -> Trace:
        """Return the trace of `seed`."""
        warm_up = [
            self._request(0, context, warm_up=True) for context in self._contexts
        ]
        self._random.shuffle(warm_up)
        arrivals = sorted(self._single_arrivals() + self._bursts())
        measured = []
        for at_ms, context in arrivals:
            is_new = self._random.random() < NEW_CONTEXT_FRACTION
            number = self._replace_context(context) if is_new else context
            measured.append(self._request(at_ms, self._contexts[number]))
        return Trace(self._profile, seed, tuple(warm_up), tuple(measured))

    def _single_arrivals(self) -> list[tuple[int, int]]:
        arrivals: list[tuple[int, int]] = []
        at_ms = 0.0
        peak = self._profile.peak_per_second
        # Thins a Poisson process of the peak rate outside the peaks.
        while True:
            at_ms += self._random.expovariate(peak) * 1000
            if at_ms >= HOUR_MS * HOURS:
                return arrivals
            in_peak = at_ms % HOUR_MS >= HOUR_MS * (1 - PEAK_FRACTION)
            rate = peak if in_peak else self._profile.quiet_per_second
            if self._random.random() < rate / peak:
                arrivals.append((int(at_ms), self._draw_context()))

    def _bursts(self) -> list[tuple[int, int]]:
        arrivals: list[tuple[int, int]] = []
        if not self._profile.burst_every_ms:
            return arrivals
        at_ms = 0.0
        while True:
            at_ms += self._random.expovariate(1 / self._profile.burst_every_ms)
            if at_ms >= HOUR_MS * HOURS - _BURST_SPREAD_MS:
                return arrivals
            context = self._draw_context()
            for _ in range(self._profile.burst_size):
                delay_ms = self._random.uniform(0, _BURST_SPREAD_MS)
                arrivals.append((int(at_ms + delay_ms), context))

    def _draw_context(self) -> int:
        return self._random.choices(range(len(self._contexts)), self._weights)[0]

    def _replace_context(self, number: int) -> int:
        """Replace a context by a new version, as a release does; return its number."""
        self._contexts[number] = self._new_context(number % len(_ACCOUNT_WEIGHTS))
        return number

    def _new_context(self, account: int) -> Context:
        self._next_seed += 1
        tokens = self._random.randint(MIN_CONTEXT_TOKENS, MAX_CONTEXT_TOKENS)
        name = accounts(self._profile.workload)[account]
        return Context(self._profile.workload, name, self._next_seed, tokens)

    def _request(
        self, at_ms: int, context: Context, *, warm_up: bool = False
    ) -> TraceRequest:
        self._number += 1
        self._next_seed += _MAX_TAIL_PARTS
        parts = self._random.randint(1, _MAX_TAIL_PARTS)
        return TraceRequest(
            self._number, at_ms, context, self._next_seed, parts, warm_up
        )


def make_trace(workload: Workload, seed: int) -> Trace:
    """Return the trace of `workload` for `seed`."""
    return _TraceBuilder(PROFILES_BY_WORKLOAD[workload], seed).trace(seed)
