"""Serves the shard of the directory that this agent stores for its deployment."""

from collections.abc import Callable
from typing import Final

from quincecrank import (
    chain_view,
    configuration,
    crash_counts,
    directory,
    ids,
    logs,
    metrics,
    placement_advisor,
    rpc,
)
from quincecrank import clock as clocks

_LOG: Final = logs.logger("directory")


def _no_inputs() -> None:
    return None


class DirectoryService:
    """Answers lookups, applies announcements, advises placement, counts crashes.

    Attributes
    ----------
    advisor : PlacementAdvisor
        Decides which blocks of this shard are written to stores.
    placement_inputs : callable
        Returns the inputs of placement other than the prompt, or None while they
        are unknown; nothing is written to stores then.
    """

    def __init__(
        self, agent_metrics: metrics.AgentMetrics, clock: clocks.Clock
    ) -> None:
        self._shard = directory.DirectoryShard()
        self.advisor = placement_advisor.PlacementAdvisor(self._shard)
        self.placement_inputs: Callable[
            [], placement_advisor.PlacementInputs | None
        ] = _no_inputs
        self._crashes = crash_counts.CrashCounts()
        self._metrics = agent_metrics
        self._clock = clock

    def lookup(self, body: bytes) -> rpc.LookupReply:
        """Return the holders of a prompt's blocks, its crashes and blocks to write."""
        request = rpc.LookupRequest.model_validate_json(body)
        chain = self._shard.lookup(request.block_keys)
        return rpc.LookupReply(
            chain=chain,
            keep=self._plan_write_back(request.block_keys, chain)
            if request.may_keep
            else (),
            crashes=self._crashes.records_of(request.request),
        )

    def apply_announcements(self, request: rpc.AnnounceRequest) -> None:
        """Apply changes to the shard.

        If `snapshot_of` is set, all blocks of that backend server, of any incarnation,
        are removed first; the blocks of the snapshot are among the announced ones.
        """
        shard = self._shard
        if request.snapshot_of is not None:
            holder = request.snapshot_of
            shard.withdraw_engine(holder.server, holder.incarnation)
            shard.replace_engine(holder, ())
        for announcement in request.announced:
            shard.announce(announcement)
            if isinstance(announcement.holder, directory.StoreHolder):
                self.advisor.record_stored(announcement.keys)
        for announcement in request.withdrawn:
            shard.withdraw(announcement)
        for holder in request.doubtful:
            shard.mark_doubtful(holder)
        self._metrics.directory_blocks.set(len(shard))

    def _plan_write_back(
        self, keys: tuple[ids.BlockKey, ...], chain: chain_view.ChainView
    ) -> tuple[chain_view.StoredBlock, ...]:
        """Return the copies that the request should write to stores; log the reason."""
        inputs = self.placement_inputs()
        if inputs is None or not keys:
            return ()
        plan = self.advisor.plan_writes(
            keys, chain, inputs, self._clock.now_ms(), self._clock.wall_ms()
        )
        _LOG.info(
            "placement decided",
            decision="placement",
            root=keys[0],
            blocks=len(keys),
            write_blocks=len(plan.copies),
            reason=plan.reason,
        )
        return plan.copies

    def remove_old_copies(
        self, store: ids.VmName, incarnation: ids.Incarnation
    ) -> None:
        """Remove the copies of earlier incarnations of a store VM."""
        self._shard.withdraw_store(store, incarnation)

    def record_crashes(self, report: rpc.CrashReport) -> None:
        """Record crashes, and completed requests whose crashes no longer count."""
        self._crashes.merge(report.records)

    def answer(self, method: rpc.Method, body: bytes) -> configuration.FrozenModel:
        """Answer a call to the directory; raises `ValueError` for other methods."""
        match method:
            case rpc.Method.DIRECTORY_LOOKUP:
                return self.lookup(body)
            case rpc.Method.DIRECTORY_ANNOUNCE:
                self.apply_announcements(rpc.AnnounceRequest.model_validate_json(body))
                return rpc.Empty()
            case rpc.Method.CRASH_REPORT:
                self.record_crashes(rpc.CrashReport.model_validate_json(body))
                return rpc.Empty()
        raise ValueError(f"{method.value} is no call of the directory")
