"""Tests of the checker of the configurations that gateways answered by."""

import unittest
from collections.abc import Sequence

from tests import configuration_checker as checker

APPLY_MS = 2_000
FIRST = "/look/"
ADDED = "/added/"


def make_version(
    number: int,
    at_ms: float,
    *,
    services_by_prefix: dict[str, str] | None = None,
    keys: Sequence[str] = ("k",),
    is_valid: bool = True,
) -> checker.Version:
    """Return a version that is acknowledged 10 ms after it was sent."""
    routes = {FIRST: "records"} if services_by_prefix is None else services_by_prefix
    return checker.Version(
        number,
        at_ms,
        at_ms + 10,
        is_valid,
        {prefix: frozenset({service}) for prefix, service in routes.items()},
        frozenset(keys),
    )


WITH_ADDED = {FIRST: "records", ADDED: "records"}
VERSIONS = (
    make_version(1, 0),
    make_version(2, 10_000, services_by_prefix=WITH_ADDED),
)


def make_probe(
    sent_ms: float,
    *,
    prefix: str = FIRST,
    status: int = 200,
    service: str = "records",
    key: str = "k",
    process: int = 1,
) -> checker.Probe:
    """Return a request at one gateway that ends 5 ms after it was sent."""
    ran = service if status == 200 else ""
    return checker.Probe(
        "q", "g", process, prefix, key, sent_ms, sent_ms + 5, status, ran
    )


class CheckerTest(unittest.TestCase):
    def kinds(
        self,
        *probes: checker.Probe,
        versions: Sequence[checker.Version] = VERSIONS,
        disturbed: Sequence[tuple[float, float]] = (),
    ) -> list[str]:
        """Return the kinds of the violations."""
        lines = checker.violations(versions, probes, {"g": disturbed}, APPLY_MS)
        return [line.split(":")[0].removeprefix("CONFIG ") for line in lines]

    def test_answers_by_the_version_in_force_are_allowed(self) -> None:
        probes = (
            make_probe(5_000),
            make_probe(5_000, prefix=ADDED, status=404),
            make_probe(11_000, prefix=ADDED, status=404),
            make_probe(11_500, prefix=ADDED),
            make_probe(15_000, prefix=ADDED),
            make_probe(15_000, prefix=ADDED, status=503),
            make_probe(15_000, key="other", status=401),
        )
        self.assertEqual(self.kinds(*probes), [])

    def test_late(self) -> None:
        probe = make_probe(12_011, prefix=ADDED, status=404)
        self.assertEqual(self.kinds(probe), ["late"])
        self.assertEqual(self.kinds(probe, disturbed=((9_100, 9_200),)), [])
        self.assertEqual(self.kinds(probe, disturbed=((8_000, 9_000),)), ["late"])
        self.assertEqual(self.kinds(make_probe(12_009, prefix=ADDED, status=404)), [])

    def test_runs_of_removed_routes_keys_and_services_are_late(self) -> None:
        for changed in (
            make_version(2, 10_000, services_by_prefix={}),
            make_version(2, 10_000, keys=()),
            make_version(2, 10_000, services_by_prefix={FIRST: "archive"}),
        ):
            versions = (VERSIONS[0], changed)
            found = self.kinds(make_probe(13_000), versions=versions)
            self.assertEqual(found, ["late"])

    def test_older(self) -> None:
        seen = make_probe(10_500, prefix=ADDED)
        back = make_probe(10_800, prefix=ADDED, status=404)
        self.assertEqual(self.kinds(seen, back), ["older"])
        soon = make_probe(10_700, prefix=ADDED, status=404)
        self.assertEqual(self.kinds(seen, soon), [])
        other = make_probe(10_800, prefix=ADDED, status=404, process=2)
        self.assertEqual(self.kinds(seen, other), [])

    def test_older_at_a_disturbed_gateway(self) -> None:
        disturbed = ((10_000, 20_000),)
        seen = make_probe(10_500, prefix=ADDED)
        for at_ms, expected in ((12_400, []), (12_600, ["older"])):
            back = make_probe(at_ms, prefix=ADDED, status=404)
            self.assertEqual(self.kinds(seen, back, disturbed=disturbed), expected)

    def test_invalid(self) -> None:
        malformed = make_version(
            3, 12_500, services_by_prefix={"/never/": "records"}, is_valid=False
        )
        versions = (*VERSIONS, malformed)
        probe = make_probe(13_000, prefix="/never/")
        self.assertEqual(self.kinds(probe, versions=versions), ["invalid"])
        self.assertEqual(
            self.kinds(make_probe(13_000, status=404), versions=versions), ["invalid"]
        )
        # A malformed version makes no earlier one late.
        self.assertEqual(
            self.kinds(make_probe(19_000, prefix=ADDED), versions=versions), []
        )

    def test_not_served(self) -> None:
        first = [make_probe(15_000 + n) for n in range(30)]
        added = [
            make_probe(15_000 + n, prefix=ADDED, status=503 if n % 8 else 200)
            for n in range(30)
        ]
        self.assertEqual(self.kinds(*first, *added), ["not served"])
        self.assertEqual(self.kinds(*first, *added[:19]), [])
        self.assertEqual(self.kinds(*first, *added, disturbed=((0, 20_000),)), [])
