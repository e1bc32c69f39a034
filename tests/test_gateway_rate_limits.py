"""Tests of rate limits that gateways share, in a seeded simulation of a fleet."""

import dataclasses
import math
import unittest
from typing import Final

from bench import rate_limit_simulation
from quincecrank import rendezvous
from quincecrank.gateway import send_permits, servers
from tests import rate_limit_checker, rate_limit_soak

LimitChange = rate_limit_checker.LimitChange

ALL_LIMITED: Final = rate_limit_simulation.Pattern(
    seed=3,
    gateways=10,
    per_second=60.0,
    limits_by_server=((LimitChange(2_000, 2.0),),) * 3,
    duration_ms=15_000,
)


class UnlimitedPermits(send_permits.SendPermits):
    """Mutation: allows every request."""

    def allows(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        return True

    def take(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> send_permits.Permit | None:
        return send_permits.Permit(incarnation, now_ms + 1_000)


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

    def test_a_gateway_that_ignores_limits_is_found(self) -> None:
        """The checker reports gateways whose permits allow every request."""
        pattern = dataclasses.replace(ALL_LIMITED, make_permits=UnlimitedPermits)
        result = rate_limit_simulation.simulate(pattern)
        server = result.servers[0]
        self.assertNotEqual(
            rate_limit_checker.excess_requests(
                "i-0", server.changes, server.arrivals, server.answers
            ),
            [],
        )

    def test_most_of_a_limit_is_used_while_requests_wait(self) -> None:
        """Shares that no gateway had requests for were lost."""
        for changes in (
            {},
            {"busy_gateways": 2},
            {"gateways": 45},
            {"limits_by_server": ((LimitChange(2_000, 10.0),),) * 3},
            {"limits_by_server": ((LimitChange(2_000, 0.5),),) * 3},
            {"limits_by_server": ((LimitChange(2_000, 2.0),), (), ()), "slots": 1},
        ):
            with self.subTest(changes):
                pattern = dataclasses.replace(ALL_LIMITED, **changes)
                result = self.check_windows(pattern)
                for server in result.servers:
                    if not server.changes:
                        continue
                    limit = server.changes[0].per_second
                    assert limit is not None
                    used = server.requests_between(4_000, 14_000) / 10 / limit
                    self.assertGreaterEqual(used, 0.8)

    def test_limits_below_one_request_a_second(self) -> None:
        """One token each let sixty-eight gateways send at the same moment."""
        for limit in (0.0, 0.05, 0.5):
            for gateways in (10, 68):
                with self.subTest(limit, gateways=gateways):
                    self.check_windows(
                        dataclasses.replace(
                            ALL_LIMITED,
                            gateways=gateways,
                            limits_by_server=((LimitChange(2_000, limit),),) * 2,
                        )
                    )

    def test_every_gateway_notices_the_end_of_a_limit(self) -> None:
        """A server that got almost nothing was never used again."""
        for limit in (0.0, 0.1, 2.0):
            for is_service_limited in (False, True):
                with self.subTest(limit, is_service_limited=is_service_limited):
                    changes = (LimitChange(2_000, limit), LimitChange(8_000, None))
                    others = changes if is_service_limited else ()
                    pattern = dataclasses.replace(
                        ALL_LIMITED, limits_by_server=(changes, others, others)
                    )
                    result = self.check_windows(pattern)
                    self.assertEqual(result.believing, (frozenset(),) * 3)

    def test_changes_of_a_limit(self) -> None:
        """A lower limit holds from its naming on, a higher one is used."""
        changes = (
            LimitChange(2_000, 10.0), LimitChange(6_000, 1.0), LimitChange(10_000, 8.0)
        )  # fmt: skip
        pattern = dataclasses.replace(ALL_LIMITED, limits_by_server=(changes,))
        result = self.check_windows(pattern)
        used = result.servers[0].requests_between(12_000, 15_000) / 3
        self.assertGreaterEqual(used, 0.8 * 8)

    def test_faults_of_gateways(self) -> None:
        """A new issuer issued permits beside those of the former one."""
        issuer = rendezvous.ranked("i-0", [f"gateway-{n}" for n in range(10)], 1)[0]
        number = int(issuer.rpartition("-")[2])
        everyone = frozenset(range(10))
        alone, half = frozenset({number}), frozenset(range(5))
        cut = rate_limit_simulation.Cut
        for changes in (
            {"restarts": (rate_limit_simulation.Restart(number, 6_000, 7_000),)},
            {"restarts": (rate_limit_simulation.Restart(number, 6_000, math.inf),)},
            {"freezes": (rate_limit_simulation.Freeze(number, 6_000, 9_000),)},
            {"freezes": (rate_limit_simulation.Freeze(number, 6_000, 6_400),)},
            {"cuts": (cut(alone, everyone, 6_000, 11_000),)},
            {"cuts": (cut(everyone, alone, 6_000, 11_000),)},
            {
                "cuts": (
                    cut(half, everyone - half, 6_000, 11_000),
                    cut(everyone - half, half, 6_000, 11_000),
                )
            },
        ):
            for limit in (0.5, 2.0, 20.0):
                with self.subTest(changes, limit=limit):
                    self.check_windows(
                        dataclasses.replace(
                            ALL_LIMITED,
                            limits_by_server=((LimitChange(2_000, limit),),) * 2,
                            **changes,
                        )
                    )

    def test_all_gateways_lose_power_at_once(self) -> None:
        """Gateways that had all forgotten a limit learn it again from answers."""
        pattern = dataclasses.replace(
            ALL_LIMITED,
            duration_ms=20_000,
            restarts=tuple(
                rate_limit_simulation.Restart(number, 8_000, 9_000)
                for number in range(10)
            ),
        )
        back_in_touch_ms = 9_000 + rate_limit_checker.CONTACT_MS
        excuses = tuple(
            rate_limit_checker.Excuse(f"gateway-{n}", 8_000, back_in_touch_ms)
            for n in range(10)
        )
        result = self.check_windows(pattern, excuses)
        for server in result.servers:
            used = server.requests_between(13_000, 20_000) / 7 / 2
            self.assertGreaterEqual(used, 0.8)

    def test_faults_in_series(self) -> None:
        """Seeds of the soak, of which `rate_limit_soak` runs more by hand."""
        found = [line for seed in range(8) for line in rate_limit_soak.violations(seed)]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
