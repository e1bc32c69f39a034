"""Tests of requests whose route or account names the regions that may get them."""

import dataclasses
import json
import random
import unittest
from typing import Any

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    allowed_regions,
    cache_part_index,
    deployment,
    dispatcher,
    placements,
)
from quincecrank.platform import documents
from tests import builders_evacuations as evacuated
from tests import builders_gateway as builders

NORTH = frozenset({evacuated.NORTH})
SOUTH = frozenset({evacuated.SOUTH})


def make_configuration(
    route_regions: object = None, account_regions: object = None, *, version: int = 7
) -> deployment.Deployment:
    """Return a configuration whose first route and account name regions."""
    document: dict[str, Any] = builders.make_configuration_document(version)
    document["routes"][0]["allowedRegions"] = route_regions
    document["tenants"][0]["allowedRegions"] = account_regions
    document["services"][0]["zone"] = "south"
    return documents.configuration(json.dumps(document))


class AllowedRegionsTest(unittest.TestCase):
    def test_route_and_account_restrict_each_other(self) -> None:
        cases: tuple[tuple[object, object, frozenset[ids.Region] | None], ...] = (
            (None, None, None),
            ([], [], None),
            (["upper"], None, NORTH),
            ([], ["lower"], SOUTH),
            (["upper", "lower"], ["lower"], SOUTH),
            (["upper"], ["lower"], frozenset()),
        )
        for route_regions, account_regions, expected in cases:
            with self.subTest(route=route_regions, account=account_regions):
                current = make_configuration(route_regions, account_regions)
                route = current.find_route(builders.HOST, "/draft/x")
                assert route is not None
                account = current.accounts_by_key[builders.KEY]
                got = allowed_regions.of_request(route, account)
                self.assertEqual(got, expected)

    def test_a_data_centre_without_a_known_region_gets_no_restricted_request(
        self,
    ) -> None:
        regions = evacuated.REGION_BY_DATA_CENTRE
        for name, allowed, expected in (
            ("north", NORTH, True),
            ("south", NORTH, False),
            ("new", NORTH, False),
            ("new", None, True),
            ("north", frozenset(), False),
        ):
            with self.subTest(name, allowed=allowed):
                got = allowed_regions.allows(allowed, ids.DataCentre(name), regions)
                self.assertIs(got, expected)

    def test_malformed_regions_are_no_configuration(self) -> None:
        """A text was read as a region for each of its letters, and nothing served."""
        for odd in ("upper", {"upper": 1}, [1], [None], 7, [""]):
            with self.subTest(odd), self.assertRaises(documents.DocumentError):
                make_configuration(odd)
            with self.subTest(odd), self.assertRaises(documents.DocumentError):
                make_configuration(None, odd)


class RestrictedRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Engines and a store of KV cache in two regions."""

    def setUp(self) -> None:
        self.fleet = evacuated.make_fleet(clocks.ManualClock(100_000))
        self.fleet.apply_configuration(make_configuration(version=8))
        self.dispatcher = dispatcher.Dispatcher(self.fleet, random.Random(1))
        for number, data_centre in enumerate(("north", "south", "south")):
            entry = builders.make_entry(f"i-{number}")
            self.fleet.registry.update(
                dataclasses.replace(entry, data_centre=ids.DataCentre(data_centre))
            )
        store = cache_part_index.HolderName("store-a")
        self.fleet.cache_index.reset(store, 1, 0)

    async def place(
        self, number: int, regions: frozenset[ids.Region] | None
    ) -> placements.Placement | placements.Rejection:
        """Place a prompt whose parts no engine has."""
        assert self.fleet.configuration is not None
        queued = builders.make_queued_request(f"r-{number}", arrived_ms=100_000)
        return await self.dispatcher.place(
            placements.PlacementRequest(
                dataclasses.replace(queued, deadline_ms=105_000),
                self.fleet.configuration.services_by_name[builders.LLM],
                None,
                builders.make_prompt((f"guide-{number}", 4_000), (f"own-{number}", 9)),
                allowed_regions=regions,
            )
        )

    async def test_restricted_prompts_stay_in_their_regions(self) -> None:
        saved = []
        for number in range(4):
            placed = await self.place(number, NORTH)
            assert isinstance(placed, placements.Placement)
            self.assertEqual(placed.server.server_id, "i-0")
            self.assertFalse(any(placed.transfers.save_to))
            placed = await self.place(100 + number, SOUTH)
            assert isinstance(placed, placements.Placement)
            self.assertNotEqual(placed.server.server_id, "i-0")
            saved += [each for each in placed.transfers.save_to if each is not None]
        self.assertTrue(saved, "nothing was saved in the region of the store either")

    async def test_a_request_that_no_server_may_get_is_rejected_at_once(self) -> None:
        for regions in (frozenset({ids.Region("far")}), frozenset[ids.Region]()):
            got = await self.place(1, regions)
            assert isinstance(got, placements.Rejection)
            self.assertEqual(got.reason, "no backend server")
