"""Tests of streams that are open at gateway processes that shut down.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`cut-by-earliest-bound`, `end-by-earliest-bound` and `cut-before-reading` (LOST),
`drop-unsent-bytes` (TORN), `count-from-notice` (END).
"""

import unittest
from typing import ClassVar

from tests import leaving_process_soak

GATEWAYS = 4
DURATION_S = 16.0


class LeavingStreamsTest(unittest.TestCase):
    """A seed of the soak, of which `leaving_process_soak` runs more by hand."""

    seed: ClassVar[int] = 1
    found: ClassVar[list[str]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.found = leaving_process_soak.violations(cls.seed, GATEWAYS, DURATION_S)

    def check(self, *rules: str) -> None:
        found = [line for line in self.found for rule in rules if f": {rule}: " in line]
        self.assertEqual(found, [])

    def test_streams_at_gateways_that_shut_down_were_lost(self) -> None:
        """They were cut too early, or with their end unread or events unsent."""
        self.check("LOST", "UNREAD", "TORN")

    def test_events_were_lost_over_the_attempts_of_a_stream(self) -> None:
        """They were missing or repeated, or the stream was never completed."""
        self.check("ORDER", "UNFINISHED")

    def test_gateways_took_a_wrong_time_for_the_signal(self) -> None:
        """They cut streams by it, or did not end within the grace time."""
        self.check("BOUNDS", "END", "START")
