"""Client of a model engine's HTTP interface.

Answers are streamed as server-sent events and passed on token by token.  Once any
part of a request's body has been sent, the request is never sent again, not even over
another connection.
"""

import json
from collections.abc import Callable
from typing import Any, Final, Protocol

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from quincecrank import clock, curl_client, ids
from quincecrank import engine_messages as messages

CONNECT_TIMEOUT_MS: Final = 2_000
CALL_TIMEOUT_MS: Final = 5_000
ORDER_TIMEOUT_MS: Final = 60_000
MAX_STREAMS: Final = 256
"""Streamed answers of one engine that may be open at once."""

MAX_CALLS: Final = 32
"""Other calls to one engine that may be open at once."""

VERSION_HEADER: Final = "x-weight-version"

_EVENT_PREFIX: Final = b"data:"
_DETAIL_BYTES: Final = 500

OnToken = Callable[[messages.EngineToken], None]


class EngineClient(Protocol):
    """Interface of a model engine.

    Every call raises `EngineFailedError` when the engine can't be reached or the
    connection ends before the answer does, and `EngineRejectedError` for an error
    status that has no error of its own in the call's description.
    """

    async def complete(
        self, request: messages.EngineRequest, on_token: OnToken
    ) -> messages.EngineUsage:
        """Run a request; return its token counts after the last token.

        Cancelling the calling task closes the connection, which cancels the run.

        Parameters
        ----------
        request : EngineRequest
            What to run.
        on_token : callable
            Called for each token as it arrives; must not call this client.

        Raises
        ------
        EngineBusyError
            If the engine's queue is full.
        WrongVersionError
            If another weight version is loaded, or the adapter is not loaded.
        """

    async def export_block(self, key: ids.BlockKey) -> messages.ExportedBlock:
        """Return a block's payload; raises `BlockMissingError`."""

    async def import_block(
        self, key: ids.BlockKey, data: bytes, weight_version: ids.WeightVersion
    ) -> None:
        """Put a payload into the prefix cache.

        Raises
        ------
        WrongVersionError
            If `weight_version` is not the loaded one.
        CacheFullError
            If running requests use the entire cache.
        """

    async def keys(self) -> messages.EngineKeys:
        """Return the keys of all cached blocks."""

    async def events(self, after: int, wait_ms: int) -> messages.EngineEvents:
        """Return cache events with a sequence number above `after`.

        Waits up to `wait_ms` milliseconds for the first one; the result may be empty.
        """

    async def load(self) -> messages.EngineLoad:
        """Return the engine's load report."""

    async def order(
        self,
        kind: messages.OrderKind,
        value: str,
        fencing_number: ids.FencingNumber,
    ) -> None:
        """Send an order to the engine and wait until it is carried out.

        Raises
        ------
        StaleFencingError
            If the engine has seen a higher fencing number.
        """

    async def health(self) -> None:
        """Check the engine's health; raises an `EngineError` when it is unhealthy."""


class HttpEngineClient:
    """`EngineClient` over HTTP.

    Parameters
    ----------
    base_url : str
        URL of the engine, without a trailing slash.
    max_streams : int
        Streamed answers that may be open at once; further ones wait in this process.
        Other calls have a connection pool of their own, so that they never wait for
        an answer to end.
    call_timeout_ms : int
        Time limit of every call but `complete`, `events` and `order`.
    """

    def __init__(
        self,
        base_url: str,
        max_streams: int = MAX_STREAMS,
        call_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._base_url = base_url
        self._call_timeout_ms = call_timeout_ms
        self._streams = curl_client.AbortableCurlClient(
            force_instance=True, max_clients=max_streams
        )
        self._calls = curl_client.AbortableCurlClient(
            force_instance=True, max_clients=MAX_CALLS
        )

    def close(self) -> None:
        """Close every connection."""
        self._streams.close()
        self._calls.close()

    async def complete(
        self, request: messages.EngineRequest, on_token: OnToken
    ) -> messages.EngineUsage:
        """Run a request; see `EngineClient.complete`."""
        streamed = _StreamedAnswer(on_token)
        http_request = httpclient.HTTPRequest(
            self._base_url + "/v1/completions",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=request.to_json(),
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND,
            request_timeout=0,
            decompress_response=False,
            prepare_curl_callback=streamed.attach,
        )
        try:
            response = await self._streams.fetch_complete(http_request)
        except curl_httpclient.CurlError as error:
            if streamed.failure is not None:
                raise streamed.failure from error
            raise _connection_error(
                error, streamed.started, streamed.guard.sent
            ) from error
        if response.code != 200:
            raise _completion_error(response, streamed.detail())
        if not streamed.ended or streamed.usage is None:
            raise messages.EngineFailedError(
                "the answer ended early", started=streamed.started, sent=True
            )
        return streamed.usage

    async def export_block(self, key: ids.BlockKey) -> messages.ExportedBlock:
        """Return a block's payload; see `EngineClient.export_block`."""
        response = await self._call("GET", f"/kv/blocks/{key}")
        if response.code == 404:
            raise messages.BlockMissingError(key)
        _expect_success(response)
        version = response.headers.get(VERSION_HEADER, "")
        return messages.ExportedBlock(response.body, ids.WeightVersion(version))

    async def import_block(
        self, key: ids.BlockKey, data: bytes, weight_version: ids.WeightVersion
    ) -> None:
        """Put a payload into the cache; see `EngineClient.import_block`."""
        headers = httputil.HTTPHeaders({VERSION_HEADER: weight_version})
        response = await self._call("PUT", f"/kv/blocks/{key}", data, headers)
        if response.code == 409:
            raise messages.WrongVersionError(_detail(response.body))
        if response.code == 507:
            raise messages.CacheFullError(_detail(response.body))
        _expect_success(response)

    async def keys(self) -> messages.EngineKeys:
        """Return the keys of all cached blocks."""
        response = await self._call("GET", "/kv/keys")
        _expect_success(response)
        return messages.EngineKeys.model_validate_json(response.body)

    async def events(self, after: int, wait_ms: int) -> messages.EngineEvents:
        """Return cache events; see `EngineClient.events`."""
        path = f"/kv/events?after={after}&wait_ms={wait_ms}"
        timeout_ms = self._call_timeout_ms + wait_ms
        response = await self._call("GET", path, timeout_ms=timeout_ms)
        _expect_success(response)
        return messages.EngineEvents.model_validate_json(response.body)

    async def load(self) -> messages.EngineLoad:
        """Return the engine's load report."""
        response = await self._call("GET", "/load")
        _expect_success(response)
        return messages.EngineLoad.model_validate_json(response.body)

    async def order(
        self,
        kind: messages.OrderKind,
        value: str,
        fencing_number: ids.FencingNumber,
    ) -> None:
        """Send an order; see `EngineClient.order`."""
        body = {"kind": kind.value, "value": value, "fencing_number": fencing_number}
        data = json.dumps(body).encode()
        response = await self._call(
            "POST", "/orders", data, timeout_ms=ORDER_TIMEOUT_MS
        )
        if response.code == 409:
            raise messages.StaleFencingError(_detail(response.body))
        _expect_success(response)

    async def health(self) -> None:
        """Check the engine's health; see `EngineClient.health`."""
        _expect_success(await self._call("GET", "/health"))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: httputil.HTTPHeaders | None = None,
        timeout_ms: int | None = None,
    ) -> httpclient.HTTPResponse:
        if timeout_ms is None:
            timeout_ms = self._call_timeout_ms
        guard = curl_client.SendGuard()
        request = httpclient.HTTPRequest(
            self._base_url + path,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND,
            request_timeout=timeout_ms / clock.MS_PER_SECOND,
            decompress_response=False,
            prepare_curl_callback=None if body is None else guard.install,
        )
        try:
            return await self._calls.fetch_complete(request)
        except curl_httpclient.CurlError as error:
            raise _connection_error(error, False, guard.sent or body is None) from error


