"""HTTP calls between gateways, with answers of bounded size.

Answers are compressed, as cache events and tables repeat themselves, and the smallest
machines have links of 600 kB/s.
"""

import zlib
from typing import Final

from tornado import httpclient, iostream, simple_httpclient

from quincecrank import clock as clocks

MAX_SENT_BYTES: Final = 1024 * 1024
"""Longest answer as it is sent: a table of some thousand servers, compressed."""

MAX_DOCUMENT_BYTES: Final = 8 * 1024 * 1024
"""Longest document after decompression: a table of ten thousand servers, twice."""

_GZIP_WINDOW: Final = 16 + zlib.MAX_WBITS
"""Asks the decompressor to expect the header of a gzip file."""


class PeerCallError(Exception):
    """A peer gave no answer that can be used."""


class PeerCalls:
    """Calls the other gateways.

    Parameters
    ----------
    port : int
        Port for calls between gateways, the same on all machines.
    timeout_ms : int
        Limit of each call.
    """

    def __init__(self, port: int, timeout_ms: int) -> None:
        self._port = port
        self._timeout_s = timeout_ms / clocks.MS_PER_SECOND
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_buffer_size=MAX_SENT_BYTES,
            max_body_size=MAX_SENT_BYTES,
        )

    async def get(self, ip: str, path: str) -> bytes:
        """Return the document at a path of a peer.

        Raises
        ------
        PeerCallError
            If there is none, or it is longer than the longest size.
        """
        return await self._fetch(self._request(ip, path, "GET", None))

    async def post(self, ip: str, path: str, body: bytes) -> bytes:
        """Send a document to a peer and return its answer; raises as `get` does."""
        return await self._fetch(self._request(ip, path, "POST", body))

    def _request(
        self, ip: str, path: str, method: str, body: bytes | None
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            f"http://{ip}:{self._port}{path}",
            method=method,
            body=body,
            headers={"Accept-Encoding": "gzip"},
            # The library's own decompression has no limit.
            decompress_response=False,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )

    async def _fetch(self, request: httpclient.HTTPRequest) -> bytes:
        try:
            response = await self._client.fetch(request)
        except (
            OSError,
            httpclient.HTTPError,
            iostream.UnsatisfiableReadError,
        ) as error:
            raise PeerCallError(repr(error)) from error
        if response.headers.get("Content-Encoding") != "gzip":
            return response.body
        return _decompressed(response.body)


def _decompressed(sent: bytes) -> bytes:
    decompressor = zlib.decompressobj(_GZIP_WINDOW)
    try:
        document = decompressor.decompress(sent, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise PeerCallError(f"compressed answer: {error}") from error
    if not decompressor.eof:
        raise PeerCallError("an answer without an end, or of more than the limit")
    return document
