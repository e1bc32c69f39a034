"""Tests of gateway processes that shut down in series while callers keep connections.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`close-unread-connections`, `close-waiting-connections`, `begin-anything` and
`exit-at-fixed-time` (LOST), `notice-signals-late` (END).
"""

import unittest
from typing import ClassVar

from tests import shutdown_process_soak

GATEWAYS = 4
DURATION_S = 14.0


class ShutdownsTest(unittest.TestCase):
    """A seed of the soak, of which `shutdown_process_soak` runs more by hand."""

    seed: ClassVar[int] = 1
    found: ClassVar[list[str]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.found = shutdown_process_soak.violations(cls.seed, GATEWAYS, DURATION_S)

    def check(self, *rules: str) -> None:
        found = [line for line in self.found for rule in rules if f": {rule}: " in line]
        self.assertEqual(found, [])

    def test_requests_at_gateways_that_shut_down_were_lost(self) -> None:
        """They were closed unread, or passed on and cut at the end."""
        self.check("LOST", "CUT")

    def test_requests_at_gateways_that_shut_down_ran_against_their_answer(self) -> None:
        """They ran twice, or were answered as not run."""
        self.check("TWICE", "REFUSED")

    def test_gateways_did_not_end_within_the_grace_time(self) -> None:
        """They counted it from when they noticed the signal."""
        self.check("END", "START")


class OtherShutdownsTest(ShutdownsTest):
    """Another seed."""

    seed = 2