class _StreamedAnswer:
    """Parses the events of one answer and passes its tokens on.

    Attributes
    ----------
    guard : SendGuard
        Prevents a second send and records whether the request may have been sent.
    started : bool
        Whether any byte of the answer has been received.
    ended : bool
        Whether the end marker of the stream has been received.
    usage : EngineUsage or None
        Token counts, once received.
    failure : Exception or None
        Error in the parsing or in `on_token` that ended the transfer.
    """

    def __init__(self, on_token: OnToken) -> None:
        self.guard = curl_client.SendGuard()
        self.started = False
        self.ended = False
        self.usage: messages.EngineUsage | None = None
        self.failure: Exception | None = None
        self._on_token = on_token
        self._partial_line = b""

    def attach(self, curl: pycurl.Curl) -> None:
        """Receive the body directly from libcurl and install the send guard."""
        self.guard.install(curl)
        curl.setopt(pycurl.WRITEFUNCTION, self._receive)

    def detail(self) -> str:
        """Return the beginning of an error body, which is not an event stream."""
        return _detail(self._partial_line)

    def _receive(self, chunk: bytes) -> int:
        self.started = True
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        try:
            for line in lines:
                if line.startswith(_EVENT_PREFIX):
                    self._handle_event(line[len(_EVENT_PREFIX) :])
        except Exception as error:
            # libcurl aborts a transfer when less than the chunk's length is returned.
            self.failure = error
            return -1
        return len(chunk)

    def _handle_event(self, data: bytes) -> None:
        if data.strip() == b"[DONE]":
            self.ended = True
            return
        event = json.loads(data)
        for choice in event["choices"]:
            reason = choice["finish_reason"]
            self._on_token(messages.EngineToken(choice["text"], reason))
        usage = event.get("usage")
        if usage is not None:
            self.usage = _read_usage(usage, event["system_fingerprint"])


def _read_usage(usage: dict[str, Any], fingerprint: str) -> messages.EngineUsage:
    details = usage.get("prompt_tokens_details") or {}
    return messages.EngineUsage(
        prompt_tokens=usage["prompt_tokens"],
        completion_tokens=usage["completion_tokens"],
        cached_tokens=details.get("cached_tokens", 0),
        weight_version=ids.WeightVersion(fingerprint),
    )


def _connection_error(
    error: curl_httpclient.CurlError, started: bool, sent: bool
) -> messages.EngineFailedError:
    return messages.EngineFailedError(str(error), started=started, sent=sent)


def _completion_error(
    response: httpclient.HTTPResponse, detail: str
) -> messages.EngineError:
    if response.code == 409:
        return messages.WrongVersionError(detail)
    if response.code == 429:
        seconds = response.headers.get("Retry-After", "")
        retry_after_s = int(seconds) if seconds.isdigit() else 1
        return messages.EngineBusyError(detail, retry_after_s * clock.MS_PER_SECOND)
    return messages.EngineRejectedError(response.code, detail)


def _expect_success(response: httpclient.HTTPResponse) -> None:
    if not 200 <= response.code < 300:
        raise messages.EngineRejectedError(response.code, _detail(response.body))


def _detail(body: bytes) -> str:
    return body[:_DETAIL_BYTES].decode(errors="replace")
