"""Estimates how long the backend servers of a service take, from their answers.

Load pattern: deployments have engines of different speed, and one deployment's engines
change.  The time of an engine to the first event decides which replica is best, which
prompts can be on time and which requests are rejected.  So it is learned from each
answer instead of being configured.

Terms
-----
work
    What a backend server has to do before the first event of an answer, as estimated
    when the request is placed.
times
    Coefficients of a linear model: the time for each unit of work.  Linear fits engines
    that compute prompts in chunks between the steps of their running requests.
prior
    Times that are assumed until enough answers have been observed.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

PRIOR_BASE_MS: Final = 60.0
"""Prior time to the first event of an idle engine that holds the prompt."""

PRIOR_TOKEN_MS: Final = 0.015
"""Prior time to compute one prompt token: 15,000 tokens take an accelerator of ordinary
size a quarter of a second."""

PRIOR_REQUEST_MS: Final = 0.1
"""Prior time that each running request adds."""

PRIOR_ANSWERS: Final = 12.0
"""Weight of the prior in answers: a few dozen answers outweigh it."""

DECAY_ANSWERS: Final = 300.0
"""Answers after which an old one counts e times less.  A busy gateway gets as many in
some ten seconds, so that it detects a service that turns slow within this time."""

ANSWERS_PER_FIT: Final = 8
"""Answers from one fit to the next; a fit takes as long as placing a request."""

OUTLIER_SPREADS: Final = 2.0
"""Bound of an error in multiples of the spread; larger errors count as this large, so
that answers of a faulty replica or over a broken link hardly move the times."""

MIN_SPREAD_MS: Final = 2.0
"""Lower bound of the spread: timers of two processes are not finer."""

MAX_OBSERVED_MS: Final = 10_000.0
"""Longest observed time that is used; longer ones are ignored."""

MIN_OWN_ANSWERS: Final = 36.0
"""Number of answers that a gateway's own times must rest on to be used instead of a
peer's, and to be published to the peers."""

MIN_BACKLOG_FRACTION: Final = 0.1
"""Lower bound of the time for a backlog token, as a fraction of the time for a missing
token.  A backlog token takes less, since a prompt counts as backlog until its first
event, when part of it has long been computed."""

_TOKENS_SCALE: Final = 1_000.0
_REQUESTS_SCALE: Final = 10.0
"""Tokens and running requests are fitted in these units, in which the prior weighs
equally on each coefficient."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a backend server has to do before the first event.

    Attributes
    ----------
    missing_tokens : int
        Tokens of the prompt that it has to compute.
    backlog_tokens : int
        Tokens of the other prompts that it still has to compute.
    running : int
        Requests that it runs.
    transfer_ms : float
        Estimated time to fetch cached prompt parts.
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
        Time to the first event without any work.
    token_ms, backlog_token_ms, running_ms : float
        Time for each missing token, backlog token and running request.
    transfer_ratio : float
        Ratio of observed to estimated time of transfers.
    spread_ms : float
        Mean absolute error of the estimates.
    answers : float
        Answers that the times rest on; old ones count less.
    """

    base_ms: float = PRIOR_BASE_MS
    token_ms: float = PRIOR_TOKEN_MS
    backlog_token_ms: float = PRIOR_TOKEN_MS
    running_ms: float = PRIOR_REQUEST_MS
    transfer_ratio: float = 1.0
    spread_ms: float = PRIOR_BASE_MS
    answers: float = 0.0

    def expected_ms(self, work: Work, slowness: float = 1.0) -> float:
        """Return the estimated time to the first event.

        Parameters
        ----------
        slowness : float
            Ratio of the replica's slowness to the median of its service.
        """
        compute_ms = (
            self.base_ms
            + self.token_ms * work.missing_tokens
            + self.backlog_token_ms * work.backlog_tokens
            + self.running_ms * work.running
        )
        return compute_ms * slowness + self.transfer_ratio * work.transfer_ms

    def backlog_ms(self, work: Work, slowness: float = 1.0) -> float:
        """Return the part of the estimated time that the backlog takes."""
        return self.backlog_token_ms * work.backlog_tokens * slowness


PRIOR: Final = Times()


