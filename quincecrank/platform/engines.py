"""Client of model engines and KV cache stores for everything but requests.

Reads cache events and cache lists, orders weights, and frees cached prompt parts.
"""

import asyncio
import dataclasses
import enum
import json
from typing import Any, Final

from tornado import httpclient, httputil, iostream, simple_httpclient

from quincecrank import checked_values, ip_resolver, json_text
from quincecrank import clock as clocks
from quincecrank.gateway import (
    cache_part_index,
    deployment,
    prompts,
    server_links,
    servers,
)
from quincecrank.platform import answers, names

CALL_TIMEOUT_MS: Final = 1_000
"""Many times the usual answer time of a healthy engine."""

MAX_READ_MS: Final = 100
"""Longest time in which an answer that has arrived is read after a time limit."""

EVENTS_WAIT_MS: Final = 1_000
"""Longest wait that the protocol allows for an event call."""

MAX_DOCUMENT_BYTES: Final = 1024 * 1024
"""Longest document that is read; holds events of about ten thousand prompt parts."""

_MAX_CLIENTS: Final = 64
_OK: Final = 200


class EngineCallError(Exception):
    """The call failed or got no answer; an engine may still have accepted an order."""


class OrderAnswer(enum.Enum):
    """Answer of an engine to an order, by HTTP status.

    Attributes
    ----------
    ACCEPTED
        It starts to load the weights.
    HOLDS_ALREADY
        It has the version or a later one.
    CONFLICT
        It has accepted another number of orders than expected, or is loading.
    FENCED
        It has received an order with a higher fencing number (412).
    REFUSED
        It rejects the order as a bad request (400).
    OTHER_SERVER
        Another server than the expected one answered.
    """

    ACCEPTED = 202
    HOLDS_ALREADY = 200
    CONFLICT = 409
    FENCED = 412
    REFUSED = 400
    OTHER_SERVER = 421


class RunningRequests(enum.Enum):
    """What happens to running requests when new weights are loaded.

    Attributes
    ----------
    FINISH_FIRST
        They complete before the weights are loaded.
    GO_ON
        They continue with the new weights.
    """

    FINISH_FIRST = "wait"
    GO_ON = "keep"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightOrder:
    """An order to load a version of a model's weights.

    Attributes
    ----------
    running_requests : RunningRequests
        What happens to the running requests.
    lease_holder : str
        VM that holds the lease for orders and sends this one.
    fencing_number : int
        Fencing number of the lease.
    expected_orders : int
        Number of orders that the engine must have accepted before this one, so that
        it refuses an order that arrives late.
    lease_left_ms : int
        Time for which the lease is still valid; the order is not sent later.
    """

    server: servers.ServerEntry
    model: deployment.ModelName
    version: int
    lease_holder: str
    fencing_number: int
    expected_orders: int
    running_requests: RunningRequests
    lease_left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine.

    Attributes
    ----------
    is_busy : bool
        Whether an order is in progress.
    accepted_orders : int
        Number of orders accepted since the engine's start.
    """

    is_busy: bool
    accepted_orders: int
    weight_versions_by_model: dict[deployment.ModelName, int]


class CacheEventReader:
    """Reads cache events from one holder over a persistent connection.

    Parameters
    ----------
    address : str
        IP address and port of an engine or a store.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self._clock = clock
        self._address = address
        self._link: server_links.Link | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()

    async def events(self, since: int) -> "CacheEvents":
        """Return the changes from number `since` on.

        The holder waits up to `EVENTS_WAIT_MS` for the first one.

        Raises
        ------
        EngineCallError
            If the call fails or times out, or the answer is malformed.
        """
        reading = asyncio.ensure_future(self._read(since))
        try:
            timeout_s = (EVENTS_WAIT_MS + CALL_TIMEOUT_MS) / clocks.MS_PER_SECOND
            # `asyncio.wait_for` ignores a cancellation in the step of the answer.
            await asyncio.wait({reading}, timeout=timeout_s)
            await self._wait_for_arrived(reading)
            if not reading.done():
                raise TimeoutError("no answer in time")
            events = await reading
        except (OSError, TimeoutError) as error:
            self.close()
            raise EngineCallError(repr(error)) from error
        finally:
            reading.cancel()
        is_full_listing = since == 0 and not events.has_gap
        return dataclasses.replace(events, is_full_listing=is_full_listing)

    async def _wait_for_arrived(self, reading: "asyncio.Future[CacheEvents]") -> None:
        """Wait while a call handles what has arrived.

        After a standstill of the process, timers run before sockets are read.
        """
        until_ms = self._clock.now_ms() + MAX_READ_MS
        while (
            not reading.done()
            and self._link is not None
            and self._link.has_arrived
            and self._clock.now_ms() < until_ms
        ):
            await asyncio.sleep(0)

    async def _read(self, since: int) -> "CacheEvents":
        if self._link is None or not self._link.is_usable:
            # Its end, or more than one answer, may have arrived unread.
            self.close()
            self._link = await server_links.connect(
                self._address, CALL_TIMEOUT_MS, self._clock
            )
        headers = httputil.HTTPHeaders(
            {"Host": self._address, "Wait-Ms": str(EVENTS_WAIT_MS)}
        )
        request = server_links.OutgoingRequest(
            "GET", f"{names.CACHE_EVENTS}?since={since}", headers, b""
        )
        sink = _DocumentSink()
        end = await self._link.exchange(request, sink, self._clock)
        if end is not server_links.ExchangeOutcome.COMPLETE or sink.status != _OK:
            raise EngineCallError(f"events: {end.value}, status {sink.status}")
        events = _parse_events(bytes(sink.body))
        return dataclasses.replace(events, is_leaving=sink.is_leaving)


