"""Tests of the service times that a gateway estimates from answers.

The failures: wrong estimates for engines of unusual speed, and estimates that a faulty
replica or impossible observations spoil.
"""

import random
import unittest

from quincecrank.gateway import service_times

SERVICE = "drafting"


class Engine:
    """An engine whose time to the first event is linear in its work."""

    def __init__(self, base_ms: float, tokens_per_ms: float, seed: int) -> None:
        self.base_ms = base_ms
        self.tokens_per_ms = tokens_per_ms
        self._generator = random.Random(seed)

    def draw_work(self) -> service_times.Work:
        """Return a random amount of work."""
        return service_times.Work(
            missing_tokens=self._generator.choice((200, 1_700, 4_000, 9_000, 30_000)),
            backlog_tokens=self._generator.choice((0, 0, 0, 2_000, 6_000)),
            running=self._generator.randrange(30),
        )

    def first_event_ms(self, work: service_times.Work, slowness: float = 1.0) -> float:
        """Return the time to the first event of a request, with some noise."""
        tokens = work.missing_tokens + 0.4 * work.backlog_tokens
        exact_ms = self.base_ms + tokens / self.tokens_per_ms + 0.2 * work.running
        return exact_ms * slowness * self._generator.uniform(0.95, 1.1)


def relative_errors(
    engine: Engine, times: service_times.Times, count: int = 200
) -> list[float]:
    """Return the sorted errors of estimates, as fractions of the observed times."""
    errors = []
    for _ in range(count):
        work = engine.draw_work()
        observed_ms = engine.first_event_ms(work)
        errors.append(abs(times.expected_ms(work) - observed_ms) / observed_ms)
    return sorted(errors)


class EstimatorTest(unittest.TestCase):
    def test_a_hundred_answers_give_the_times_of_engines_of_any_speed(self) -> None:
        # The slowest computes a quarter of the middle one's tokens, the fastest four
        # times as many.
        for tokens_per_ms in (40.0, 160.0, 640.0):
            with self.subTest(tokens_per_ms=tokens_per_ms):
                engine = Engine(45.0, tokens_per_ms, seed=1)
                estimator = service_times.TimesEstimator()
                for _ in range(100):
                    work = engine.draw_work()
                    estimator.observe(work, engine.first_event_ms(work))
                errors = relative_errors(engine, estimator.times)
                self.assertLess(errors[len(errors) // 2], 0.1)
                self.assertLess(errors[len(errors) * 95 // 100], 0.3)

    def test_the_times_follow_a_service_that_turns_slow(self) -> None:
        engine = Engine(45.0, 160.0, seed=2)
        estimator = service_times.TimesEstimator()
        for slowness in (1.0, 3.0):
            for _ in range(600):
                work = engine.draw_work()
                estimator.observe(work, engine.first_event_ms(work, slowness))
        work = service_times.Work(missing_tokens=9_000)
        expected_ms = engine.first_event_ms(work, 3.0)
        self.assertAlmostEqual(
            estimator.times.expected_ms(work), expected_ms, delta=0.25 * expected_ms
        )

    def test_one_faulty_replica_of_eight_hardly_moves_the_times(self) -> None:
        engine = Engine(45.0, 160.0, seed=3)
        estimator = service_times.TimesEstimator()
        for number in range(400):
            work = engine.draw_work()
            slowness = 8.0 if number % 8 == 0 else 1.0
            estimator.observe(work, engine.first_event_ms(work, slowness))
        errors = relative_errors(engine, estimator.times)
        self.assertLess(errors[len(errors) // 2], 0.25)

    def test_impossible_observations_give_no_negative_times(self) -> None:
        estimator = service_times.TimesEstimator()
        generator = random.Random(4)
        for _ in range(300):
            work = service_times.Work(
                generator.randrange(9_000), generator.randrange(9_000)
            )
            estimator.observe(work, generator.choice((-5.0, 1.0, 90.0, 1e9)))
        times = estimator.times
        self.assertGreater(times.base_ms, 0.0)
        self.assertGreaterEqual(times.token_ms, 0.0)
        self.assertGreaterEqual(times.backlog_token_ms, 0.0)

    def test_the_spread_is_the_error_of_the_estimates(self) -> None:
        engine = Engine(45.0, 160.0, seed=5)
        estimator = service_times.TimesEstimator()
        for _ in range(400):
            work = engine.draw_work()
            estimator.observe(work, engine.first_event_ms(work))
        self.assertLess(estimator.times.spread_ms, 20.0)


class PeerTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.learned = service_times.ServiceTimes()
        work = service_times.Work(missing_tokens=1_000)
        for _ in range(100):
            self.learned.observe(SERVICE, work, 20.0)

    def test_a_new_gateway_uses_the_times_of_its_peers(self) -> None:
        new = service_times.ServiceTimes()
        self.assertEqual(new.times_of(SERVICE), service_times.PRIOR)
        for service, times in self.learned.to_publish().items():
            new.apply_peer_times(service, times)
        self.assertEqual(new.times_of(SERVICE), self.learned.times_of(SERVICE))

    def test_own_times_are_preferred_to_those_of_peers(self) -> None:
        peer_times = service_times.Times(base_ms=500.0, answers=1_000.0)
        self.learned.apply_peer_times(SERVICE, peer_times)
        self.assertLess(self.learned.times_of(SERVICE).base_ms, 100.0)

    def test_times_from_few_answers_are_neither_published_nor_used(self) -> None:
        new = service_times.ServiceTimes()
        new.observe(SERVICE, service_times.Work(), 20.0)
        self.assertEqual(new.to_publish(), {})
        new.apply_peer_times(SERVICE, service_times.Times(base_ms=1.0, answers=2.0))
        self.assertEqual(new.times_of(SERVICE), service_times.PRIOR)

    def test_the_times_of_removed_services_are_discarded(self) -> None:
        self.learned.retain(())
        self.assertEqual(self.learned.times_of(SERVICE), service_times.PRIOR)


if __name__ == "__main__":
    unittest.main()
