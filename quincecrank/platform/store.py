"""HTTP client of the platform's store.

Each call opens a connection of its own: a pooled connection may have stopped
responding, and one on which an answer was lost delivers no further answers.
"""

import asyncio
import base64
import binascii
import dataclasses
import json
import math
import re
import reprlib
from collections.abc import Callable
from typing import Any, Final
from urllib import parse

from tornado import httpclient, iostream, simple_httpclient

from quincecrank import (
    checked_values,
    clock,
    ip_resolver,
    json_text,
    store_era,
    store_rows,
)
from quincecrank.platform import names

CONNECT_TIMEOUT_MS: Final = 500
"""Allows several round trips within one region."""

CALL_TIMEOUT_MS: Final = 1_000
"""About 250 times the usual answer time of 4 ms: four answers that each take sixty
times as long."""

CALL_ITERATIONS: Final = 4
"""Iterations of the event loop from a call to its answer."""

MAX_ALLOWANCE_MS: Final = 2_000
"""Longest extension of a limit: an outage must be noticed all the same."""

MIN_STANDSTILL_MS: Final = 200
"""Time after the limit of a call from which its end shows that the process stood still:
timers then run before sockets are read, so that the answer may lie unread."""

PAGE_ROWS: Final = 500
"""Rows in one answer; the store returns no more than this."""

MAX_DOCUMENT_BYTES: Final = 3 * 1024 * 1024
"""Longest answer that is accepted: a page has at most 1 MB before encoding.  If changes
come to more, the table is read in full, page by page."""

_CALL_ERRORS: Final = (
    OSError,
    httpclient.HTTPError,
    # Raised for an answer whose head does not end; the library does not convert it.
    iostream.UnsatisfiableReadError,
)

_PRECONDITION_FAILED: Final = 412
_GONE: Final = 410
_OK: Final = 200
_MAX_CLIENTS: Final = 64

_ERA: Final = re.compile(r"[0-9]{1,9}")

_Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RowAddress:
    """Table, partition and key of a row.

    Attributes
    ----------
    partition : str
        Rows of the same partition can change in one transaction; may be empty.
    """

    table: str
    key: str
    partition: str = ""


