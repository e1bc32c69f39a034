"""Tests of gateway processes whose configuration changes in series under faults.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make this test fail:
`ignore-peers-changes` (late), `return-to-older-versions` (older),
`accept-malformed-configurations` (invalid) and `reject-added-routes` (not served).
"""

import unittest

from tests import configuration_process_soak

SEED = 2
GATEWAYS = 8
SECONDS = 20.0


class ConfigurationChangesTest(unittest.TestCase):
    def test_confirmed_configurations_were_not_in_force_in_time(self) -> None:
        """Gateways with a late event loop never got them, and served on."""
        found = configuration_process_soak.violations(SEED, GATEWAYS, SECONDS)
        self.assertEqual(found, [])
