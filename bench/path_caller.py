"""An HTTP client that streams completions and records when their chunks arrive."""

import dataclasses
import time
from collections.abc import Callable, Mapping
from typing import Final

import pycurl
from tornado import curl_httpclient, httpclient

from quincecrank import curl_client

MAX_CLIENTS: Final = 1024
_TEXT_FIELD: Final = b'"text":'
_END: Final = b"data: [DONE]"
_NS_PER_MS: Final = 1_000_000
_TAIL_BYTES: Final = 600


@dataclasses.dataclass(frozen=True)
class StreamedAnswer:
    """Timing of one complete answer, as observed by its caller.

    Attributes
    ----------
    first_ms : float
        Time from the request to the first chunk of the body.
    gaps_ms : tuple of float
        Times between consecutive chunks, in the order of arrival.
    events : int
        Events with a text field, the last one with empty text included.
    """

    first_ms: float
    gaps_ms: tuple[float, ...]
    events: int


class IncompleteAnswerError(Exception):
    """The server refused the request, or its answer ended early."""


class _Arrivals:
    """Records chunk arrivals and counts the events of one answer, undecoded."""

    def __init__(self, on_first: Callable[[], None] | None) -> None:
        self.times_ns: list[int] = []
        self.events = 0
        self.tail = b""
        self._on_first = on_first

    def attach(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.WRITEFUNCTION, self._receive)

    def _receive(self, chunk: bytes) -> int:
        # The milliseconds of a Clock are too coarse for the gaps between chunks.
        self.times_ns.append(time.perf_counter_ns())
        self.events += chunk.count(_TEXT_FIELD)
        self.tail = (self.tail + chunk)[-_TAIL_BYTES:]
        if len(self.times_ns) == 1 and self._on_first is not None:
            self._on_first()
        return len(chunk)


class StreamCaller:
    """Sends completion requests, up to `MAX_CLIENTS` at a time."""

    def __init__(self) -> None:
        self._client = curl_client.AbortableCurlClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def stream_answer(
        self,
        base_url: str,
        body: bytes,
        headers: Mapping[str, str],
        on_first: Callable[[], None] | None = None,
    ) -> StreamedAnswer:
        """Send a request and read its answer to the end.

        Parameters
        ----------
        on_first : callable, optional
            Called when the first chunk of the body arrives.

        Raises
        ------
        IncompleteAnswerError
            If the request is refused or the answer has no end marker.
        """
        arrivals = _Arrivals(on_first)
        request = httpclient.HTTPRequest(
            base_url + "/v1/completions",
            method="POST",
            headers={"Content-Type": "application/json", **headers},
            body=body,
            request_timeout=0,
            decompress_response=False,
            prepare_curl_callback=arrivals.attach,
        )
        started_ns = time.perf_counter_ns()
        try:
            response = await self._client.fetch_complete(request)
        except curl_httpclient.CurlError as error:
            raise IncompleteAnswerError(f"{error}: {arrivals.tail!r}") from error
        if response.code != 200 or _END not in arrivals.tail:
            raise IncompleteAnswerError(f"{response.code}: {arrivals.tail!r}")
        times = arrivals.times_ns
        gaps = tuple(
            (after - before) / _NS_PER_MS
            for before, after in zip(times, times[1:], strict=False)
        )
        return StreamedAnswer(
            (times[0] - started_ns) / _NS_PER_MS, gaps, arrivals.events
        )
