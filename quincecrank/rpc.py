"""Calls between quincecrank's processes, each answered by one reply.

Each method has a request and a reply model; both are sent as JSON inside ``Call`` and
``Reply`` packets.  Streamed answers do not use calls.
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
    """The peer answered a call with an error, or not at all or not in time."""


class Empty(configuration.FrozenModel):
    """A request or reply without content."""


class ConfigurationRowsRequest(configuration.FrozenModel):
    """Requests the configuration rows after a version."""

    after: ids.ConfigurationVersion


class ConfigurationRowsReply(configuration.FrozenModel):
    """Contiguous rows, or the complete configuration if rows are no longer retained."""

    rows: tuple[configuration.ConfigurationRow, ...] = ()
    whole: configuration.Configuration | None = None


class LookupRequest(configuration.FrozenModel):
    """Requests the holders of one prompt's blocks and its recorded crashes.

    Attributes
    ----------
    may_keep : bool
        Whether the lookup counts as a return of the prompt, so that the request may
        write its blocks to stores.
    """

    block_keys: tuple[ids.BlockKey, ...]
    request: crash_counts.CrashKey
    may_keep: bool = False


class LookupReply(configuration.FrozenModel):
    """Content of the directory; a hint, never relied on for correctness.

    Attributes
    ----------
    keep : tuple of StoredBlock
        Blocks that this request should write to stores after its run, under the
        object names given here.
    """

    chain: chain_view.ChainView
    crashes: tuple[crash_counts.CrashRecord, ...] = ()
    keep: tuple[chain_view.StoredBlock, ...] = ()


class AnnounceRequest(configuration.FrozenModel):
    """Changes for one shard of the directory.

    Attributes
    ----------
    gone_servers : tuple of EngineHolder
        Not used; always empty.
    doubtful : tuple of EngineHolder
        Engines of which cache events were missed.
    snapshot_of : EngineHolder or None
        Engine whose recorded blocks are all replaced by the announcements.
    """

    announced: tuple[directory.Announcement, ...] = ()
    withdrawn: tuple[directory.Announcement, ...] = ()
    gone_servers: tuple[directory.EngineHolder, ...] = ()
    doubtful: tuple[directory.EngineHolder, ...] = ()
    snapshot_of: directory.EngineHolder | None = None


class CrashReport(configuration.FrozenModel):
    """Crashes of backend servers under requests, and runs that cleared them."""

    records: tuple[crash_counts.CrashRecord, ...]


class PrefetchRequest(configuration.FrozenModel):
    """Requests the import of blocks that are expected to be needed soon."""

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
    """All requests that wait or run at an agent."""

    rows: tuple[RunningRow, ...] = ()
