"""Operators race, the table is out, and processes restart: no version goes back.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`never-learn`, `forget-configuration`.
"""

import time
from typing import Any, Final

from standins import local_fleet
from tests import builders_fleet, fleet_callers, fleet_case, history_checkers

RACES: Final = 6
DUE_S: Final = history_checkers.CONFIGURATION_LIMIT_MS / 1_000
LOOK_S: Final = 1.0


class ConfigurationTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=2, services=1)

    def version(self) -> int:
        return int(self.callers.operate("show tiers", version=0)["version"])

    def share(self, value: int) -> str:
        return f"change account {builders_fleet.ROOM} set share = {value}"

    def accepted(self, text: str, entry: int = 0) -> dict[int, int]:
        """Change the configuration and return when its version was accepted."""
        answer = self.callers.operate(text, version=self.version(), entry=entry)
        self.assertEqual(answer["status"], 200, answer)
        return {answer["version"]: time.time_ns() // 1_000_000}

    def check_versions(
        self, watch: fleet_callers.VersionWatch, accepted: dict[int, int]
    ) -> None:
        observations = watch.observations
        processes = {seen.process.partition("/")[0] for seen in observations}
        self.assertGreater(len(processes), len(self.fleet.entries))
        found = history_checkers.decreasing_versions(observations)
        found += history_checkers.late_versions(observations, accepted)
        self.assertEqual(found, [])

    def test_operators_race(self) -> None:
        """Of two changes decided on one version, one wins and the other is told."""
        accepted: dict[int, int] = {}
        with fleet_callers.VersionWatch(self.callers) as watch:
            for number in range(RACES):
                version = self.version()
                racers = [
                    self.callers.start(
                        self.callers.operate,
                        self.share(2 + 2 * number + entry),
                        version=version,
                        entry=entry,
                    )
                    for entry in range(2)
                ]
                answers = [racer.result() for racer in racers]
                statuses = sorted(answer["status"] for answer in answers)
                self.assertEqual(statuses, [200, 409])
                accepted[version + 1] = time.time_ns() // 1_000_000
            time.sleep(DUE_S + LOOK_S)
        self.check_versions(watch, accepted)
        self.check_winner(answers)

    def check_winner(self, answers: list[dict[str, Any]]) -> None:
        won = 2 * RACES + (0 if answers[0]["status"] == 200 else 1)
        for entry in range(2):
            shown = self.callers.operate(
                f"show accounts where name = {builders_fleet.ROOM}",
                version=0,
                entry=entry,
            )
            column = shown["table"]["columns"].index("share")
            self.assertEqual(shown["table"]["rows"][0][column], won)

    def test_answers_of_the_table_are_lost(self) -> None:
        """A lost answer is settled: success means in force, refusal not there."""
        local_fleet.set_faults(self.fleet.table, lose_answers=0.5, lose_requests=0.2)
        accepted: dict[int, int] = {}
        with fleet_callers.VersionWatch(self.callers) as watch:
            for number in range(RACES):
                version = self.version()
                answer = self.callers.operate(
                    self.share(20 + number), version=version, entry=number % 2
                )
                if answer["status"] == 200:
                    self.assertEqual(answer["version"], version + 1)
                    accepted[version + 1] = time.time_ns() // 1_000_000
            self.heal()
            time.sleep(DUE_S + LOOK_S)
        self.check_versions(watch, accepted)

    def test_processes_restart_while_the_table_is_out(self) -> None:
        """A process that starts without the table learns from those that run."""
        accepted = self.accepted(self.share(40))
        time.sleep(LOOK_S)
        version = max(accepted)
        with fleet_callers.VersionWatch(self.callers) as watch:
            local_fleet.set_faults(self.fleet.table, down="silent")
            replica = self.fleet.replicas_by_name[f"{builders_fleet.MODEL}-1"]
            assert replica.agent is not None
            replica.agent.kill()
            self.fleet.start_agent(replica.name)
            self.fleet.entries[1].kill()
            self.fleet.start_entry(1)
            self.wait_ready()
            self.wait_until(
                lambda: (
                    self.callers.operate("show tiers", version=0, entry=1)["version"]
                    == version
                ),
                "the new entry has the version in force",
            )
            self.wait_until(lambda: self.is_ready(1), "the new entry is ready")
            result = self.callers.ask(builders_fleet.prompt("after"), entry=1)
            self.assertTrue(result.whole and result.status == 200, result)
        self.check_versions(watch, {})

    def test_a_change_reaches_processes_that_cannot_read_the_table(self) -> None:
        """An agent that was frozen over a change, and a new one, catch up in time."""
        agent = self.agent()
        with fleet_callers.VersionWatch(self.callers) as watch:
            agent.freeze()
            accepted = self.accepted(self.share(50), entry=1)
            time.sleep(builders_fleet.FREEZE_S)
            agent.thaw()
            time.sleep(DUE_S + LOOK_S)
        self.check_versions(watch, accepted)

    def test_weights_are_rolled_under_load(self) -> None:
        """New prompts run on the new version alone once it is in force."""
        before = self.callers.operate("show deployments", version=0)
        column = before["table"]["columns"].index("weight-version")
        old = next(row[column] for row in before["table"]["rows"] if row[column])
        new = builders_fleet.V2 if old == builders_fleet.V1 else builders_fleet.V1
        both = (builders_fleet.V1, builders_fleet.V2)
        sent = [
            self.callers.start(
                self.callers.ask,
                builders_fleet.prompt(f"roll {number % 4}", 2),
                entry=number % 2,
                versions=both,
                max_tokens=100,
            )
            for number in range(8)
        ]
        self.pause(0.1, 0.6)
        accepted = self.accepted(f"roll {builders_fleet.MODEL} to {new}")
        local_fleet.set_faults(self.fleet.table, down="refused")
        results = [each.result() for each in sent]
        whole = [result for result in results if result.whole and result.status == 200]
        self.assertGreater(len(whole), 0)
        due_s = max(accepted.values()) / 1000 + DUE_S - time.time()
        time.sleep(max(0.0, due_s))
        self.wait_ready()
        for number in range(4):
            result = self.callers.ask(
                builders_fleet.prompt(f"roll {number}", 2),
                entry=number % 2,
                versions=(new,),
            )
            self.assertTrue(result.whole and result.status == 200, result.kind)
        self.check_prompts()
