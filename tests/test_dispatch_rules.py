"""Tests of the answer about whether a request may have run."""

import unittest

from quincecrank import attempt, dispatch_rules, entry_view, ids, problems

NOT_RUN = attempt.AttemptOutcome(
    attempt.OutcomeKind.REFUSED,
    problem=problems.Problem(problems.ProblemKind.OVERLOADED, "busy"),
)
LINK_ENDED = attempt.AttemptOutcome(attempt.OutcomeKind.BROKEN, reason="the link ended")
OUTCOME_UNKNOWN = attempt.AttemptOutcome(
    attempt.OutcomeKind.REFUSED,
    problem=problems.Problem(
        problems.ProblemKind.BACKEND_FAILED, "reset", problems.Ran.UNKNOWN
    ),
)


class FinalProblemTest(unittest.TestCase):
    """A caller that is answered "not run" repeats the request.

    The answer would be wrong if the last attempt was refused after an earlier one ran.
    """

    def test_not_run_is_answered_only_if_no_attempt_may_have_run(self) -> None:
        cases = (
            ((), problems.Ran.NOT_RUN),
            ((NOT_RUN,), problems.Ran.NOT_RUN),
            ((NOT_RUN, NOT_RUN), problems.Ran.NOT_RUN),
            ((LINK_ENDED, NOT_RUN), problems.Ran.UNKNOWN),
            ((OUTCOME_UNKNOWN, NOT_RUN), problems.Ran.UNKNOWN),
            ((NOT_RUN, LINK_ENDED), problems.Ran.UNKNOWN),
        )
        for outcomes, expected in cases:
            with self.subTest(outcomes):
                open_request = entry_view.OpenRequest(
                    ids.RequestId("r"),
                    ids.AccountName("a"),
                    ids.DeploymentName("d"),
                    0,
                )
                for outcome in outcomes:
                    earlier = dispatch_rules.record_send(open_request)
                    dispatch_rules.record_outcome(open_request, outcome, earlier)
                refusal = problems.Problem(problems.ProblemKind.OVERLOADED, "busy")
                answer = dispatch_rules.final_problem(refusal, open_request)
                self.assertIs(answer.ran, expected)

    def test_an_attempt_that_is_still_running_may_have_run(self) -> None:
        open_request = entry_view.OpenRequest(
            ids.RequestId("r"), ids.AccountName("a"), ids.DeploymentName("d"), 0
        )
        dispatch_rules.record_send(open_request)
        answer = dispatch_rules.final_problem(
            dispatch_rules.deadline_problem(), open_request
        )
        self.assertIs(answer.ran, problems.Ran.UNKNOWN)