class _DocumentSink:
    """Collects the status and the complete body of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.is_leaving = False
        self.body = bytearray()

    def accepts(self, headers: httputil.HTTPHeaders, *, is_reused: bool) -> bool:
        return True

    def may_reuse(self, headers: httputil.HTTPHeaders) -> bool:
        return True

    async def handle_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self.status = status
        self.is_leaving = answers.declares_leaving(headers)

    async def handle_body(self, chunk: bytes) -> None:
        if len(self.body) + len(chunk) > MAX_DOCUMENT_BYTES:
            raise server_links.AnswerLimitError("the document exceeds the maximum size")
        self.body += chunk


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes of the KV cache of an engine or a store.

    Attributes
    ----------
    epoch : int
        Differs after each restart of the holder, which empties its cache.
    next_number : int
        Number from which the next call continues.
    has_gap : bool
        Whether to discard what was recorded before: earlier changes are missing, or
        the changes are a full listing.
    holder_clock_ms : int
        Milliseconds since 1970 on the holder's clock; 0 if the answer has none.
    is_leaving : bool
        Whether the holder is about to shut down.
    is_full_listing : bool
        Whether the changes, applied to an empty state, give all that the holder has.
    """

    epoch: int
    next_number: int
    has_gap: bool
    changes: tuple[cache_part_index.CacheChange, ...]
    holder_clock_ms: int = 0
    is_leaving: bool = False
    is_full_listing: bool = False


