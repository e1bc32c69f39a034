"""Tests of gateway processes whose servers are removed after an outage of the store.

Other servers are evacuated meanwhile and come back cold.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make this test fail:
`forget-regained-stores` (DRAIN), `ignore-evacuations` (EVAC), `ignore-cold-servers`
(COLD).
"""

import unittest

from tests import removal_process_soak

SEED = 1
GATEWAYS = 6


class RemovalsTest(unittest.TestCase):
    def test_removals_long_after_an_outage_were_taken_for_expiries(self) -> None:
        """Gateways that became readers then used removed servers for 2.5 s."""
        self.assertEqual(removal_process_soak.violations(SEED, GATEWAYS), [])
