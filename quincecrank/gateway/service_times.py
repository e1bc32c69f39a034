"""Learns how long the backend servers of a service take, from their answers.

Load pattern: deployments have engines of different speed, and one deployment's engines
change.  What an engine takes to the first event decides which replica is best, which
prompts can be on time and who is refused, so it is learned from each answer instead of
being set.

Terms
-----
work
    What a backend server has to do before the first event of an answer, as known when
    the request is placed.
times
    The time for each unit of work; linear, which fits engines that read prompts in
    pieces between the steps of their running requests.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

PRIOR_BASE_MS: Final = 60.0
"""First event of an idle engine that holds the prompt, until answers have shown it."""

PRIOR_TOKEN_MS: Final = 0.015
"""Reading one prompt token, until answers have shown it: 15,000 tokens in the time
that one accelerator of ordinary size takes for a quarter of a second."""

PRIOR_REQUEST_MS: Final = 0.1
"""What one running request adds, until answers have shown it."""

PRIOR_ANSWERS: Final = 12.0
"""Answers that the prior counts for: it is outweighed after a few dozen."""

MEMORY_ANSWERS: Final = 300.0
"""Answers after which an old one counts e times less.  A busy gateway gets as many
in some ten seconds, so that a service that turns slow is noticed within these."""

SOLVE_EVERY: Final = 8
"""Answers between two solutions; solving takes as long as placing a request."""

OUTLIER_SPREADS: Final = 2.0
"""Errors beyond this many spreads count as if they were this large, so that answers
of a faulty replica or over a broken link hardly move the times."""

MIN_SPREAD_MS: Final = 2.0
"""Least spread of observations: timers of two processes are not finer."""

MAX_OBSERVED_MS: Final = 10_000.0
"""Longest time that is learned from."""

ENOUGH_ANSWERS: Final = 36.0
"""Answers from which a gateway's own times go before those of its peers."""

MIN_BACKLOG_SHARE: Final = 0.1
"""Least time for a token of other prompts, as a part of the time for an own one: their
requests are counted until their first event has come, so part of them has been read."""

