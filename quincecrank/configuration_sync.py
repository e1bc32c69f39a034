"""Updates a process's configuration from its peers.

Every heartbeat names the sender's version; a process that receives a newer one fetches
the rows from that peer.  Entries also poll the table.  A process never goes back to an
older version, and serves nothing before it has a version.
"""

from typing import Final

from quincecrank import clock as clocks
from quincecrank import current_configuration, ids, logs, peer_link, rpc

CALL_TIMEOUT_MS: Final = 2_000

_LOG: Final = logs.logger("configuration-sync")

PEER_SETTLE_MS: Final = 1_500
"""Time for other peers to report a newer version after the first peer's report."""


class ConfigurationSync:
    """Fetches configuration rows from peers and answers their requests for rows."""

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        clock: clocks.Clock,
    ) -> None:
        self._current = current
        self._clock = clock
        self._first_report_ms: int | None = None
        self._is_fetching = False

    def record_peer_version(self, version: ids.ConfigurationVersion) -> None:
        """Record that a peer has sent its version; 0 means that it has none."""
        if version and self._first_report_ms is None:
            self._first_report_ms = self._clock.now_ms()

    @property
    def may_serve(self) -> bool:
        """Whether this process may serve with its current version.

        After a successful read of the table it may at once.  Without one it first waits
        `PEER_SETTLE_MS` for its peers, as the first one that reports may have an older
        version than the others.
        """
        if not self._current.version:
            return False
        if self._current.confirmed_at_ms is not None:
            return True
        if self._first_report_ms is None:
            return False
        return self._clock.now_ms() - self._first_report_ms >= PEER_SETTLE_MS

    def answer_rows_request(self, body: bytes) -> rpc.ConfigurationRowsReply:
        """Answer a peer's call for the rows after its version.

        The reply has the complete configuration if some of the rows are no longer
        retained.
        """
        request = rpc.ConfigurationRowsRequest.model_validate_json(body)
        rows = self._current.rows_after(request.after)
        if rows is not None:
            return rpc.ConfigurationRowsReply(rows=rows)
        return rpc.ConfigurationRowsReply(whole=self._current.in_force)

    async def fetch_from(
        self, link: peer_link.PeerLink, version: ids.ConfigurationVersion
    ) -> None:
        """Fetch and apply rows of the peer on `link` if its `version` is newer.

        Does nothing while another fetch is running.  A failed call is logged.
        """
        if self._is_fetching or version <= self._current.version:
            return
        self._is_fetching = True
        try:
            request = rpc.ConfigurationRowsRequest(after=self._current.version)
            reply = await link.call(
                rpc.Method.CONFIGURATION_ROWS,
                request,
                rpc.ConfigurationRowsReply,
                CALL_TIMEOUT_MS,
            )
            self._apply_reply(reply)
        except rpc.CallError as error:
            _LOG.info(
                "configuration rows not fetched", peer=link.peer.name, reason=str(error)
            )
        finally:
            self._is_fetching = False

    def _apply_reply(self, reply: rpc.ConfigurationRowsReply) -> None:
        before = self._current.version
        if reply.whole is not None:
            self._current.adopt(reply.whole)
        try:
            self._current.apply(reply.rows)
        except current_configuration.DivergedError as error:
            _LOG.error(
                "configuration rows differ from those in force", reason=str(error)
            )
        if self._current.version != before:
            _LOG.info("configuration in force", version=self._current.version)
