"""Tests of cold servers: which are cold, and what gateways send them together."""

import dataclasses
import json
import unittest
from typing import Any

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import fleet_state, row_consumers, servers
from quincecrank.platform import documents
from tests import builders_gateway as builders

COLD_START_MS = 10_000
COLD_PER_S = 15.0


def make_fleet(
    clock: clocks.ManualClock, *, overshoot: float | None = 1.5
) -> fleet_state.FleetState:
    """Return the state of a gateway whose services may have cold servers."""
    settings = dataclasses.replace(
        builders.make_environment(),
        bounds=builders.make_bounds(
            cold_overshoot=overshoot, evacuation_apply_ms=5_000
        ),
    )
    fleet = fleet_state.FleetState(settings, clock)
    document = builders.make_configuration_document()
    for service in document["services"][1:]:
        service["coldStartS"] = COLD_START_MS / clocks.MS_PER_SECOND
        service["coldPerS"] = COLD_PER_S
    fleet.apply_configuration(documents.configuration(json.dumps(document)))
    return fleet


class ColdEntriesTest(unittest.TestCase):
    """Entries as the table of servers delivers them."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = make_fleet(self.clock)
        self.consumer = row_consumers.ServerRowConsumer(self.fleet)
        self.version = 0

    def apply(self, **changes: Any) -> bool:
        """Apply an entry of the server i-1; return whether it is significant."""
        self.version += 1
        row = store_rows.Row(
            "i-1",
            json.dumps(builders.make_entry_document(**changes)),
            store_rows.Position(0, self.version),
        )
        return bool(self.consumer.apply_changes((row,)))

    def limit(self) -> float | None:
        """Return the limit of the server i-1."""
        entry = self.fleet.registry.find(servers.ServerId("i-1"))
        assert entry is not None
        return self.fleet.rate_limits.limit_of(entry.incarnation)

    def test_a_server_that_starts_again_is_limited_from_its_first_entry(self) -> None:
        """The entry of a new start was recorded, then discarded with the old start."""
        self.apply(seq=90, born=1)
        self.apply(seq=1, born=2, coldRemainingMs=COLD_START_MS)
        self.assertEqual(self.limit(), COLD_PER_S)
