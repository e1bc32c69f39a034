"""Calls between quincecrank's processes that are answered by one reply.

Each method has a request and a reply model; both travel as JSON inside the
``Call`` and ``Reply`` packets.  Streams of answers do not pass here.
"""

import enum

from quincecrank import chain_view, configuration, crash_counts, directory, ids


class Method(enum.Enum):
    """Names of the calls."""

    CONFIGURATION_ROWS = "configuration-rows"
    DIRECTORY_LOOKUP = "directory-lookup"
    DIRECTORY_ANNOUNCE = "directory-announce"
    CRASH_REPORT = "crash-report"
    PREFETCH = "prefetch"
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


class LookupRequest(configuration.FrozenModel):
    """Asks where the blocks of one prompt are and how often it crashed an engine.

    Attributes
    ----------
    may_keep : bool
        Whether the request is a return of the prompt and may write its blocks.
    """

    block_keys: tuple[ids.BlockKey, ...]
    request: crash_counts.RequestFingerprint
    may_keep: bool = False


class LookupReply(configuration.FrozenModel):
    """What the directory knows; a hint, never relied on for correctness.

    Attributes
    ----------
    keep : tuple of StoredBlock
        Blocks that this request should write to stores after its run, under these
        names.
    """

    chain: chain_view.ChainView
    crashes: tuple[crash_counts.CrashRecord, ...] = ()
    keep: tuple[chain_view.StoredBlock, ...] = ()


class AnnounceRequest(configuration.FrozenModel):
    """News for one shard of the directory.

    Attributes
    ----------
    gone_servers : tuple of EngineHolder
        Backend servers with their present incarnation; what earlier ones held is
        forgotten.
    doubtful : tuple of EngineHolder
        Engines whose cache events were lost.
    snapshot_of : EngineHolder or None
        The announcements replace all that this engine was known to hold.
    """

    announced: tuple[directory.Announcement, ...] = ()
    withdrawn: tuple[directory.Announcement, ...] = ()
    gone_servers: tuple[directory.EngineHolder, ...] = ()
    doubtful: tuple[directory.EngineHolder, ...] = ()
    snapshot_of: directory.EngineHolder | None = None


class CrashReport(configuration.FrozenModel):
    """Crashes of backend servers under requests, and what cleared them."""

    records: tuple[crash_counts.CrashRecord, ...]


class PrefetchRequest(configuration.FrozenModel):
    """Asks an agent to import blocks that are expected to be needed soon."""

    copies: tuple[chain_view.StoredBlock, ...]


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
