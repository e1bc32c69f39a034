"""Which data centres may get a request whose route or account names regions.

Invariant
    If a route names regions, only their servers get its requests, and no KV cache of
    their prompts is saved elsewhere; likewise for accounts.  If both name regions, only
    those that both name are allowed.
"""

from collections.abc import Mapping

from quincecrank import ids
from quincecrank.gateway import deployment


def of_request(
    route: deployment.Route, account: deployment.Account | None
) -> frozenset[ids.Region] | None:
    """Return the regions that may serve a request, which may be none at all.

    None if neither route nor account names any, so that all regions may.
    """
    named = [
        regions
        for regions in (
            route.allowed_regions,
            account.allowed_regions if account is not None else frozenset(),
        )
        if regions
    ]
    return frozenset.intersection(*named) if named else None


def allows(
    regions: frozenset[ids.Region] | None,
    data_centre: ids.DataCentre,
    region_by_data_centre: Mapping[ids.DataCentre, ids.Region],
) -> bool:
    """Return whether a data centre lies in the regions.

    A data centre whose region is not known is allowed only without regions.
    """
    return regions is None or region_by_data_centre.get(data_centre) in regions
