"""Runs a seed of the soak of a gateway beside clients over the limits."""

import unittest
from typing import Final

from tests import crowd_process_soak

SEEDS: Final = (1, 2)


class CrowdSoakTest(unittest.TestCase):
    def test_crowds_beside_restarts_and_changes(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(crowd_process_soak.run_seed(seed), [])
