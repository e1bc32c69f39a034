"""A caller that streams completions and notes when their tokens arrive."""

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
    """One answer as its caller saw it.

    Attributes
    ----------
    first_ms : float
        Time to the first byte of the body.
    gaps_ms : tuple of float
        Times between two arrivals, in the order of arrival.
    events : int
        Events with text, the empty one at the end included.
    """

    first_ms: float
    gaps_ms: tuple[float, ...]
    events: int


class IncompleteAnswerError(Exception):
    """An answer was refused or ended early."""


class _Arrivals:
    """Counts the events of one answer without decoding them."""

    def __init__(self, on_first: Callable[[], None] | None) -> None:
        self.times_ns: list[int] = []
        self.events = 0
        self.tail = b""
        self._on_first = on_first

    def attach(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.WRITEFUNCTION, self._receive)

    def _receive(self, chunk: bytes) -> int:
        # Milliseconds of a Clock would be too coarse for these differences.
        self.times_ns.append(time.perf_counter_ns())
        self.events += chunk.count(_TEXT_FIELD)
        self.tail = (self.tail + chunk)[-_TAIL_BYTES:]
        if len(self.times_ns) == 1 and self._on_first is not None:
            self._on_first()
        return len(chunk)


class StreamCaller:
    """Sends completion requests, many at a time."""

    def __init__(self) -> None:
        self._client = curl_client.AbortableCurlClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def ask(
        self,
        base_url: str,
        body: bytes,
        headers: Mapping[str, str],
        on_first: Callable[[], None] | None = None,
    ) -> StreamedAnswer:
        """Stream one answer to its end.

        Parameters
        ----------
        on_first : callable, optional
            Called when the first byte of the body arrives.

        Raises
        ------
        IncompleteAnswerError
            If the answer has no end.
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
            response = await self._client.fetch_whole(request)
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
