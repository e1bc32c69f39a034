"""Tests of gateway processes with a prompt part that crashes backend servers.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`count-whole-requests` (BUDGET) and `blame-first-parts` (LOST).
"""

import unittest

from tests import crash_part_process_soak

GATEWAYS = 5


class CrashPartTest(unittest.TestCase):
    def test_requests_with_one_part_crashed_one_server_after_the_other(self) -> None:
        """Crashes were counted for whole requests, of which no two were alike."""
        self.assertEqual(
            crash_part_process_soak.violations(1, GATEWAYS, 20.0, has_faults=False), []
        )

    def test_a_part_stays_rejected_while_gateways_freeze_end_and_restart(self) -> None:
        """A seed of the soak, of which `crash_part_process_soak` runs more by hand."""
        self.assertEqual(crash_part_process_soak.violations(2, GATEWAYS, 20.0), [])
