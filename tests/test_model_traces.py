"""Replays paths of the models on the code and compares with an approved file.

Each trace is a path of `models/at_most_once.pml` or `models/configuration.pml` on
which a mutant of the model violates a property.  The approved file has the table calls,
the answers and the final state of the code for each trace.
"""

import unittest
from typing import Final

import approvaltests

from tests import interleavings, test_interleavings

LOST: Final = interleavings.Fault.ANSWER_LOST
DELAYED: Final = interleavings.Fault.DELAYED
REFUSED: Final = interleavings.Fault.REFUSED
NONE: Final = interleavings.Fault.NONE

AGENT: Final = "agent of a1"
OTHER_AGENT: Final = "agent of a2"
ENTRY: Final = "entry of a1"
OTHER_ENTRY: Final = "entry of a2"
OPERATOR: Final = "operator a"
OTHER_OPERATOR: Final = "operator b"

Steps = tuple[tuple[str, interleavings.Fault], ...]

ONE_CLAIM = test_interleavings.one_key(("a1",), ("a1",))
TWO_CLAIMS = test_interleavings.one_key(("a1", "a2"), ())
TWO_CANCELLATIONS = test_interleavings.one_key(("a1",), ("a2", "a1"))
OPERATORS = test_interleavings.RacingOperators


def clean(*names: str) -> Steps:
    """Return one step without a fault for each process name."""
    return tuple((name, NONE) for name in names)


TRACES: tuple[tuple[str, interleavings.MakeScenario, Steps], ...] = (
    (
        "at_most_once NO_REREAD: the answer to an insert that lost is lost",
        TWO_CLAIMS,
        (*clean(AGENT, AGENT, OTHER_AGENT), (OTHER_AGENT, LOST)),
    ),
    (
        "at_most_once NO_REREAD: a delayed insert lands after the re-read",
        ONE_CLAIM,
        (
            *clean(AGENT),
            (AGENT, DELAYED),
            *clean(AGENT, interleavings.DELIVERY, AGENT, AGENT),
        ),
    ),
    (
        "at_most_once SILENCE_IS_NOT_RUN: the agent pauses with its claim confirmed",
        ONE_CLAIM,
        clean(AGENT, AGENT, ENTRY, ENTRY, ENTRY),
    ),
    (
        "at_most_once ADMITS_CANCELLED_ATTEMPT: the agent pauses before its claim",
        ONE_CLAIM,
        clean(AGENT, ENTRY, ENTRY, AGENT, AGENT),
    ),
    (
        "at_most_once LOST_CANCEL_WINS: the answer to a cancellation is lost",
        ONE_CLAIM,
        (*clean(AGENT, ENTRY), (ENTRY, DELAYED), *clean(AGENT, ENTRY)),
    ),
    (
        "at_most_once FORGETS_CANCELLED: a second cancellation replaces the first",
        TWO_CANCELLATIONS,
        clean(AGENT, ENTRY, ENTRY, AGENT, *[OTHER_ENTRY] * 4),
    ),
    (
        "at_most_once UNCONDITIONAL_REPLACE: claim and cancellation replace at once",
        TWO_CANCELLATIONS,
        clean(*[OTHER_ENTRY] * 2, *[AGENT] * 3, *[ENTRY] * 3, AGENT, ENTRY),
    ),
    (
        "at_most_once OUTCOME_BEFORE_RUN: a repeat gets the outcome",
        TWO_CLAIMS,
        clean(*[AGENT] * 3, *[OTHER_AGENT] * 3),
    ),
    (
        "configuration LOST_ANSWER_ACCEPTED: a delayed commit loses the race",
        OPERATORS,
        (
            *clean(OPERATOR, OTHER_OPERATOR),
            (OPERATOR, DELAYED),
            *clean(OTHER_OPERATOR, interleavings.DELIVERY),
        ),
    ),
    (
        "configuration LOST_ANSWER_REJECTED: nobody can read the commit back",
        OPERATORS,
        (*clean(OPERATOR), (OPERATOR, LOST), (OPERATOR, REFUSED)),
    ),
    (
        "configuration IGNORES_PROPOSAL_ID: a delayed commit lands before the retry",
        OPERATORS,
        (
            *clean(OPERATOR),
            (OPERATOR, DELAYED),
            *clean(OPERATOR, interleavings.DELIVERY, OPERATOR, OPERATOR),
        ),
    ),
)


class ModelTracesTest(unittest.IsolatedAsyncioTestCase):
    async def test_code_follows_the_models(self) -> None:
        parts = []
        for title, make, steps in TRACES:
            trace = tuple(interleavings.Step(*step) for step in steps)
            scenario, lines = await interleavings.replay(make, trace)
            answers = ", ".join(f"{k}: {v}" for k, v in scenario.answers.items())
            parts.append(f"{title}\n{lines}\n= {answers}\n= {scenario.state()}\n")
        reporter = approvaltests.reporters.PythonNativeReporter()
        approvaltests.verify(
            "\n".join(parts), options=approvaltests.Options().with_reporter(reporter)
        )
