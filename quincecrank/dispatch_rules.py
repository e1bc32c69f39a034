"""Rules that the dispatchers of prompts and of plain calls share."""

import dataclasses
from typing import Final

from quincecrank import attempt as attempts
from quincecrank import entry_view, problems

RETRY_AFTER_BROKEN_MS: Final = 1_000
"""Retry delay advised after a broken attempt or a passed deadline."""

RETRYABLE_KINDS: Final = frozenset(
    {
        problems.ProblemKind.OVERLOADED,
        problems.ProblemKind.UNAVAILABLE,
        problems.ProblemKind.BACKEND_CRASHED,
        problems.ProblemKind.BACKEND_FAILED,
    }
)
"""Kinds of problems after which another backend server may be tried."""


def record_send(open_request: entry_view.OpenRequest) -> bool:
    """Record that an attempt is about to be sent.

    Returns whether an earlier attempt may have run, for `record_outcome`.
    """
    earlier = open_request.may_have_run
    open_request.may_have_run = True
    return earlier


def record_outcome(
    open_request: entry_view.OpenRequest,
    outcome: attempts.AttemptOutcome,
    may_have_run_before: bool,
) -> None:
    """Undo `record_send` if the agent declared that the attempt did not run."""
    if outcome.problem is not None and outcome.problem.ran is problems.Ran.NOT_RUN:
        open_request.may_have_run = may_have_run_before


def final_problem(
    problem: problems.Problem, open_request: entry_view.OpenRequest
) -> problems.Problem:
    """Return the problem to answer: "not run" only if no attempt may have run.

    The refusal of the last attempt alone is not enough, since an earlier attempt of
    the same request may have run without its answer reaching the entry.
    """
    if problem.ran is problems.Ran.NOT_RUN and open_request.may_have_run:
        return dataclasses.replace(problem, ran=problems.Ran.UNKNOWN)
    return problem


def broken_attempt_problem(outcome: attempts.AttemptOutcome) -> problems.Problem:
    """Return the problem of an attempt that ended without an answer."""
    return problems.Problem(
        problems.ProblemKind.BACKEND_FAILED,
        outcome.reason,
        problems.Ran.UNKNOWN,
        RETRY_AFTER_BROKEN_MS,
    )


def deadline_problem() -> problems.Problem:
    """Return the problem of a request whose deadline has passed."""
    return problems.Problem(
        problems.ProblemKind.DEADLINE,
        "the deadline passed",
        retry_after_ms=RETRY_AFTER_BROKEN_MS,
    )


def crashing_request_problem() -> problems.Problem:
    """Return the problem of a request that crashes backend servers."""
    return problems.Problem(
        problems.ProblemKind.CRASHES_BACKENDS,
        "backend servers crashed while they ran this request",
        problems.Ran.UNKNOWN,
    )
