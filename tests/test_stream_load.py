"""Simulations of resumed streams while software versions come and leave."""

import unittest

from bench import stream_patterns, stream_policies, stream_simulation
from quincecrank.gateway import deployment, servers, stream_versions
from tests import stream_soak

SEEDS = (1, 2, 3, 4, 5, 6)


class StreamLoadTest(unittest.TestCase):
    """Servers, gateways and the store fail beside releases."""

    def check(self, seed: int) -> None:
        with self.subTest(seed):
            self.assertEqual(stream_soak.violations(seed), [])

    def test_streams_go_on_at_their_version(self) -> None:
        for seed in SEEDS:
            self.check(seed)

    def check_fault(self, name: str) -> None:
        load = stream_patterns.make_faults(4)[name]
        for seed in (1, 2):
            with self.subTest(seed):
                result = stream_simulation.simulate(
                    stream_patterns.Pattern(
                        seed,
                        stream_policies.Listed,
                        gateways=4,
                        **{"dropped_share": 0.3, **load},  # type: ignore[arg-type]
                    )
                )
                self.assertEqual(stream_soak.result_lines(result), [])

    def test_gateways_that_were_cut_off_joined_streams_of_two_versions(self) -> None:
        """They took the version that they knew for the only one."""
        self.check_fault("cut in release")

    def test_gateways_that_were_suspended_joined_the_streams_that_waited(self) -> None:
        """They went on with what they had known, until their next check."""
        frozen = stream_patterns.Fault(
            stream_patterns.FaultKind.FREEZE, 7_900, 11_500, (5, 6, 7, 8, 9)
        )
        for seed in (2, 3):
            with self.subTest(seed):
                pattern = stream_patterns.Pattern(
                    seed,
                    stream_policies.Listed,
                    broken_share=0.2,
                    dropped_share=0.3,
                    slow_share=0.1,
                    changes=stream_patterns.release(8_000, 2, 200, stay_ms=1_000),
                    faults=(frozen,),
                )
                result = stream_simulation.simulate(pattern)
                self.assertEqual(stream_soak.result_lines(result), [])

    def test_gateways_out_of_step_keep_streams_at_their_version(self) -> None:
        for name in stream_soak.out_of_step_faults(6, 0, 0):
            with self.subTest(name):
                self.assertEqual(stream_soak.out_of_step_violations(1, name, 6), [])

    def test_streams_were_joined_while_a_gateway_was_cut_off_beside_a_release_at_once(
        self,
    ) -> None:
        """Streams began at the new version while its old listing counted as current."""
        for kind in (stream_patterns.FaultKind.CUT, stream_patterns.FaultKind.FREEZE):
            for seed in SEEDS:
                with self.subTest(kind, seed=seed):
                    pattern = stream_patterns.Pattern(
                        seed,
                        stream_policies.Listed,
                        gateways=6,
                        broken_share=0.5,
                        slow_share=0.1,
                        duration_ms=12_000,
                        changes=stream_patterns.release(8_000, 5, 10),
                        faults=(stream_patterns.Fault(kind, 7_990, 9_290, (1,)),),
                        resumed_at=(1,),
                    )
                    result = stream_simulation.simulate(pattern)
                    self.assertEqual(result.joined, 0)

    def check_out_of_step(self, name: str, *seeds: int) -> None:
        for seed in seeds:
            with self.subTest(seed):
                found = stream_soak.out_of_step_violations(seed, name, 6)
                self.assertEqual(found, [])

    def test_most_gateways_without_the_store_joined_streams(self) -> None:
        """They took the others, which had listed a version, for ended ones."""
        self.check_out_of_step("most without store", 13, 15, 20, 27, 38)

    def test_a_gateway_that_started_and_was_cut_off_joined_streams(self) -> None:
        """It took an announcement to be as young as its reading."""
        self.check_out_of_step("just started, then cut", 17)

    def test_a_restored_store_without_a_version_led_to_joined_streams(self) -> None:
        """No gateway of before the restore was left, and its servers came later."""
        self.check_fault("store restored, all killed")

    def test_nothing_is_recorded_while_a_service_has_one_version(self) -> None:
        pattern = stream_patterns.Pattern(1, stream_policies.Listed, broken_share=0.2)
        result = stream_simulation.simulate(pattern)
        self.assertEqual((result.writes, result.report_bytes), (1, 0))
        self.assertEqual(stream_soak.result_lines(result), [])


class _RecordsIgnored(stream_versions.StreamVersions):
    def _add(
        self, record: stream_versions.Record, now_ms: int
    ) -> stream_versions._KnownRecord:
        known = super()._add(record, now_ms)
        self._record_by_name.clear()
        return known


class _UnknownGoesOn(stream_versions.StreamVersions):
    def version_of(
        self,
        service: deployment.ServiceName,
        *args: object,
    ) -> servers.SoftwareVersion | stream_versions.Resumption:
        version = super().version_of(service, *args)  # type: ignore[arg-type]
        listing = self.listing_of(service)
        if listing is None or not isinstance(version, stream_versions.Resumption):
            return version
        return min(listing.listed)


class _AllRefused(stream_versions.StreamVersions):
    def version_of(
        self, *_args: object
    ) -> servers.SoftwareVersion | stream_versions.Resumption:
        return stream_versions.Resumption.UNKNOWN


class _NothingPublished(stream_versions.StreamVersions):
    def to_publish(self, _now_ms: int) -> tuple[stream_versions.Record, ...]:
        return ()


class CheckerTest(unittest.TestCase):
    """Each faulty decision breaks a rule in the simulation."""

    def check(self, versions: type[stream_versions.StreamVersions], rule: str) -> None:
        class Policy(stream_policies.Listed):
            def make_versions(self) -> stream_versions.StreamVersions:
                return versions()

        pattern = stream_patterns.Pattern(
            1,
            Policy,
            dropped_share=0.3,
            changes=stream_patterns.MIX,
            faults=(stream_patterns.kill_all(10, 15_000, 1_000),),
        )
        lines = stream_soak.result_lines(stream_simulation.simulate(pattern))
        self.assertTrue(any(line.startswith(rule) for line in lines), lines)

    def test_records_are_ignored(self) -> None:
        self.check(_RecordsIgnored, "LOST")

    def test_a_stream_without_a_record_goes_on(self) -> None:
        self.check(_UnknownGoesOn, "ORDER")

    def test_every_resumed_stream_is_refused(self) -> None:
        self.check(_AllRefused, "LOST")

    def test_nothing_is_published(self) -> None:
        self.check(_NothingPublished, "LOST")

    def test_the_sound_module_breaks_no_rule(self) -> None:
        with self.assertRaises(AssertionError):
            self.check(stream_versions.StreamVersions, "")


if __name__ == "__main__":
    unittest.main()
