"""Example fleets of both users: deployments, accounts and tiers.

Sajha's client accounts are newsrooms, those of Tinta Clara fleets of reading devices.
Each user has a model deployment and a plain service.
"""

from typing import Final

from quincecrank import configuration, ids
from standins import local_fleet

MEBIBYTE: Final = 1 << 20

SAJHA_CENTRES: Final = (
    ids.DataCentre("patan"),
    ids.DataCentre("bhaktapur"),
    ids.DataCentre("kirtipur"),
)
TINTA_CENTRES: Final = (
    ids.DataCentre("mx-central-a"),
    ids.DataCentre("mx-central-b"),
    ids.DataCentre("mx-central-c"),
)
SAJHA_STORES: Final = (ids.VmName("smriti-ka"), ids.VmName("smriti-kha"))
TINTA_STORES: Final = (ids.VmName("quince-cache-a"), ids.VmName("quince-cache-b"))
NEWSROOMS: Final = tuple(ids.AccountName(f"newsroom-{n}") for n in range(1, 11))
FLEETS: Final = tuple(ids.AccountName(f"reader-fleet-{n}") for n in range(1, 11))
LARGE_SHARE: Final = 4.0
LARGE_ACCOUNTS: Final = 2


def accounts(names: tuple[ids.AccountName, ...]) -> tuple[configuration.Account, ...]:
    """Return client accounts; the first `LARGE_ACCOUNTS` have the larger share."""
    return tuple(
        configuration.Account(
            name=name, share=LARGE_SHARE if number < LARGE_ACCOUNTS else 1.0
        )
        for number, name in enumerate(names)
    )


def tiers(
    prefix: str, stores: tuple[ids.VmName, ...], link_bytes_per_second: int
) -> tuple[configuration.Tier, ...]:
    """Return the memory and the disk tier on `stores`."""
    return (
        configuration.Tier(
            name=ids.TierName(f"{prefix}-memory"),
            kind=configuration.TierKind.MEMORY,
            link_bytes_per_second=link_bytes_per_second,
            capacity_bytes=256 * MEBIBYTE,
            stores=stores,
        ),
        configuration.Tier(
            name=ids.TierName(f"{prefix}-disk"),
            kind=configuration.TierKind.DISK,
            link_bytes_per_second=link_bytes_per_second // 4,
            capacity_bytes=1024 * MEBIBYTE,
            stores=stores,
        ),
    )


def lekhak() -> configuration.Deployment:
    """Return Sajha's model deployment, which drafts bulletins."""
    return configuration.Deployment(
        name=ids.DeploymentName("lekhak"),
        kind=configuration.DeploymentKind.MODEL,
        weight_version=ids.WeightVersion("v1"),
        accounts=NEWSROOMS,
        lateness=configuration.Lateness.LOST_IS_WORSE,
        weights=configuration.PolicyWeights(first_token=0.2, recomputed=60.0, link=2.0),
        tiers=(ids.TierName("smriti-memory"), ids.TierName("smriti-disk")),
        checks_fencing=True,
    )


def prasaran() -> configuration.Deployment:
    """Return Sajha's plain service, which records releases."""
    return configuration.Deployment(
        name=ids.DeploymentName("prasaran"),
        kind=configuration.DeploymentKind.SERVICE,
        accounts=NEWSROOMS,
        routes=(configuration.Route(method="GET", path="/filed", idempotent=True),),
    )


def lector() -> configuration.Deployment:
    """Return Tinta Clara's model deployment."""
    return configuration.Deployment(
        name=ids.DeploymentName("lector-llm"),
        kind=configuration.DeploymentKind.MODEL,
        weight_version=ids.WeightVersion("v1"),
        accounts=FLEETS,
        lateness=configuration.Lateness.LATE_IS_WORSE,
        weights=configuration.PolicyWeights(first_token=1.0, recomputed=1.0, link=0.1),
        tiers=(ids.TierName("quince-memory"), ids.TierName("quince-disk")),
    )


def update_api() -> configuration.Deployment:
    """Return Tinta Clara's plain service, which records installs."""
    return configuration.Deployment(
        name=ids.DeploymentName("update-api"),
        kind=configuration.DeploymentKind.SERVICE,
        accounts=FLEETS,
        routes=(configuration.Route(method="GET", path="/status", idempotent=True),),
    )


def both(
    *,
    engine_flags: local_fleet.Flags,
    link_bytes_per_second: int,
    entry_options: local_fleet.Flags,
) -> local_fleet.FleetSpec:
    """Return one fleet with both users' deployments at their present sizes."""
    backends = (
        local_fleet.BackendSpec(lekhak(), 5, SAJHA_CENTRES, engine_flags),
        local_fleet.BackendSpec(prasaran(), 3, SAJHA_CENTRES),
        local_fleet.BackendSpec(lector(), 6, TINTA_CENTRES, engine_flags),
        local_fleet.BackendSpec(update_api(), 3, TINTA_CENTRES),
    )
    store_flags = {
        name: {
            "memory_link": link_bytes_per_second,
            "disk_link": link_bytes_per_second // 4,
        }
        for name in (*SAJHA_STORES, *TINTA_STORES)
    }
    return local_fleet.FleetSpec(
        backends=backends,
        accounts=(*accounts(NEWSROOMS), *accounts(FLEETS)),
        tiers=(
            *tiers("smriti", SAJHA_STORES, link_bytes_per_second),
            *tiers("quince", TINTA_STORES, link_bytes_per_second),
        ),
        store_flags=store_flags,
        entries=2,
        entry_options=entry_options,
    )
