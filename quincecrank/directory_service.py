"""The shard of the directory that this agent keeps for its deployment."""

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


def _unknown() -> None:
    return None


class DirectoryService:
    """Answers lookups, takes announcements, advises placement, counts crashes.

    Attributes
    ----------
    around : callable
        Returns what placement depends on besides the prompt; None while it is not
        known, in which case nothing is written.
    """

    def __init__(self, figures: metrics.AgentMetrics, clock: clocks.Clock) -> None:
        self._shard = directory.DirectoryShard()
        self.advisor = placement_advisor.PlacementAdvisor(self._shard)
        self.around: Callable[[], placement_advisor.Surroundings | None] = _unknown
        self._crashes = crash_counts.CrashCounts()
        self._figures = figures
        self._clock = clock

    def lookup(self, body: bytes) -> rpc.LookupReply:
        """Return what is known of a prompt."""
        request = rpc.LookupRequest.model_validate_json(body)
        chain = self._shard.lookup(request.block_keys)
        return rpc.LookupReply(
            chain=chain,
            keep=self._keep(request.block_keys, chain) if request.may_keep else (),
            crashes=self._crashes.records_of(request.request),
        )

    def announce(self, request: rpc.AnnounceRequest) -> None:
        """Take news for the shard."""
        shard = self._shard
        if request.snapshot_of is not None:
            holder = request.snapshot_of
            shard.withdraw_engine(holder.server, holder.incarnation)
            shard.replace_engine(holder, ())
        for news in request.announced:
            shard.announce(news)
            if isinstance(news.holder, directory.StoreHolder):
                self.advisor.stored(news.keys)
        for news in request.withdrawn:
            shard.withdraw(news)
        for holder in request.doubtful:
            shard.mark_doubtful(holder)
        self._figures.directory_blocks.set(len(shard))

    def _keep(
        self, keys: tuple[ids.BlockKey, ...], chain: chain_view.ChainView
    ) -> tuple[chain_view.StoredBlock, ...]:
        """Decide which blocks the request writes, and log why."""
        around = self.around()
        if around is None or not keys:
            return ()
        plan = self.advisor.keep_plan(
            keys, chain, around, self._clock.now_ms(), self._clock.wall_ms()
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

    def store_restarted(self, store: ids.VmName, incarnation: ids.Incarnation) -> None:
        """Forget what earlier incarnations of a store VM kept."""
        self._shard.withdraw_store(store, incarnation)

    def crashed(self, report: rpc.CrashReport) -> None:
        """Take crashes of backend servers and what cleared them."""
        self._crashes.merge(report.records)

    def answer(self, method: rpc.Method, body: bytes) -> configuration.FrozenModel:
        """Answer a call of the directory; raises `ValueError` for another one."""
        match method:
            case rpc.Method.DIRECTORY_LOOKUP:
                return self.lookup(body)
            case rpc.Method.DIRECTORY_ANNOUNCE:
                self.announce(rpc.AnnounceRequest.model_validate_json(body))
                return rpc.Empty()
            case rpc.Method.CRASH_REPORT:
                self.crashed(rpc.CrashReport.model_validate_json(body))
                return rpc.Empty()
        raise ValueError(f"{method.value} is no call of the directory")
