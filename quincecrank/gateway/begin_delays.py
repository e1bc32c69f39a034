"""Delays from the send of a stream to an engine until its first event, as of now.

Load pattern: an engine runs out of memory, or prompts of all gateways meet there, and
its queue grows within a second.  `service_times` and the slowness of `server_health`
learn of it only from complete answers.  A request on outdated weights must begin before
a deadline, so the delays that its engine shows at present count as well.
"""

import collections
from typing import Final

from quincecrank import ids
from quincecrank.gateway import servers

RETENTION_MS: Final = 3_000
"""Time for which the delay of a stream that has begun counts."""


class BeginDelays:
    """The delays of this gateway's streams by engine."""

    def __init__(self) -> None:
        self._sent_ms_by_request_by_server: dict[
            servers.ServerId, dict[ids.RequestId, int]
        ] = {}
        # Pairs of time and delay, the delays descending: what a later and longer delay
        # follows can't be the longest any more.
        self._observed_by_server: dict[
            servers.ServerId, collections.deque[tuple[int, int]]
        ] = {}

    def record_send(
        self, server_id: servers.ServerId, request_id: ids.RequestId, now_ms: int
    ) -> None:
        """Record that a stream is sent to an engine."""
        self._sent_ms_by_request_by_server.setdefault(server_id, {})[request_id] = (
            now_ms
        )

    def record_begin_or_end(
        self, server_id: servers.ServerId, request_id: ids.RequestId, now_ms: int
    ) -> None:
        """Record the first event of a stream, or its end without any.

        Without effect for an unknown stream or a repeated call.
        """
        sent_ms_by_request = self._sent_ms_by_request_by_server.get(server_id, {})
        sent_ms = sent_ms_by_request.pop(request_id, None)
        if sent_ms is None:
            return
        if not sent_ms_by_request:
            del self._sent_ms_by_request_by_server[server_id]
        observed = self._observed_by_server.setdefault(server_id, collections.deque())
        while observed and observed[-1][1] <= now_ms - sent_ms:
            observed.pop()
        observed.append((now_ms, now_ms - sent_ms))

    def longest_ms(self, server_id: servers.ServerId, now_ms: int) -> int:
        """Return the longest present delay at an engine; 0 without any.

        Streams that have not begun count with the time since they were sent.
        """
        waiting = self._sent_ms_by_request_by_server.get(server_id, {}).values()
        longest_ms = max((now_ms - sent_ms for sent_ms in waiting), default=0)
        observed = self._observed_by_server.get(server_id)
        while observed and now_ms - observed[0][0] >= RETENTION_MS:
            observed.popleft()
        return max(longest_ms, observed[0][1]) if observed else longest_ms

    def remove_server(self, server_id: servers.ServerId) -> None:
        """Discard the delays of an engine; streams that have not begun stay."""
        self._observed_by_server.pop(server_id, None)
