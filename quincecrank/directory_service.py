"""The shard of the directory that this agent keeps for its deployment."""

from quincecrank import clock as clocks
from quincecrank import configuration, crash_counts, directory, metrics, rpc


class DirectoryService:
    """Answers lookups, takes announcements and counts crashes."""

    def __init__(self, figures: metrics.AgentMetrics, clock: clocks.Clock) -> None:
        self._shard = directory.DirectoryShard()
        self._crashes = crash_counts.CrashCounts()
        self._figures = figures
        self._clock = clock

    def lookup(self, body: bytes) -> rpc.LookupReply:
        """Return what is known of a prompt."""
        request = rpc.LookupRequest.model_validate_json(body)
        return rpc.LookupReply(
            chain=self._shard.lookup(request.block_keys),
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
        for news in request.withdrawn:
            shard.withdraw(news)
        for holder in request.doubtful:
            shard.mark_doubtful(holder)
        self._figures.directory_blocks.set(len(shard))

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