_TOKENS_SCALE: Final = 1_000.0
_REQUESTS_SCALE: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a backend server has to do before the first event.

    Attributes
    ----------
    missing_tokens : int
        Tokens of the prompt that it has to read.
    backlog_tokens : int
        Tokens of the prompts before it.
    running : int
        Requests that it runs.
    transfer_ms : float
        Estimated time to fetch kept parts.
    """

    missing_tokens: int = 0
    backlog_tokens: int = 0
    running: int = 0
    transfer_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """The time for each unit of work.

    Attributes
    ----------
    base_ms : float
        First event without any work.
    token_ms, backlog_token_ms, running_ms : float
        For each missing token, token of the backlog and running request.
    transfer_share : float
        Observed over estimated time of transfers.
    spread_ms : float
        Mean error of what these times predict.
    answers : float
        Answers that they rest on, old ones counting less.
    """

    base_ms: float = PRIOR_BASE_MS
    token_ms: float = PRIOR_TOKEN_MS
    backlog_token_ms: float = PRIOR_TOKEN_MS
    running_ms: float = PRIOR_REQUEST_MS
    transfer_share: float = 1.0
    spread_ms: float = PRIOR_BASE_MS
    answers: float = 0.0

    def expected_ms(self, work: Work, slowness: float = 1.0) -> float:
        """Return the estimated time to the first event.

        Parameters
        ----------
        slowness : float
            Time that the replica takes, relative to the others of its service.
        """
        own_ms = (
            self.base_ms
            + self.token_ms * work.missing_tokens
            + self.backlog_token_ms * work.backlog_tokens
            + self.running_ms * work.running
        )
        return own_ms * slowness + self.transfer_share * work.transfer_ms

    def backlog_ms(self, work: Work, slowness: float = 1.0) -> float:
        """Return the part of the estimated time that other prompts take."""
        return self.backlog_token_ms * work.backlog_tokens * slowness


PRIOR: Final = Times()


class TimesEstimator:
    """Aggregate of the answers of one service; fits its times.

    The fit is a least squares fit in which older answers count less, outliers are
    bounded and the prior counts as some answers.

    Attributes
    ----------
    times : Times
        The newest times.
    """

    def __init__(self) -> None:
        self._prior = _coefficients(PRIOR)
        size = len(self._prior)
        self._products = [[0.0] * size for _ in range(size)]
        self._targets = [0.0] * size
        self._answers = 0.0
        self._since_solved = 0
        self._fitted = list(self._prior)
        self._spread_ms = PRIOR.spread_ms
        self.times = PRIOR

    def observe(self, work: Work, observed_ms: float) -> None:
        """Take the time to the first event of one answer."""
        if not 0.0 <= observed_ms <= MAX_OBSERVED_MS:
            return
        features = _features(work)
        error_ms = observed_ms - _product(features, self._fitted)
        limit_ms = OUTLIER_SPREADS * max(MIN_SPREAD_MS, self._spread_ms)
        weight = min(1.0, limit_ms / max(abs(error_ms), MIN_SPREAD_MS))
        self._add(features, observed_ms, weight)
        step = 1.0 / min(MEMORY_ANSWERS, self._answers + 1.0)
        self._spread_ms += step * (min(abs(error_ms), limit_ms) - self._spread_ms)
        self._since_solved += 1
        if self._since_solved >= SOLVE_EVERY:
            self._since_solved = 0
            self._solve()

    def _add(self, features: Sequence[float], target: float, weight: float) -> None:
        kept = 1.0 - 1.0 / MEMORY_ANSWERS
        self._answers = self._answers * kept + 1.0
        for row, feature in zip(self._products, features, strict=True):
            for column, other in enumerate(features):
                row[column] = row[column] * kept + weight * feature * other
        self._targets = [
            before * kept + weight * feature * target
            for before, feature in zip(self._targets, features, strict=True)
        ]

    def _solve(self) -> None:
        rows = [list(row) for row in self._products]
        targets = list(self._targets)
        for index, prior in enumerate(self._prior):
            rows[index][index] += PRIOR_ANSWERS
            targets[index] += PRIOR_ANSWERS * prior
        self._fitted = _solution(rows, targets)
        base, token, backlog, running, transfer = self._fitted
        token_ms = max(token, 0.0) / _TOKENS_SCALE
        self.times = Times(
            base_ms=max(base, MIN_SPREAD_MS),
            token_ms=token_ms,
            backlog_token_ms=max(backlog / _TOKENS_SCALE, token_ms * MIN_BACKLOG_SHARE),
            running_ms=max(running, 0.0) / _REQUESTS_SCALE,
            transfer_share=max(transfer, 0.0),
            spread_ms=max(self._spread_ms, MIN_SPREAD_MS),
            answers=self._answers,
        )


class ServiceTimes:
    """Aggregate of the times of all services, own and told by peers.

    A gateway that has just started uses what its peers have learned.
    """

    def __init__(self) -> None:
        self._estimator_by_service: dict[str, TimesEstimator] = {}
        self._told_by_service: dict[str, Times] = {}

    def of(self, service: str) -> Times:
        """Return the times of a service."""
        estimator = self._estimator_by_service.get(service)
        own = estimator.times if estimator is not None else PRIOR
        if own.answers >= ENOUGH_ANSWERS:
            return own
        told = self._told_by_service.get(service)
        return own if told is None else told

    def observe(self, service: str, work: Work, observed_ms: float) -> None:
        """Take the time to the first event of one answer."""
        estimator = self._estimator_by_service.get(service)
        if estimator is None:
            estimator = self._estimator_by_service[service] = TimesEstimator()
        estimator.observe(work, observed_ms)

    def take(self, service: str, told: Times) -> None:
        """Take what a peer has learned, if it rests on enough answers."""
        if told.answers >= ENOUGH_ANSWERS:
            self._told_by_service[service] = told

    def to_tell(self) -> dict[str, Times]:
        """Return the times that rest on enough answers of this gateway."""
        return {
            service: estimator.times
            for service, estimator in self._estimator_by_service.items()
            if estimator.times.answers >= ENOUGH_ANSWERS
        }

    def retain(self, services: Sequence[str]) -> None:
        """Forget the services that the configuration no longer has."""
        for by_service in (self._estimator_by_service, self._told_by_service):
            for service in set(by_service) - set(services):
                del by_service[service]


def _features(work: Work) -> tuple[float, ...]:
    return (
        1.0,
        work.missing_tokens / _TOKENS_SCALE,
        work.backlog_tokens / _TOKENS_SCALE,
        work.running / _REQUESTS_SCALE,
        work.transfer_ms,
    )


def _coefficients(times: Times) -> tuple[float, ...]:
    return (
        times.base_ms,
        times.token_ms * _TOKENS_SCALE,
        times.backlog_token_ms * _TOKENS_SCALE,
        times.running_ms * _REQUESTS_SCALE,
        times.transfer_share,
    )


def _product(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))


def _solution(rows: list[list[float]], targets: list[float]) -> list[float]:
    """Solve a positive definite system; both arguments are used up."""
    size = len(targets)
    for pivot in range(size):
        for below in range(pivot + 1, size):
            factor = rows[below][pivot] / rows[pivot][pivot]
            targets[below] -= factor * targets[pivot]
            for column in range(pivot, size):
                rows[below][column] -= factor * rows[pivot][column]
    solved = [0.0] * size
    for row in reversed(range(size)):
        known = _product(rows[row][row + 1 :], solved[row + 1 :])
        solved[row] = (targets[row] - known) / rows[row][row]
    return solved
