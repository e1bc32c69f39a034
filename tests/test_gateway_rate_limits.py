"""Tests of rate limits that gateways share, in a seeded simulation of a fleet."""

import unittest

from bench import rate_limit_simulation
from tests import rate_limit_checker

LimitChange = rate_limit_checker.LimitChange


class SharedLimitTest(unittest.TestCase):
    def check_windows(
        self,
        pattern: rate_limit_simulation.Pattern,
        excuses: tuple[rate_limit_checker.Excuse, ...] = (),
    ) -> rate_limit_simulation.Result:
        """Run a pattern and check the windows of all its servers."""
        result = rate_limit_simulation.simulate(pattern)
        found = [
            line
            for number, each in enumerate(result.servers)
            for line in rate_limit_checker.excess_requests(
                f"i-{number}", each.changes, each.arrivals, each.answers, excuses
            )
        ]
        self.assertEqual(found, [], f"seed {pattern.seed}")
        return result

    def test_ten_gateways_that_share_no_limit_exceed_it(self) -> None:
        """Ten gateways sent a server that named 2 a second several times as many."""
        self.check_windows(
            rate_limit_simulation.Pattern(
                seed=1,
                gateways=10,
                per_second=40.0,
                limits_by_server=((LimitChange(2_000, 2.0),), (), ()),
                duration_ms=10_000,
            )
        )


if __name__ == "__main__":
    unittest.main()