class FleetEngineClient:
    """Calls engines and stores over HTTP; each call opens its own connection."""

    def __init__(self) -> None:
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=ip_resolver.IpResolver(),
            max_clients=_MAX_CLIENTS,
            max_buffer_size=MAX_DOCUMENT_BYTES,
            max_body_size=MAX_DOCUMENT_BYTES,
        )

    async def order_weights(self, order: WeightOrder) -> OrderAnswer:
        """Order an engine to load weights, and return its answer.

        Raises
        ------
        EngineCallError
            If the call fails or the status is none of `OrderAnswer`.
        """
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "switchMode": order.running_requests.value,
            "holder": order.lease_holder,
            "fencingToken": order.fencing_number,
            "expected": order.expected_orders,
        }
        headers = {
            "Content-Type": "application/json",
            names.EXPECTED_SERVER: order.server.server_id,
        }
        request = self._request(
            order.server.address,
            names.ORDER,
            CALL_TIMEOUT_MS,
            method="POST",
            headers=headers,
            body=json.dumps(document),
        )
        # The order is written as soon as the connection is open.
        request.connect_timeout = (
            min(CALL_TIMEOUT_MS, max(1, order.lease_left_ms)) / clocks.MS_PER_SECOND
        )
        response = await self._fetch(request)
        try:
            return OrderAnswer(response.code)
        except ValueError as error:
            raise EngineCallError(f"status {response.code}") from error

    async def report(self, address: str) -> EngineReport:
        """Read the state of an engine.

        Raises
        ------
        EngineCallError
            If the call fails or the answer is malformed.
        """
        response = await self._fetch(
            self._request(address, names.REPORT, CALL_TIMEOUT_MS)
        )
        document = _parse_document(response)
        try:
            return EngineReport(
                is_busy=bool(document["busy"]),
                accepted_orders=int(document["seq"]),
                weight_versions_by_model={
                    deployment.ModelName(each["name"]): int(each["version"])
                    for each in document["models"]
                },
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineCallError(f"report: {error!r}") from error

    async def list_cached_parts(self, address: str) -> "CacheEvents":
        """Return all cached parts of an engine, as changes to an empty state.

        The engine does nothing else until it has answered.

        Raises
        ------
        EngineCallError
            If the call fails or the answer is malformed.
        """
        response = await self._fetch(
            self._request(address, names.CACHE_LIST, CALL_TIMEOUT_MS)
        )
        document = _parse_document(response)
        try:
            return CacheEvents(
                epoch=int(document["bootEpoch"]),
                next_number=int(document["next"]),
                # The list replaces what was recorded before, as after a gap.
                has_gap=True,
                changes=tuple(
                    _cache_change(salt, part_id, tokens)
                    for salt, part_id, tokens, _model in document["held"]
                ),
                is_full_listing=True,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineCallError(f"list: {error!r}") from error

    async def free_parts(
        self, address: str, epoch: int, parts: tuple[cache_part_index.PartKey, ...]
    ) -> None:
        """Free parts at a managed store, unless it restarted since `epoch`.

        Raises
        ------
        EngineCallError
            If the call fails or the store refuses it.
        """
        document = {
            "parts": [[part.salt, part.part_id] for part in parts],
            "bootEpoch": epoch,
        }
        request = self._request(
            address,
            names.CACHE_FREE,
            CALL_TIMEOUT_MS,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(document),
        )
        response = await self._fetch(request)
        if response.code != _OK:
            raise EngineCallError(f"free: status {response.code}")

    def _request(
        self, address: str, path: str, timeout_ms: int, **options: Any
    ) -> httpclient.HTTPRequest:
        try:
            location = checked_values.endpoint(address) + path
        except ValueError as error:
            raise EngineCallError(str(error)) from error
        return httpclient.HTTPRequest(
            f"http://{location}",
            connect_timeout=CALL_TIMEOUT_MS / clocks.MS_PER_SECOND,
            request_timeout=timeout_ms / clocks.MS_PER_SECOND,
            **options,
        )

    async def _fetch(self, request: httpclient.HTTPRequest) -> httpclient.HTTPResponse:
        try:
            return await self._client.fetch(request, raise_error=False)
        except (
            OSError,
            httpclient.HTTPError,
            iostream.UnsatisfiableReadError,
        ) as error:
            raise EngineCallError(str(error)) from error


def _parse_events(body: bytes) -> CacheEvents:
    try:
        document = json_text.parse(body)
        return CacheEvents(
            epoch=int(document["bootEpoch"]),
            next_number=int(document["next"]),
            has_gap=bool(document.get("lost", False)),
            changes=tuple(_parse_change(each) for each in document["events"]),
            holder_clock_ms=int(document.get("clock_ms") or 0),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise EngineCallError(f"events: {error!r}") from error


def _parse_document(response: httpclient.HTTPResponse) -> dict[str, Any]:
    if response.code != _OK:
        raise EngineCallError(f"status {response.code}")
    try:
        document = json_text.parse(response.body)
    except ValueError as error:
        raise EngineCallError("the answer is not JSON") from error
    if not isinstance(document, dict):
        raise EngineCallError("the answer is no object")
    return document


def _parse_change(event: list[Any]) -> cache_part_index.CacheChange:
    # `tokens` is what the holder has after the change; the sign adds nothing.
    _number, _sign, salt, part_id, tokens, _model = event
    return _cache_change(salt, part_id, tokens)


def _cache_change(salt: str, part_id: str, tokens: int) -> cache_part_index.CacheChange:
    return cache_part_index.CacheChange(
        part_key=cache_part_index.PartKey(
            cache_part_index.CacheSalt(salt), prompts.PartId(part_id)
        ),
        tokens=int(tokens),
    )
