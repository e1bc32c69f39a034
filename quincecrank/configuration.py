"""The configuration of a fleet: an immutable aggregate with a version number.

Terms
-----
entity
    An account, a deployment, a tier or a drain.  A change replaces the complete
    body of an entity.
write
    The new body of one entity, or its removal.
configuration row
    One committed row of the platform table: the writes that lead from version
    ``n - 1`` to version ``n``, with the proposal id that shows which of several
    concurrent proposals was committed.
in force
    The configuration in force in a process is the newest one that it has applied.

A `Configuration` is never changed in place.  `Configuration.apply` returns the
next version and rejects any other row, so that the version of a process only
increases and skips none.
"""

import enum
from typing import Final, TypeVar

import pydantic

from quincecrank import ids

Name = TypeVar("Name", bound=str)

INITIAL_VERSION: Final = ids.ConfigurationVersion(0)


class FrozenModel(pydantic.BaseModel):
    """Base of the immutable models; unknown fields fail validation."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra="forbid", ser_json_bytes="hex", val_json_bytes="hex"
    )


Entity = TypeVar("Entity", bound=FrozenModel)


class DeploymentKind(enum.Enum):
    """Type of the backend servers of a deployment."""

    MODEL = "model"
    SERVICE = "service"


class Lateness(enum.Enum):
    """Which failure is worse for a deployment's callers: a late or a lost answer.

    With `LATE_IS_WORSE`, a request is dropped as soon as it would miss its deadline;
    with `LOST_IS_WORSE`, it may wait until the deadline itself.
    """

    LATE_IS_WORSE = "late-is-worse"
    LOST_IS_WORSE = "lost-is-worse"


class TierKind(enum.Enum):
    """Medium of a storage tier on a store VM."""

    MEMORY = "memory"
    DISK = "disk"


class EntityKind(enum.Enum):
    """Kinds of entities in a configuration."""

    ACCOUNT = "account"
    DEPLOYMENT = "deployment"
    TIER = "tier"
    DRAIN = "drain"


class ApiKey(FrozenModel):
    """A client account's API key; only its digest is stored.

    Attributes
    ----------
    key_id : KeyId
        Public name of the key.
    digest : str
        SHA-256 of the key in hex.
    """

    key_id: ids.KeyId
    digest: str


class Account(FrozenModel):
    """A client account and its limits.

    Attributes
    ----------
    share : float
        Relative weight of the account when accounts compete for a deployment.
    max_concurrent : int
        Largest number of the account's requests in flight at one entry; further
        ones are rejected.
    """

    name: ids.AccountName
    enabled: bool = True
    share: float = pydantic.Field(default=1.0, gt=0)
    max_concurrent: int = pydantic.Field(default=64, ge=1)
    keys: tuple[ApiKey, ...] = ()


class Route(FrozenModel):
    """A method and path of a plain service; idempotent calls may be retried."""

    method: str
    path: str
    idempotent: bool = False


class PolicyWeights(FrozenModel):
    """Weights of the cost by which a replica of a deployment is chosen.

    The cost is in equivalent milliseconds: the sum of the three quantities below, each
    multiplied by its weight.

    Attributes
    ----------
    first_token : float
        Weight of the estimated time to first token in milliseconds.
    recomputed : float
        Weight of the recomputed tokens in thousands.
    link : float
        Weight of the mebibytes moved over a tier's link.
    """

    first_token: float = pydantic.Field(default=1.0, ge=0)
    recomputed: float = pydantic.Field(default=0.0, ge=0)
    link: float = pydantic.Field(default=0.0, ge=0)


class Deployment(FrozenModel):
    """Replicas that serve one model, or one plain service.

    Attributes
    ----------
    weight_version : WeightVersion
        Version that every new request runs on; empty for a plain service.
    adapters : tuple of AdapterName
        Adapters that requests may select.
    accounts : tuple of AccountName
        Client accounts that may call the deployment.
    tokenizer : str
        Name of the tokenizer, see module ``tokenizers``.
    max_concurrent : int
        Largest number of concurrent requests at one backend server.
    deadline_ms : int
        Default deadline of a request.
    lateness : Lateness
        Which failure is worse for the callers.
    routes : tuple of Route
        Declared routes of a plain service; calls of other paths are treated as not
        idempotent.
    tiers : tuple of TierName
        Tiers that store KV blocks of the deployment.
    checks_fencing : bool
        Whether its backend servers refuse orders with an outdated fencing number.
    """

    name: ids.DeploymentName
    kind: DeploymentKind
    weight_version: ids.WeightVersion = ids.WeightVersion("")
    adapters: tuple[ids.AdapterName, ...] = ()
    accounts: tuple[ids.AccountName, ...] = ()
    tokenizer: str = "utf8-4"
    max_concurrent: int = pydantic.Field(default=16, ge=1)
    max_tokens: int = pydantic.Field(default=512, ge=1)
    deadline_ms: int = pydantic.Field(default=30_000, ge=1)
    lateness: Lateness = Lateness.LOST_IS_WORSE
    weights: PolicyWeights = PolicyWeights()
    routes: tuple[Route, ...] = ()
    tiers: tuple[ids.TierName, ...] = ()
    checks_fencing: bool = False


class Tier(FrozenModel):
    """Storage for KV blocks on the store VMs.

    Attributes
    ----------
    link_bytes_per_second : int
        Bandwidth of one store VM's link for this tier.
    capacity_bytes : int
        Storage capacity of one store VM for this tier.
    stores : tuple of VmName
        Store VMs that hold the tier.
    """

    name: ids.TierName
    kind: TierKind
    link_bytes_per_second: int = pydantic.Field(gt=0)
    capacity_bytes: int = pydantic.Field(gt=0)
    stores: tuple[ids.VmName, ...] = ()


class Drain(FrozenModel):
    """An operator's instruction that a VM accept no new work."""

    vm: ids.VmName


