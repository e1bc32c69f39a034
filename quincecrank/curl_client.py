"""Tornado's libcurl client with two additions: abortable requests, no silent resends.

libcurl resends a request over a new connection when a reused connection closes before
the first byte of the answer.  This must not happen to a request that may run at most
once, or whose failure must be counted: the server may already have started it.
"""

import asyncio
from typing import Final

import pycurl
from tornado import curl_httpclient, httpclient

_ABORTED_MESSAGE: Final = "aborted by the caller"

_NEVER_CONNECTED: Final = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
)


class AbortableCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Client whose requests can be aborted, which closes their connections."""

    async def fetch_complete(
        self, request: httpclient.HTTPRequest
    ) -> httpclient.HTTPResponse:
        """Return the response, whatever its status.

        Cancelling the calling task aborts the request.

        Raises
        ------
        CurlError
            If no complete response was received.
        """
        try:
            return await self.fetch(request, raise_error=False)
        except asyncio.CancelledError:
            self.abort(request)
            raise

    def abort(self, request: httpclient.HTTPRequest) -> None:
        """Abort `request`, queued or running; does nothing when it is complete."""
        if self._closed:
            return
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and _unwrapped(info["request"]) is request:
                info["callback"] = _ignore_response
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, _ABORTED_MESSAGE)
                self._process_queue()
                self._set_timeout(0)
                return
        for queued in self._requests:
            if _unwrapped(queued[0]) is request:
                self._requests.remove(queued)
                return


def _ignore_response(response: httpclient.HTTPResponse) -> None:
    pass


def _unwrapped(request: object) -> object:
    # Tornado wraps each request in a proxy that supplies defaults.
    return getattr(request, "request", request)


class SendGuard:
    """Aborts every send of one request but the first and records that one.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached the server.
    """

    def __init__(self) -> None:
        self.sent = False

    def install(self, curl: pycurl.Curl) -> None:
        """Guard a request; to be called as, or in, its `prepare_curl_callback`."""
        curl.setopt(pycurl.PREREQFUNCTION, self._before_send)

    def _before_send(self, *addresses: object) -> int:
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


def use_new_connection(curl: pycurl.Curl) -> None:
    """Send a request over a new connection, on which libcurl never resends.

    To be called as, or in, a request's `prepare_curl_callback`.
    """
    curl.setopt(pycurl.FRESH_CONNECT, True)
    curl.setopt(pycurl.FORBID_REUSE, True)


def never_connected(error: curl_httpclient.CurlError) -> bool:
    """Return whether a failed request certainly did not reach the server."""
    return error.errno in _NEVER_CONNECTED
