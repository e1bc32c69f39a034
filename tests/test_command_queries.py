"""Tests of queries on a configuration and a fleet view in memory."""

import unittest

from quincecrank import (
    command_model,
    command_parser,
    command_queries,
    configuration,
    fleet_view,
    ids,
)
from tests import builders_commands


class CommandQueriesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        text = builders_commands.EXAMPLE_CHANGE + "drain vm-9; drain vm-2"
        self.current = builders_commands.configuration_after(text)
        vms = tuple(
            fleet_view.VmRow(
                ids.VmName(f"vm-{n}"), ids.DataCentre("patan"), "agent", "live"
            )
            for n in (1, 2)
        )
        agents = (
            builders_commands.agent_row(1),
            builders_commands.agent_row(2, "v0"),
            builders_commands.agent_row(3),
        )
        history = tuple(
            fleet_view.HistoryRow(
                ids.ConfigurationVersion(n), n * 1_000, "asha", f"drain vm-{n}"
            )
            for n in (1, 2)
        )
        self.fleet = builders_commands.FakeFleet(vms, agents, history)

    async def run_query(self, text: str) -> command_queries.Table | list[str]:
        parsed = command_parser.parse(text).ok
        assert isinstance(parsed, command_model.QueryText)
        result = await command_queries.run(parsed.query, self.current, self.fleet)
        if result.is_error():
            return [str(finding) for finding in result.error.all()]
        return result.ok

    async def test_rows_are_selected_ordered_and_limited(self) -> None:
        cases: tuple[tuple[str, str, list[object]], ...] = (
            ("show accounts", "name", ["radio-kirtipur", "radio-patan"]),
            ("show accounts where share > 2", "name", ["radio-patan"]),
            ("show accounts where deployments = lekhak", "name", ["radio-patan"]),
            ("show accounts where deployments != lekhak", "share", [1.0]),
            ("show accounts where enabled = no", "name", []),
            ("show deployments where kind = model", "deadline-ms", [5000]),
            ("show deployments where deadline-ms <= 5s", "name", ["lekhak"]),
            ("show tiers where capacity-bytes = 4GiB", "name", ["smriti"]),
            ("show adapters", "adapter", ["ne-short"]),
            ("show versions", "agents", [1, 2]),
            ("show versions where wanted = yes", "weight-version", ["v1"]),
            ("show agents order by running desc limit 2", "running", [3, 2]),
            ("show agents where state = serving and running >= 3", "vm", ["vm-3"]),
            ("show vms where drained = yes", "state", ["live", "not-listed"]),
            ("show leases where fencing-number >= 1", "vm", []),
            ("show agents where heartbeat-age-ms < -5s", "vm", []),
            ("show requests", "id", []),
            ("show history", "version", [2, 1]),
            ("show history limit 1", "time", ["1970-01-01T00:00:02Z"]),
        )
        for text, column, expected in cases:
            with self.subTest(text):
                table = await self.run_query(text)
                assert isinstance(table, command_queries.Table), table
                index = table.columns.index(column)
                self.assertEqual([row[index] for row in table.rows], expected)

    async def test_single_entity_is_a_table_of_fields_and_values(self) -> None:
        for text, field, value in (
            ("show account radio-patan", "max-concurrent", 8),
            ("show deployment prasaran", "routes", ("POST /releases",)),
            ("show deployment lekhak", "accounts", ("radio-patan",)),
        ):
            with self.subTest(text):
                table = await self.run_query(text)
                assert isinstance(table, command_queries.Table), table
                self.assertIn((field, value), table.rows)

    async def test_all_mistakes_are_reported_even_if_the_table_is_empty(self) -> None:
        self.current = configuration.Configuration()
        text = "show accounts where nam = a and share = x and keys < b limit y"
        found = await self.run_query(text)
        assert isinstance(found, list)
        places = [finding.split(": ")[0].removeprefix("command:") for finding in found]
        self.assertEqual(places, ["1:21", "1:41", "1:54", "1:62"])
        self.assertIn("did you mean 'name'?", found[0])
        found = await self.run_query("show agents where state = servin")
        self.assertIn("is not draining, loading", str(found))