class EntityWrite(FrozenModel):
    """The new body of one entity as JSON text; an empty body removes it."""

    kind: EntityKind
    name: str
    body: str = ""


class ConfigurationRow(FrozenModel):
    """One committed change from a version to the next.

    Attributes
    ----------
    operator : str
        Name of the operator who made the change.
    command : str
        Text of the change as the operator sent it.
    wall_ms : int
        Time of the proposal on the wall clock.
    """

    version: ids.ConfigurationVersion
    proposal_id: ids.ProposalId
    operator: str
    command: str
    wall_ms: int
    writes: tuple[EntityWrite, ...]


class VersionGapError(ValueError):
    """A row is not the direct successor of the configuration it is applied to."""


class Configuration(FrozenModel):
    """All entities at one version."""

    version: ids.ConfigurationVersion = INITIAL_VERSION
    accounts_by_name: dict[ids.AccountName, Account] = {}
    deployments_by_name: dict[ids.DeploymentName, Deployment] = {}
    tiers_by_name: dict[ids.TierName, Tier] = {}
    drains_by_vm: dict[ids.VmName, Drain] = {}

    def apply(self, row: ConfigurationRow) -> "Configuration":
        """Return the configuration after `row`; this one is unchanged.

        Raises
        ------
        VersionGapError
            If `row` is not version ``self.version + 1``.
        """
        if row.version != self.version + 1:
            raise VersionGapError(f"row {row.version} after version {self.version}")
        accounts = dict(self.accounts_by_name)
        deployments = dict(self.deployments_by_name)
        tiers = dict(self.tiers_by_name)
        drains = dict(self.drains_by_vm)
        for write in row.writes:
            match write.kind:
                case EntityKind.ACCOUNT:
                    _put_or_remove(
                        accounts, ids.AccountName(write.name), Account, write.body
                    )
                case EntityKind.DEPLOYMENT:
                    name = ids.DeploymentName(write.name)
                    _put_or_remove(deployments, name, Deployment, write.body)
                case EntityKind.TIER:
                    _put_or_remove(tiers, ids.TierName(write.name), Tier, write.body)
                case EntityKind.DRAIN:
                    _put_or_remove(drains, ids.VmName(write.name), Drain, write.body)
        return Configuration(
            version=row.version,
            accounts_by_name=accounts,
            deployments_by_name=deployments,
            tiers_by_name=tiers,
            drains_by_vm=drains,
        )


def _put_or_remove(
    by_name: dict[Name, Entity], name: Name, model: type[Entity], body: str
) -> None:
    if body:
        by_name[name] = model.model_validate_json(body)
    else:
        by_name.pop(name, None)


def entity_write(
    kind: EntityKind, name: str, entity: FrozenModel | None
) -> EntityWrite:
    """Return the write that makes `entity` the body of `name`; None removes it."""
    body = "" if entity is None else entity.model_dump_json(exclude_defaults=True)
    return EntityWrite(kind=kind, name=name, body=body)
