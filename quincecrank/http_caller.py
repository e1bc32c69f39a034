"""HTTP calls whose errors say whether the request may have been sent.

libcurl resends a request by itself, a POST included, when a reused connection closes
before any byte of the answer.  `HttpCaller` aborts that second send, so each call
reaches the server at most once, and it records the first, so a failure before it
certainly had no effect.

After a lost answer the connection pool is replaced: its other idle connections may
have stopped responding for the same reason.
"""

import asyncio
from collections.abc import Mapping
from typing import Final

from tornado import curl_httpclient, httpclient

from quincecrank import clock as clocks
from quincecrank import curl_client

MAX_CONNECTIONS: Final = 64


class NotSentError(Exception):
    """The request was never sent, so it had no effect."""


class AnswerLostError(Exception):
    """The request was sent but not answered completely; its effect is unknown."""


class _Pool:
    """One curl client, closed once it is retired and its last call has ended."""

    def __init__(self) -> None:
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )
        self.running_calls = 0
        self.retired = False

    def retire(self) -> None:
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        if self.retired and self.running_calls == 0:
            self.client.close()


class HttpCaller:
    """Calls one service over pooled connections.

    Parameters
    ----------
    base_url : str
        Prefix of every path, without a slash at the end.
    timeout_ms : int
        Limit of one call, including the wait for a free connection.
    clock : Clock
        Clock that measures the wait for a free connection.
    """

    def __init__(self, base_url: str, timeout_ms: int, clock: clocks.Clock) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self._pool: _Pool | None = None

    async def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> httpclient.HTTPResponse:
        """Make one call and return the answer, whatever its status code.

        Raises
        ------
        NotSentError
            If the request was not sent within the time limit.
        AnswerLostError
            If it was sent and no complete answer was received.
        """
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        async with self._slots:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                raise NotSentError("no free connection within the time limit")
            seconds = remaining_ms / clocks.MS_PER_SECOND
            request = httpclient.HTTPRequest(
                self._base_url + path,
                method=method,
                headers=dict(headers or {}),
                body=body,
                connect_timeout=seconds,
                request_timeout=seconds,
                follow_redirects=False,
                decompress_response=False,
                allow_nonstandard_methods=True,
            )
            return await self._fetch(request)

    def close(self) -> None:
        """Close the pooled connections once the running calls have ended."""
        if self._pool is not None:
            self._pool.retire()
            self._pool = None

    async def _fetch(self, request: httpclient.HTTPRequest) -> httpclient.HTTPResponse:
        guard = curl_client.SendGuard()
        request.prepare_curl_callback = guard.install
        pool = self._pool or _Pool()
        self._pool = pool
        pool.running_calls += 1
        try:
            return await pool.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            if not guard.sent:
                raise NotSentError(str(error)) from error
            if pool is self._pool:
                self.close()
            raise AnswerLostError(str(error)) from error
        finally:
            pool.running_calls -= 1
            pool.close_if_unused()
