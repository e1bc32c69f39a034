"""Connections that lose every byte without closing, and slow connections.

Open connections stay silent for good; in most tests, new connections work.

Mutation (`QUINCE_MUTATION`, see `wrapped_program`) that makes these tests fail:
`trust-silence`.
"""

import concurrent.futures
import pathlib
import tempfile
import time
from typing import ClassVar, Final

from standins import local_fleet, relay
from tests import builders_fleet, fleet_callers, fleet_case, fleet_relays
from tests import history_checkers as checkers

DEADLINE_MS: Final = 10_000
LONG_ANSWER: Final = 120
PROMPTS: Final = 8
SLOW_LINK_MS: Final = 100

_Prompts = list[concurrent.futures.Future[checkers.PromptResult]]
_Calls = list[concurrent.futures.Future[checkers.CallResult]]


class LinksTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=2, services=2, deadline_ms=DEADLINE_MS)
    relayed: ClassVar[fleet_relays.RelayedFleet]

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.relayed = fleet_relays.RelayedFleet(cls.spec, pathlib.Path(folder))
        cls.fleet = cls.relayed
        cls.enterClassContext(cls.fleet)
        cls.callers = fleet_callers.Callers(cls.fleet)
        cls.addClassCleanup(cls.callers.close)

    def clear_faults(self) -> None:
        for each in self.relayed.relays():
            each.delay(0)
            each.heal()
        super().clear_faults()

    def prompts(self, name: str) -> _Prompts:
        sent = []
        for number in range(PROMPTS):
            text = builders_fleet.prompt(f"{name} {number}", number % 3)
            account = builders_fleet.ACCOUNTS[number % 3 % 2]
            sent.append(
                self.callers.start(
                    self.callers.ask,
                    text,
                    account=account,
                    entry=number % 2,
                    max_tokens=LONG_ANSWER,
                )
            )
        return sent

    def calls(self, name: str) -> _Calls:
        for replica in self.fleet.replicas_by_name.values():
            if replica.spec.deployment.name == builders_fleet.SERVICE:
                local_fleet.set_faults(replica.backend, slow_ms=400)
        return [
            self.callers.start(
                self.callers.call_until_final,
                f"{name}-{number}",
                entry=number % 2,
                seconds=8,
            )
            for number in range(PROMPTS)
        ]

    def check_silence(
        self, relays: dict[str, fleet_relays.RelayThread], also_new: bool = False
    ) -> None:
        """Silence the relays of one engine and one service; later prompts succeed."""
        name = self.id().rpartition(".")[2]
        prompts, calls = self.prompts(name), self.calls(name)
        self.random_pause(0.1, 0.6)
        chosen = [f"{builders_fleet.MODEL}-1", f"{builders_fleet.SERVICE}-1"]
        for server in chosen:
            relays[server].silence(also_new=also_new)
        results = [each.result() for each in prompts]
        for each in calls:
            each.result()
        self.check_prompts()
        self.check_calls()
        held = [result for result in results if result.kind == "deadline-exceeded"]
        self.assertEqual(len(held), 0)
        later = [each.result() for each in self.prompts(f"{name} later")]
        self.assertEqual(checkers.unfinished_requests(later), [])
        refused = [result.kind for result in later if result.status != 200]
        self.assertEqual(refused, [])
        self.check_prompts()

    def test_links_to_an_agent_go_silent(self) -> None:
        """Open links to an agent lose every byte; new ones work."""
        self.check_silence(self.relayed.agent_relays_by_server)

    def test_an_agent_cannot_be_reached_at_all(self) -> None:
        """Open and new links to an agent lose every byte."""
        self.check_silence(self.relayed.agent_relays_by_server, also_new=True)

    def test_connections_to_a_backend_server_go_silent(self) -> None:
        """Open connections of an agent to its backend server lose every byte."""
        self.check_silence(self.relayed.backend_relays_by_server)

    def test_frames_are_lost_one_way(self) -> None:
        """Frames from an agent are lost, while frames to it still arrive."""
        name = "one way"
        prompts = self.prompts(name)
        self.random_pause(0.1, 0.6)
        server = f"{builders_fleet.MODEL}-1"
        only = frozenset({relay.Direction.TO_CLIENT})
        self.relayed.agent_relays_by_server[server].silence(only)
        for each in prompts:
            each.result()
        self.check_prompts()

    def test_slow_links(self) -> None:
        """Links that delay every chunk change no answer."""
        for each in self.relayed.agent_relays_by_server.values():
            each.delay(SLOW_LINK_MS)
        prompts = [each.result() for each in self.prompts("slow links")]
        calls = [each.result() for each in self.calls("slow-links")]
        self.assertEqual(checkers.unfinished_requests(prompts), [])
        self.assertTrue(all(each.succeeded for each in calls))
        self.check_prompts()
        self.check_calls()

    def test_a_frozen_list_of_vms(self) -> None:
        """While the list of VMs is frozen, a killed agent makes no prompt fail."""
        local_fleet.set_faults(self.fleet.vm_list, frozen=True)
        agent = self.fleet.replicas_by_name[f"{builders_fleet.MODEL}-1"].agent
        assert agent is not None
        agent.kill()
        time.sleep(builders_fleet.FREEZE_S)
        later = [each.result() for each in self.prompts("frozen list")]
        self.assertEqual(checkers.unfinished_requests(later), [])
        self.assertEqual([each.status for each in later], [200] * PROMPTS)
        self.check_prompts()
