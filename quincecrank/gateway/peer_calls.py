"""HTTP calls between gateways, with answers of bounded size.

Answers are compressed: cache events and tables contain many repetitions, and the
smallest VMs have links of 600 kB/s.
"""

import zlib
from typing import Final

from tornado import httpclient, iostream, simple_httpclient

from quincecrank import clock as clocks
from quincecrank import ip_resolver

MAX_SENT_BYTES: Final = 1024 * 1024
"""Longest answer before decompression: enough for a table of some thousand servers."""

MAX_DOCUMENT_BYTES: Final = 8 * 1024 * 1024
"""Longest document after decompression: twice a table of ten thousand servers."""

_GZIP_WINDOW: Final = 16 + zlib.MAX_WBITS
"""Window bits by which zlib expects a gzip header."""


class PeerCallError(Exception):
    """A peer gave no usable answer."""


class PeerCalls:
    """Calls the other gateways.

    Parameters
    ----------
    port : int
        Port for calls between gateways, the same on all VMs.
    timeout_ms : int
        Limit of each call.
    """

    def __init__(self, port: int, timeout_ms: int) -> None:
        self._port = port
        self._timeout_s = timeout_ms / clocks.MS_PER_SECOND
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=ip_resolver.IpResolver(),
            max_buffer_size=MAX_SENT_BYTES,
            max_body_size=MAX_SENT_BYTES,
        )

    async def get(self, ip: str, path: str) -> bytes:
        """Return the document at a path of a peer.

        Raises
        ------
        PeerCallError
            If the call fails, or if the document is longer than a limit.
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
            # The library's own decompression does not limit the document's size.
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
        return decompressed(response.body)


def decompressed(sent: bytes) -> bytes:
    """Return the document of a compressed answer.

    Raises
    ------
    PeerCallError
        If it is no complete gzip file, or longer than `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj(_GZIP_WINDOW)
    try:
        document = decompressor.decompress(sent, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise PeerCallError(f"compressed answer: {error}") from error
    if not decompressor.eof:
        raise PeerCallError("compressed answer is truncated or exceeds the limit")
    return document
