"""Tests of the bounded set of links of an entry."""

import unittest

from quincecrank import clock, ids, link_selection, membership
from tests import builders_membership

AGENTS = 400
LINKS = 4


class LinkSelectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = clock.ManualClock()
        self.members = await builders_membership.members_with(
            builders_membership.agent_vms(AGENTS, "lekhak"), self.clock
        )

    def selection(self, entry: str) -> link_selection.LinkSelection:
        return link_selection.LinkSelection(
            ids.VmName(entry), self.members, LINKS, self.clock
        )

    def test_links_are_bounded_and_include_the_directory_agents(self) -> None:
        linked = {vm.name for vm in self.selection("entry-1").agents_to_link()}
        directory = self.members.directory_agents(ids.DeploymentName("lekhak"))
        self.assertLessEqual(set(directory), linked)
        self.assertLessEqual(len(linked), membership.MAX_DIRECTORY_AGENTS + LINKS)

    def test_entries_link_to_different_agents(self) -> None:
        chosen = set[ids.VmName]()
        for number in range(50):
            chosen |= {
                vm.name for vm in self.selection(f"entry-{number}").agents_to_link()
            }
        self.assertGreater(len(chosen), membership.MAX_DIRECTORY_AGENTS + 50)

    def test_link_requested_on_demand_is_maintained_for_a_limited_time(self) -> None:
        selection = self.selection("entry-1")
        base = {vm.name for vm in selection.agents_to_link()}
        other = next(vm for vm in self.members.agents() if vm.name not in base)
        self.assertTrue(selection.request_links([other.backend_server]))
        self.assertFalse(selection.request_links([other.backend_server]))
        self.assertIn(other, selection.agents_to_link())
        self.clock.advance(link_selection.ON_DEMAND_LINK_MS + 1)
        self.assertEqual({vm.name for vm in selection.agents_to_link()}, base)

    def test_link_to_an_unknown_backend_server_is_not_requested(self) -> None:
        self.assertFalse(
            self.selection("entry-1").request_links([ids.BackendServerName("nobody")])
        )
