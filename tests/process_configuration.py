"""No process returns to an older configuration version, whatever fails.

Operators change the configuration concurrently, the table loses answers or is
unavailable, and processes freeze or restart.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`never-learn`, `forget-configuration`.
"""

import time
from typing import Any, Final

from standins import local_fleet
from tests import builders_fleet, fleet_callers, fleet_case, history_checkers

RACES: Final = 6
PROPAGATION_LIMIT_S: Final = history_checkers.CONFIGURATION_LIMIT_MS / 1_000
OBSERVATION_S: Final = 1.0


class ConfigurationTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=2, services=1)

    def version(self) -> int:
        return int(self.callers.run_command("show tiers", version=0)["version"])

    def share_change(self, value: int) -> str:
        return f"change account {builders_fleet.ROOM} set share = {value}"

    def change(self, text: str, entry: int = 0) -> dict[int, int]:
        """Change the configuration; return its version with the time of acceptance."""
        answer = self.callers.run_command(text, version=self.version(), entry=entry)
        self.assertEqual(answer["status"], 200, answer)
        return {answer["version"]: time.time_ns() // 1_000_000}

    def check_versions(
        self, recorder: fleet_callers.VersionRecorder, accepted: dict[int, int]
    ) -> None:
        observations = recorder.observations
        processes = {seen.process.partition("/")[0] for seen in observations}
        self.assertGreater(len(processes), len(self.fleet.entries))
        found = history_checkers.decreasing_versions(observations)
        found += history_checkers.late_versions(observations, accepted)
        self.assertEqual(found, [])

    def test_operators_race(self) -> None:
        """Of two changes based on one version, one is accepted, the other gets 409."""
        accepted: dict[int, int] = {}
        with fleet_callers.VersionRecorder(self.callers) as recorder:
            for number in range(RACES):
                version = self.version()
                pending_answers = [
                    self.callers.start(
                        self.callers.run_command,
                        self.share_change(2 + 2 * number + entry),
                        version=version,
                        entry=entry,
                    )
                    for entry in range(2)
                ]
                answers = [pending.result() for pending in pending_answers]
                statuses = sorted(answer["status"] for answer in answers)
                self.assertEqual(statuses, [200, 409])
                accepted[version + 1] = time.time_ns() // 1_000_000
            time.sleep(PROPAGATION_LIMIT_S + OBSERVATION_S)
        self.check_versions(recorder, accepted)
        self.check_winner(answers)

    def check_winner(self, answers: list[dict[str, Any]]) -> None:
        won = 2 * RACES + (0 if answers[0]["status"] == 200 else 1)
        for entry in range(2):
            shown = self.callers.run_command(
                f"show accounts where name = {builders_fleet.ROOM}",
                version=0,
                entry=entry,
            )
            column = shown["table"]["columns"].index("share")
            self.assertEqual(shown["table"]["rows"][0][column], won)

    def test_answers_of_the_table_are_lost(self) -> None:
        """The table loses answers: accepted changes are in force, rejected ones not."""
        local_fleet.set_faults(self.fleet.table, lose_answers=0.5, lose_requests=0.2)
        accepted: dict[int, int] = {}
        with fleet_callers.VersionRecorder(self.callers) as recorder:
            for number in range(RACES):
                version = self.version()
                answer = self.callers.run_command(
                    self.share_change(20 + number), version=version, entry=number % 2
                )
                if answer["status"] == 200:
                    self.assertEqual(answer["version"], version + 1)
                    accepted[version + 1] = time.time_ns() // 1_000_000
            self.clear_faults()
            time.sleep(PROPAGATION_LIMIT_S + OBSERVATION_S)
        self.check_versions(recorder, accepted)

    def test_processes_restart_while_the_table_is_out(self) -> None:
        """A process that starts without the table gets the configuration from peers."""
        accepted = self.change(self.share_change(40))
        time.sleep(OBSERVATION_S)
        version = max(accepted)
        with fleet_callers.VersionRecorder(self.callers) as recorder:
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
                    self.callers.run_command("show tiers", version=0, entry=1)[
                        "version"
                    ]
                    == version
                ),
                "the new entry has the version in force",
            )
            self.wait_until(lambda: self.is_ready(1), "the new entry is ready")
            result = self.callers.ask(builders_fleet.prompt("after"), entry=1)
            self.assertTrue(result.is_complete and result.status == 200, result)
        self.check_versions(recorder, {})

    def test_a_change_reaches_processes_that_cannot_read_the_table(self) -> None:
        """An agent that was frozen during a change has it in time after it resumes."""
        agent = self.random_agent()
        with fleet_callers.VersionRecorder(self.callers) as recorder:
            agent.freeze()
            accepted = self.change(self.share_change(50), entry=1)
            time.sleep(builders_fleet.FREEZE_S)
            agent.thaw()
            time.sleep(PROPAGATION_LIMIT_S + OBSERVATION_S)
        self.check_versions(recorder, accepted)

    def test_weights_are_rolled_under_load(self) -> None:
        """Once new weights are in force, new prompts run on these weights only."""
        before = self.callers.run_command("show deployments", version=0)
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
        self.random_pause(0.1, 0.6)
        accepted = self.change(f"roll {builders_fleet.MODEL} to {new}")
        local_fleet.set_faults(self.fleet.table, down="refused")
        results = [each.result() for each in sent]
        whole = [
            result for result in results if result.is_complete and result.status == 200
        ]
        self.assertGreater(len(whole), 0)
        due_s = max(accepted.values()) / 1000 + PROPAGATION_LIMIT_S - time.time()
        time.sleep(max(0.0, due_s))
        self.wait_ready()
        for number in range(4):
            result = self.callers.ask(
                builders_fleet.prompt(f"roll {number}", 2),
                entry=number % 2,
                versions=(new,),
            )
            self.assertTrue(result.is_complete and result.status == 200, result.kind)
        self.check_prompts()
