"""Keeps a process's configuration up to date from the table and from peers.

Every heartbeat names the sender's version; a process that hears of a newer one asks
that peer for the rows.  Entries also poll the table.  A process moves only upwards,
and serves nothing before it has learned a version.
"""

from typing import Final

from quincecrank import clock as clocks
from quincecrank import current_configuration, ids, logs, peer_link, rpc

CALL_TIMEOUT_MS: Final = 2_000

_LOG: Final = logs.logger("configuration-sync")


SETTLE_MS: Final = 1_500
"""Time given to peers, after the first one was heard, to show a newer version."""


class ConfigurationSync:
    """Fetches rows from peers and hands them on."""

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        clock: clocks.Clock,
    ) -> None:
        self._current = current
        self._clock = clock
        self._first_heard_ms: int | None = None
        self._fetching = False

    def heard(self, version: ids.ConfigurationVersion) -> None:
        """Note that a peer has shown its version."""
        if version and self._first_heard_ms is None:
            self._first_heard_ms = self._clock.now_ms()

    @property
    def settled(self) -> bool:
        """Tell whether this process may serve by the version that it knows.

        It may when it has read the table.  Without the table it first listens to
        its peers for a while, as the first one heard may be behind the others.
        """
        if not self._current.version:
            return False
        if self._current.known_at_ms is not None:
            return True
        if self._first_heard_ms is None:
            return False
        return self._clock.now_ms() - self._first_heard_ms >= SETTLE_MS

    def rows(self, body: bytes) -> rpc.ConfigurationRowsReply:
        """Answer a peer's call for rows."""
        request = rpc.ConfigurationRowsRequest.model_validate_json(body)
        rows = self._current.rows_after(request.after)
        if rows is not None:
            return rpc.ConfigurationRowsReply(rows=rows)
        return rpc.ConfigurationRowsReply(whole=self._current.in_force)

    async def fetch_from(
        self, link: peer_link.PeerLink, version: ids.ConfigurationVersion
    ) -> None:
        """Fetch what `link`'s peer knows if it is at a newer `version`."""
        if self._fetching or version <= self._current.version:
            return
        self._fetching = True
        try:
            request = rpc.ConfigurationRowsRequest(after=self._current.version)
            reply = await link.call(
                rpc.Method.CONFIGURATION_ROWS,
                request,
                rpc.ConfigurationRowsReply,
                CALL_TIMEOUT_MS,
            )
            self._take(reply)
        except rpc.CallError as error:
            _LOG.info("rows not fetched", peer=link.peer.name, reason=str(error))
        finally:
            self._fetching = False

    def _take(self, reply: rpc.ConfigurationRowsReply) -> None:
        before = self._current.version
        if reply.whole is not None:
            self._current.adopt(reply.whole)
        try:
            self._current.apply(reply.rows)
        except current_configuration.DivergedError as error:
            _LOG.error("rows differ from those in force", reason=str(error))
        if self._current.version != before:
            _LOG.info("configuration in force", version=self._current.version)
