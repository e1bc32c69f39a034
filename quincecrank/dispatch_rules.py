"""Rules that the pipelines of prompts and of plain calls share."""

import dataclasses
from typing import Final

from quincecrank import attempt as attempts
from quincecrank import entry_view, problems

RETRY_AFTER_BROKEN_MS: Final = 1_000

RETRIED_KINDS: Final = frozenset(
    {
        problems.ProblemKind.OVERLOADED,
        problems.ProblemKind.UNAVAILABLE,
        problems.ProblemKind.BACKEND_CRASHED,
        problems.ProblemKind.BACKEND_FAILED,
    }
)
"""Refusals after which another backend server may be tried."""


def note_sent(shown: entry_view.OpenRequest) -> bool:
    """Note that an attempt is about to be sent; return whether one may have run."""
    earlier = shown.may_have_run
    shown.may_have_run = True
    return earlier


def note_outcome(
    shown: entry_view.OpenRequest, outcome: attempts.Outcome, earlier: bool
) -> None:
    """Take the note of an attempt back if its agent says that it did not run."""
    if outcome.problem is not None and outcome.problem.ran is problems.Ran.NOT_RUN:
        shown.may_have_run = earlier


def final_answer(
    problem: problems.Problem, shown: entry_view.OpenRequest
) -> problems.Problem:
    """Return what the caller is told: "not run" only if no attempt may have run.

    The last attempt's refusal alone does not tell, since an earlier attempt of the
    same request may have run and lost its answer.
    """
    if problem.ran is problems.Ran.NOT_RUN and shown.may_have_run:
        return dataclasses.replace(problem, ran=problems.Ran.UNKNOWN)
    return problem


def broken(outcome: attempts.Outcome) -> problems.Problem:
    """Return the problem of an attempt that ended without an answer."""
    return problems.Problem(
        problems.ProblemKind.BACKEND_FAILED,
        outcome.reason,
        problems.Ran.UNKNOWN,
        RETRY_AFTER_BROKEN_MS,
    )


def deadline_passed() -> problems.Problem:
    """Return the refusal of a request whose deadline has passed."""
    return problems.Problem(
        problems.ProblemKind.DEADLINE,
        "the deadline passed",
        retry_after_ms=RETRY_AFTER_BROKEN_MS,
    )


def crasher() -> problems.Problem:
    """Return the refusal of a request that crashes backend servers."""
    return problems.Problem(
        problems.ProblemKind.CRASHES_BACKENDS,
        "backend servers crashed while they ran this request",
        problems.Ran.UNKNOWN,
    )
