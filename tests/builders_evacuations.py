"""Builders of test data with two data centres in two regions."""

import dataclasses

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import fleet_state, row_consumers
from quincecrank.platform import documents
from tests import builders_gateway as builders

NORTH = ids.Region("upper")
SOUTH = ids.Region("lower")
REGION_BY_DATA_CENTRE = {
    ids.DataCentre("north"): NORTH,
    ids.DataCentre("south"): SOUTH,
}


def make_fleet(clock: clocks.Clock) -> fleet_state.FleetState:
    """Return the state of a gateway whose operator evacuates data centres."""
    settings = dataclasses.replace(
        builders.make_environment(),
        bounds=builders.make_bounds(evacuation_apply_ms=5_000, cold_overshoot=1.5),
        region_by_data_centre=REGION_BY_DATA_CENTRE,
    )
    fleet = fleet_state.FleetState(settings, clock)
    text = builders.make_configuration_text()
    fleet.apply_configuration(documents.configuration(text))
    return fleet


class OperatorTable:
    """The operator's table as one gateway reads it."""

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._consumer = row_consumers.OperatorRowConsumer(fleet)
        self.position = store_rows.Position(0, 1)

    def write(self, data_centre: str, *, is_removed: bool = False) -> None:
        """Write or remove the row that evacuates a data centre."""
        self.position = dataclasses.replace(
            self.position, version=self.position.version + 1
        )
        self._consumer.apply_changes(
            (
                store_rows.Row(
                    f"evacuate/{data_centre}", "{}", self.position, is_removed
                ),
            )
        )
