"""Tests of gateways as real processes while their store is restored from a snapshot.

No test asserts how long something takes: each step waits until its condition holds, up
to a limit that only a hang reaches.
"""

import json
import pathlib
import tempfile
import time
import unittest
from typing import Final

from standins import platform_callers, platform_fleet
from tests import process_gateway

GATEWAYS: Final = ("entry-1", "entry-2")
ENGINES: Final = ("engine-1", "engine-2", "engine-3")
RECORDS: Final = ("record-1", "record-2")

wait_until = process_gateway.wait_until


class StoreDrillTest(process_gateway.GatewayCallsCase):
    """Starts a fleet for each test, since eras and versions only rise."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        self.enterContext(self.fleet)
        for engine in ENGINES:
            self.fleet.add_server(engine, "drafting")
        for server in RECORDS:
            self.fleet.add_server(server, "records")
        for gateway in GATEWAYS:
            self.fleet.add_gateway(gateway)
        self.configuration = 1
        self.wait_for_service()

    def wait_for_service(self) -> None:
        for gateway in GATEWAYS:
            wait_until(lambda name=gateway: self.fleet.is_ready(name), gateway)  # type: ignore[misc]
            wait_until(
                lambda name=gateway: self.ask("/look/x", gateway=name)[0] == 200,  # type: ignore[misc]
                f"records served at {gateway}",
            )
        wait_until(lambda: self.stream("/verdict/", 2)[0] == 200, "drafts served")

    def add_route(self, prefix: str) -> None:
        """Write the next configuration, with one additional route."""
        self.configuration += 4
        route = platform_fleet.route(prefix, prefix, "records", "idempotent")
        self.fleet.write_operator_row(
            "config", platform_fleet.configuration(self.configuration, route)
        )

    def wait_for_route(self, prefix: str) -> None:
        for gateway in GATEWAYS:
            wait_until(
                lambda name=gateway: self.ask(prefix, gateway=name)[0] == 200,  # type: ignore[misc]
                f"{prefix} at {gateway}",
            )

    def raise_versions(self, count: int = 200) -> None:
        """Raise the version of the store by writes to a table that nobody reads."""
        self.fleet.set_faults(self.fleet.store, writes_per_second=0)
        for number in range(count):
            self.fleet.write_row("other", f"row-{number}", "x")

    def fencing_numbers_of(self, engine: str) -> list[int]:
        log = self.fleet.process_by_name[engine].log()
        return [
            int(line.split()[1])
            for line in log.splitlines()
            if line.startswith("fence ")
        ]

    def wait_for_weights(self, version: int) -> None:
        for engine in ENGINES:
            url = self.fleet.process_by_name[engine].url
            wait_until(
                lambda url=url: (
                    version  # type: ignore[misc]
                    == json.loads(platform_fleet.call(f"{url}/report"))["models"][0][
                        "version"
                    ]
                ),
                f"weights {version} at {engine}",
            )

    def test_changes_after_a_restore_take_effect_and_none_is_reverted(self) -> None:
        """A restore neither reverts a configuration in force nor hides later ones."""
        self.fleet.take_store_snapshot()
        # More versions than heartbeats can assign within the limit of a step.
        self.raise_versions(1_200)
        self.add_route("/added/")
        self.wait_for_route("/added/")
        with (
            platform_callers.SteadyCaller(self.fleet, GATEWAYS[:1]) as one,
            platform_callers.SteadyCaller(self.fleet, GATEWAYS[1:]) as two,
        ):
            self.fleet.restore_store()
            for _ in range(30):
                self.assertEqual(self.ask("/added/")[0], 200)
            self.add_route("/later/")
            self.wait_for_route("/later/")
        self.assertEqual({*one.statuses, *two.statuses}, {200})

    def test_a_change_is_not_lost_when_versions_have_passed_the_old_ones(self) -> None:
        """Gateways frozen during a restore must not read changes by version alone."""
        self.fleet.take_store_snapshot()
        self.raise_versions()
        self.add_route("/added/")
        self.wait_for_route("/added/")
        for gateway in GATEWAYS:
            self.fleet.process_by_name[gateway].freeze()
        # Pending calls for changes end, so that their updates are lost.
        time.sleep(2.0)
        self.fleet.restore_store()
        self.add_route("/meanwhile/")
        self.raise_versions()
        self.raise_versions()
        for gateway in GATEWAYS:
            self.fleet.process_by_name[gateway].thaw()
        self.wait_for_route("/meanwhile/")

    def test_two_restores_in_a_row_and_one_in_an_outage(self) -> None:
        """Changes take effect after several restores, one of them in an outage."""
        self.fleet.take_store_snapshot()
        self.add_route("/added/")
        self.wait_for_route("/added/")
        for _ in range(2):
            self.fleet.restore_store(rewrite_ms=200)
        self.fleet.set_faults(self.fleet.store, down="refused")
        self.fleet.restore_store(rewrite_ms=400)
        self.fleet.set_faults(self.fleet.store, down="no")
        self.add_route("/later/")
        self.wait_for_route("/later/")

    def test_members_added_after_the_snapshot_register_again(self) -> None:
        """A gateway whose row is missing in the snapshot writes it again."""
        self.fleet.take_store_snapshot()
        self.fleet.add_gateway("entry-3")
        wait_until(lambda: self.fleet.is_ready("entry-3"), "entry-3")
        # Readiness needs the configuration and the servers, not the own row.
        wait_until(
            lambda: "gateway:entry-3" in self.fleet.store_rows("gateways"),
            "the first row of entry-3",
        )
        self.fleet.restore_store()
        wait_until(
            lambda: "gateway:entry-3" in self.fleet.store_rows("gateways"),
            "the row of entry-3",
        )

    def test_fencing_numbers_rise_through_a_restore(self) -> None:
        """Orders after a restore have higher fencing numbers than those before it."""
        self.fleet.take_store_snapshot()
        self.fleet.set_target_weights(2)
        self.wait_for_weights(2)
        self.fleet.restore_store()
        self.fleet.set_target_weights(3)
        self.wait_for_weights(3)
        for engine in ENGINES:
            fencing_numbers = self.fencing_numbers_of(engine)
            self.assertEqual(len(fencing_numbers), 2)
            self.assertLess(fencing_numbers[0], fencing_numbers[1])

    def test_a_restore_during_a_weight_rollout(self) -> None:
        """A rollout that a restore interrupts completes; no engine is ordered twice."""
        self.fleet.take_store_snapshot()
        self.fleet.set_target_weights(2)
        wait_until(lambda: any(map(self.fencing_numbers_of, ENGINES)), "a first order")
        self.fleet.restore_store(rewrite_ms=300)
        self.wait_for_weights(2)
        for engine in ENGINES:
            self.assertEqual(len(self.fencing_numbers_of(engine)), 1)
        wait_until(lambda: self.stream("/verdict/", 2)[0] == 200, "served on 2")

    def test_a_drained_server_gets_no_work_after_a_restore(self) -> None:
        """The restored row of the server lacks its draining mark."""
        self.fleet.take_store_snapshot()
        victim = self.fleet.process_by_name["record-1"]
        self.fleet.set_faults(victim, draining=True)
        wait_until(
            lambda: "draining" in self.fleet.store_rows("servers")["record-1"],
            "the draining mark in the store",
        )
        self.fleet.set_faults(victim, no_heartbeats=True)
        for gateway in GATEWAYS:
            wait_until(
                lambda name=gateway: (
                    "draining"  # type: ignore[misc]
                    in self.fleet.process_by_name[name].log()
                ),
                f"the draining mark at {gateway}",
            )
        ran_before = victim.log().count("ran ")
        self.fleet.restore_store()
        self.assertNotIn("draining", self.fleet.store_rows("servers")["record-1"])
        self.add_route("/later/")
        self.wait_for_route("/later/")
        for _ in range(40):
            self.assertEqual(self.ask("/look/x")[0], 200)
        self.assertEqual(victim.log().count("ran "), ran_before)


if __name__ == "__main__":
    unittest.main()