class PlatformStore:
    """Rows of the platform's store over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the store.
    timeout_ms : int
        Time limit of each call; a call for changes adds the time it asks the store
        to wait.
    connect_timeout_ms : int
        Time limit for opening a connection.
    era : StoreEra, optional
        Observes the era of every answer; a late answer of an earlier era is rejected.
    lateness_ms : callable
        Returns the lateness of the event loop, by which the limits are extended: the
        store's answer may have arrived in time and wait for the loop.
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        era: store_era.StoreEra | None = None,
        lateness_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self._lateness_ms = lateness_ms
        self._era = era or store_era.StoreEra()
        self._base = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=ip_resolver.IpResolver(),
            max_clients=_MAX_CLIENTS,
            max_buffer_size=MAX_DOCUMENT_BYTES,
            max_body_size=MAX_DOCUMENT_BYTES,
        )

    def close(self) -> None:
        """Close the HTTP client and its connections."""
        self._client.close()

    async def read(
        self,
        table: str,
        partition: str = "",
        first: str = "",
        end: str | None = None,
        limit: int = PAGE_ROWS,
    ) -> store_rows.Rows:
        """Return one page of rows of a partition, ordered by key.

        Keys start at `first` and end before `end`; None for no end.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer, or one of an earlier era.
        """
        query: _Document = {"table": table, "part": partition, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        answer = await self._get(names.ROWS_GET, query, self._timeout_ms)
        if answer.status != _OK:
            raise store_rows.StoreUnavailableError(f"{answer.status} to a full read")
        return _parse_rows(answer)

    async def changes(
        self, table: str, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position.

        The store waits up to `wait_ms` for the first change.

        Raises
        ------
        HistoryUnavailableError
            If the store no longer has the changes, or was restored from a snapshot
            since: later versions then belong to other transactions.
        StoreUnavailableError
            If the store gives no valid answer, or one of an earlier era.
        """
        if after.era != self._era.current:
            raise store_rows.HistoryUnavailableError(table)
        query = {"table": table, "after": after.version, "waitMs": wait_ms}
        timeout_ms = wait_ms + self._timeout_ms
        answer = await self._get(names.ROWS_FEED, query, timeout_ms)
        if answer.status == _GONE or answer.era != after.era:
            raise store_rows.HistoryUnavailableError(table)
        return _parse_rows(answer)

    async def write(
        self,
        address: RowAddress,
        text: str | None,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write a row, or remove it if `text` is None.

        The row must be at the position `expected`, or must not exist if the version of
        `expected` is 0; None sets no condition.

        Raises
        ------
        StoreUnavailableError
            If the write was not done: the store can't be reached, answers with another
            status than success or conflict, or `expected` is of another era than the
            current one, in which case nothing is sent.
        OutcomeUnknownError
            Raised instead, as a subclass, if the write may have been done or may still
            be.
        """
        row = {"table": address.table, "part": address.partition, "key": address.key}
        document: _Document = {"expected": [], "put": [], "remove": []}
        if expected is not None:
            self._check_condition(expected)
            document["expected"] = [{**row, "rowVersion": expected.version}]
        if text is None:
            document["remove"] = [row]
        else:
            value = base64.b64encode(text.encode()).decode()
            document["put"] = [{**row, "value": value}]
        answer = await self._post(names.ROWS_WRITE, document)
        if answer.status == _PRECONDITION_FAILED:
            return _conflict_result(answer)
        return _write_result(answer)

    async def _get(self, path: str, query: _Document, timeout_ms: int) -> "_Answer":
        # A key of another writer may contain half of a surrogate pair.
        encoded = parse.urlencode(query, errors="surrogatepass")
        location = f"{self._base}{path}?{encoded}"
        limit_s = self._limit_s(timeout_ms)
        loop = asyncio.get_running_loop()
        late_s = loop.time() + limit_s + MIN_STANDSTILL_MS / clock.MS_PER_SECOND
        try:
            try:
                response = await self._fetch(location, limit_s)
            except simple_httpclient.HTTPTimeoutError:
                if loop.time() < late_s:
                    raise
                response = await self._fetch(location, limit_s)
        except _CALL_ERRORS as error:
            raise store_rows.StoreUnavailableError(str(error)) from error
        era = self._observe_era(response, store_rows.StoreUnavailableError)
        return _decode(response, {_OK, _GONE}, era)

    async def _fetch(self, location: str, limit_s: float) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            location,
            connect_timeout=self._limit_s(self._connect_timeout_ms),
            request_timeout=limit_s,
        )
        return await self._client.fetch(request, raise_error=False)

    async def _post(self, path: str, document: _Document) -> "_Answer":
        request = httpclient.HTTPRequest(
            self._base + path,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(document),
            connect_timeout=self._limit_s(self._connect_timeout_ms),
            request_timeout=self._limit_s(self._timeout_ms),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise store_rows.StoreUnavailableError(str(error)) from error
        except _CALL_ERRORS as error:
            raise store_rows.OutcomeUnknownError(str(error)) from error
        era = self._observe_era(response, store_rows.OutcomeUnknownError)
        return _decode(response, {_OK, _PRECONDITION_FAILED}, era)

    def _limit_s(self, limit_ms: int) -> float:
        """Return a time limit in seconds, extended by the event loop's lateness."""
        allowance_ms = min(self._lateness_ms() * CALL_ITERATIONS, MAX_ALLOWANCE_MS)
        return (limit_ms + allowance_ms) / clock.MS_PER_SECOND

    def _check_condition(self, expected: store_rows.Position) -> None:
        current = self._era.current
        if expected.version and expected.era != current:
            raise store_rows.StoreUnavailableError(
                f"condition of era {expected.era} in era {current}"
            )

    def _observe_era(
        self,
        response: httpclient.HTTPResponse,
        failure: type[store_rows.StoreUnavailableError],
    ) -> int:
        """Return the era of an answer, after the era's listeners were notified.

        Raises
        ------
        StoreUnavailableError
            As `failure`, if the answer is of an earlier era, or its era is malformed
            or above `store_rows.MAX_ERA`.
        """
        text = response.headers.get(names.STORE_ERA)
        if text is None:
            # From a store that was never restored, or from something in front of it.
            # Only a success counts as the store's own answer, of the first era.
            is_store_answer = response.code == _OK
            era = store_rows.FIRST_ERA if is_store_answer else self._era.current
        elif not _ERA.fullmatch(text) or int(text) > store_rows.MAX_ERA:
            raise failure(f"no era can be {text[:20]!r}")
        else:
            era = int(text)
        if not self._era.observe(era):
            raise failure(f"an answer of era {era} came late")
        return era


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A decoded answer; `document` is empty if only the status matters."""

    status: int
    document: _Document
    era: int

    def position(self, version: object) -> store_rows.Position:
        """Return the position of `version` in the era of the answer."""
        return store_rows.Position(self.era, checked_values.count(int(str(version))))


def _decode(response: httpclient.HTTPResponse, accepted: set[int], era: int) -> _Answer:
    if response.code not in accepted:
        raise store_rows.StoreUnavailableError(f"{response.code} {response.error}")
    if response.code == _GONE:
        return _Answer(response.code, {}, era)
    try:
        document = json_text.parse(response.body)
    except ValueError as error:
        raise store_rows.OutcomeUnknownError("the answer is not JSON") from error
    if not isinstance(document, dict):
        raise store_rows.OutcomeUnknownError("the answer is no object")
    return _Answer(response.code, document, era)


def _parse_rows(answer: _Answer) -> store_rows.Rows:
    page = answer.document
    try:
        return store_rows.Rows(
            tuple(_parse_row(each, answer) for each in page["rows"]),
            answer.position(page["rowVersion"]),
            bool(page.get("hasMore", False)),
            _store_now_ms(page.get("nowMs")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.StoreUnavailableError(f"rows: {error!r}") from error


def _store_now_ms(value: object) -> int | None:
    """Return the time of an answer; None for none or a malformed one.

    The rows hold without it.
    """
    if isinstance(value, float) and math.isfinite(value):
        value = int(value)
    try:
        return checked_values.count(value)
    except ValueError:
        return None


def _parse_row(document: _Document, answer: _Answer) -> store_rows.Row:
    key = document["key"]
    if not isinstance(key, str):
        raise TypeError(f"a key is no text: {reprlib.repr(key)}")
    return store_rows.Row(
        key=key,
        text=_decode_text(document.get("value")),
        position=answer.position(document["rowVersion"]),
        is_removed=bool(document.get("tombstone", False)),
    )


def _decode_text(value: str | None) -> str:
    """Return the decoded value, or a placeholder for one that can't be decoded.

    The placeholder is no valid document, so the consumer that decodes it reports the
    fault with the row's key.
    """
    try:
        return base64.b64decode(value or "").decode()
    except (binascii.Error, ValueError):
        return "undecodable value"


def _write_result(answer: _Answer) -> store_rows.WriteResult:
    try:
        position = answer.position(answer.document["rowVersion"])
    except (KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"written: {error!r}") from error
    return store_rows.WriteResult(True, position)


def _conflict_result(answer: _Answer) -> store_rows.WriteResult:
    try:
        rows = answer.document.get("rows") or []
        if not rows or rows[0].get("tombstone"):
            return store_rows.WriteResult(False, answer.position(0))
        row = _parse_row(rows[0], answer)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"conflict: {error!r}") from error
    return store_rows.WriteResult(False, row.position, row.text)
