"""Calls between quincecrank's processes that are answered by one reply.

Each method has a request and a reply model; both travel as JSON inside the
``Call`` and ``Reply`` packets.  Streams of answers do not pass here.
"""

import enum

from quincecrank import configuration, ids


class Method(enum.Enum):
    """Names of the calls."""

    CONFIGURATION_ROWS = "configuration-rows"
    DIRECTORY_LOOKUP = "directory-lookup"
    DIRECTORY_ANNOUNCE = "directory-announce"
    CRASH_REPORT = "crash-report"
    DRAIN = "drain"
    ORDER = "order"
    RUNNING = "running"


class CallError(Exception):
    """The peer answered a call with an error, or not in time."""


class Empty(configuration.FrozenModel):
    """A request or reply without content."""


class ConfigurationRowsRequest(configuration.FrozenModel):
    """Asks for the configuration rows after a version."""

    after: ids.ConfigurationVersion


class ConfigurationRowsReply(configuration.FrozenModel):
    """Contiguous rows, or the whole configuration when rows are no longer kept."""

    rows: tuple[configuration.ConfigurationRow, ...] = ()
    whole: configuration.Configuration | None = None


class EngineHolder(configuration.FrozenModel):
    """A backend server that caches the first blocks of a prompt.

    Attributes
    ----------
    leading_blocks : int
        Blocks held without a gap from the start of the prompt.
    """

    backend_server: ids.BackendServerName
    leading_blocks: int


class StoreCopy(configuration.FrozenModel):
    """A sealed copy of one block on a store VM.

    Attributes
    ----------
    index : int
        Position of the block in the prompt.
    """

    index: int
    store: ids.VmName
    object_name: ids.ObjectName
    tier: configuration.TierKind


class LookupRequest(configuration.FrozenModel):
    """Asks where the blocks of one prompt are and how often it crashed an engine."""

    block_keys: tuple[ids.BlockKey, ...]
    account: ids.AccountName
    fingerprint: str


class LookupReply(configuration.FrozenModel):
    """What the directory knows; a hint, never relied on for correctness."""

    engines: tuple[EngineHolder, ...] = ()
    copies: tuple[StoreCopy, ...] = ()
    crashes: int = 0


class EngineAnnouncement(configuration.FrozenModel):
    """Blocks that one incarnation of a backend server caches or has evicted.

    Attributes
    ----------
    snapshot : bool
        The stored keys replace everything announced before by this backend server
        for the shard.
    """

    backend_server: ids.BackendServerName
    incarnation: ids.Incarnation
    stored: tuple[ids.BlockKey, ...] = ()
    evicted: tuple[ids.BlockKey, ...] = ()
    snapshot: bool = False


class CopyAnnouncement(configuration.FrozenModel):
    """One sealed copy that appeared on a store VM or was withdrawn."""

    key: ids.BlockKey
    store: ids.VmName
    object_name: ids.ObjectName
    tier: configuration.TierKind
    withdrawn: bool = False


class AnnounceRequest(configuration.FrozenModel):
    """News for one shard of the directory."""

    engines: tuple[EngineAnnouncement, ...] = ()
    copies: tuple[CopyAnnouncement, ...] = ()


class CrashReport(configuration.FrozenModel):
    """A request that was in flight when its backend server crashed."""

    account: ids.AccountName
    fingerprint: str
    attempt_id: ids.AttemptId


class DrainRequest(configuration.FrozenModel):
    """Tells an agent that its VM is leaving, or no longer is."""

    leaving: bool
    reason: str


class OrderRequest(configuration.FrozenModel):
    """States the weight version that a backend server should run."""

    weight_version: ids.WeightVersion


class RunningRow(configuration.FrozenModel):
    """One request at an agent."""

    request_id: ids.RequestId
    attempt_id: ids.AttemptId
    account: ids.AccountName
    deployment: ids.DeploymentName
    state: str
    age_ms: int


class RunningReply(configuration.FrozenModel):
    """The requests that wait or run at an agent."""

    rows: tuple[RunningRow, ...] = ()