class TimesEstimator:
    """Fits the times of one service to its answers.

    A weighted least squares fit: older answers count less, outliers are bounded and
    the prior counts as `PRIOR_ANSWERS` answers.

    Attributes
    ----------
    times : Times
        Result of the last fit; the prior before the first one.
    """

    def __init__(self) -> None:
        self._prior = _coefficients(PRIOR)
        size = len(self._prior)
        self._normal_matrix = [[0.0] * size for _ in range(size)]
        self._normal_targets = [0.0] * size
        self._answers = 0.0
        self._answers_since_fit = 0
        self._fitted_coefficients = list(self._prior)
        self._spread_ms = PRIOR.spread_ms
        self.times = PRIOR

    def observe(self, work: Work, observed_ms: float) -> None:
        """Add the time to the first event of one answer.

        Times below 0 or above `MAX_OBSERVED_MS` are ignored.
        """
        if not 0.0 <= observed_ms <= MAX_OBSERVED_MS:
            return
        features = _features(work)
        error_ms = observed_ms - _dot_product(features, self._fitted_coefficients)
        limit_ms = OUTLIER_SPREADS * max(MIN_SPREAD_MS, self._spread_ms)
        weight = min(1.0, limit_ms / max(abs(error_ms), MIN_SPREAD_MS))
        self._add(features, observed_ms, weight)
        step = 1.0 / min(DECAY_ANSWERS, self._answers + 1.0)
        self._spread_ms += step * (min(abs(error_ms), limit_ms) - self._spread_ms)
        self._answers_since_fit += 1
        if self._answers_since_fit >= ANSWERS_PER_FIT:
            self._answers_since_fit = 0
            self._fit()

    def _add(self, features: Sequence[float], target: float, weight: float) -> None:
        decay = 1.0 - 1.0 / DECAY_ANSWERS
        self._answers = self._answers * decay + 1.0
        for row, feature in zip(self._normal_matrix, features, strict=True):
            for column, other in enumerate(features):
                row[column] = row[column] * decay + weight * feature * other
        self._normal_targets = [
            before * decay + weight * feature * target
            for before, feature in zip(self._normal_targets, features, strict=True)
        ]

    def _fit(self) -> None:
        rows = [list(row) for row in self._normal_matrix]
        targets = list(self._normal_targets)
        for index, prior in enumerate(self._prior):
            rows[index][index] += PRIOR_ANSWERS
            targets[index] += PRIOR_ANSWERS * prior
        self._fitted_coefficients = _solve_system(rows, targets)
        base, token, backlog, running, transfer = self._fitted_coefficients
        token_ms = max(token, 0.0) / _TOKENS_SCALE
        self.times = Times(
            base_ms=max(base, MIN_SPREAD_MS),
            token_ms=token_ms,
            backlog_token_ms=max(
                backlog / _TOKENS_SCALE, token_ms * MIN_BACKLOG_FRACTION
            ),
            running_ms=max(running, 0.0) / _REQUESTS_SCALE,
            transfer_ratio=max(transfer, 0.0),
            spread_ms=max(self._spread_ms, MIN_SPREAD_MS),
            answers=self._answers,
        )


class ServiceTimes:
    """The times of all services: own, published by peers, and stored.

    A gateway that has just started uses the times of its peers, or stored ones.
    """

    def __init__(self) -> None:
        self._estimator_by_service: dict[str, TimesEstimator] = {}
        self._peer_times_by_service: dict[str, Times] = {}
        self._stored_times_by_service: dict[str, Times] = {}

    def times_of(self, service: str) -> Times:
        """Return the times of a service.

        This gateway's own if they rest on `MIN_OWN_ANSWERS`; else those of a peer if
        one has published any; else the stored ones; else the own ones, or the prior.
        """
        estimator = self._estimator_by_service.get(service)
        own = estimator.times if estimator is not None else PRIOR
        if own.answers >= MIN_OWN_ANSWERS:
            return own
        return self._peer_times_by_service.get(
            service, self._stored_times_by_service.get(service, own)
        )

    def observe(self, service: str, work: Work, observed_ms: float) -> None:
        """Add the time to the first event of one answer."""
        estimator = self._estimator_by_service.get(service)
        if estimator is None:
            estimator = self._estimator_by_service[service] = TimesEstimator()
        estimator.observe(work, observed_ms)

    def apply_peer_times(self, service: str, peer_times: Times) -> None:
        """Record the times that a peer has published.

        Ignored if they rest on fewer than `MIN_OWN_ANSWERS`.
        """
        if peer_times.answers >= MIN_OWN_ANSWERS:
            self._peer_times_by_service[service] = peer_times

    def apply_stored_times(self, service: str, stored_times: Times) -> None:
        """Record the times that the store has, of any age."""
        if stored_times.answers >= MIN_OWN_ANSWERS:
            self._stored_times_by_service[service] = stored_times

    def to_store(self) -> dict[str, Times]:
        """Return the times that gateways have learned, own ones before peers'."""
        return {**self._peer_times_by_service, **self.to_publish()}

    def to_publish(self) -> dict[str, Times]:
        """Return this gateway's times that rest on `MIN_OWN_ANSWERS` or more."""
        return {
            service: estimator.times
            for service, estimator in self._estimator_by_service.items()
            if estimator.times.answers >= MIN_OWN_ANSWERS
        }

    def retain(self, services: Sequence[str]) -> None:
        """Remove all services but those of the configuration."""
        for by_service in (
            self._estimator_by_service,
            self._peer_times_by_service,
            self._stored_times_by_service,
        ):
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
        times.transfer_ratio,
    )


def _dot_product(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))


def _solve_system(rows: list[list[float]], targets: list[float]) -> list[float]:
    """Solve a positive definite linear system; both arguments are overwritten."""
    size = len(targets)
    for pivot in range(size):
        for below in range(pivot + 1, size):
            factor = rows[below][pivot] / rows[pivot][pivot]
            targets[below] -= factor * targets[pivot]
            for column in range(pivot, size):
                rows[below][column] -= factor * rows[pivot][column]
    solved = [0.0] * size
    for row in reversed(range(size)):
        solved_sum = _dot_product(rows[row][row + 1 :], solved[row + 1 :])
        solved[row] = (targets[row] - solved_sum) / rows[row][row]
    return solved
