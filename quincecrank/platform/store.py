"""Client of the platform's store.

Each call uses a connection of its own: a kept connection may have gone silent, and
one on which an answer was lost delivers nothing further.
"""

import base64
import binascii
import dataclasses
import json
from typing import Any, Final
from urllib import parse

from tornado import httpclient, iostream, simple_httpclient

from quincecrank import clock, json_text, store_rows
from quincecrank.platform import names

CONNECT_TIMEOUT_MS: Final = 500
"""Several round trips inside one region."""

CALL_TIMEOUT_MS: Final = 1_000
"""Sixty times the store's usual answer time of 4 ms still fits four times."""

PAGE_ROWS: Final = 500
"""Rows of one answer, the most that the store gives."""

MAX_DOCUMENT_BYTES: Final = 3 * 1024 * 1024
"""Longest answer that is read: pages have at most 1 MB before encoding.  Changes that
come to more are read as a whole, in pages."""

_CALL_ERRORS: Final = (
    OSError,
    httpclient.HTTPError,
    # A head that does not end; the library lets it through.
    iostream.UnsatisfiableReadError,
)

_PRECONDITION_FAILED: Final = 412
_GONE: Final = 410
_OK: Final = 200
_MAX_CLIENTS: Final = 64

_Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a row lies.

    Attributes
    ----------
    part : str
        Rows of one part are changed together; may be empty.
    """

    table: str
    key: str
    part: str = ""


class PlatformStore:
    """Rows of the platform's store over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the store.
    timeout_ms : int
        Limit of each call, beside the time that a call asks to wait.
    connect_timeout_ms : int
        Limit of opening a connection.
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._base = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_buffer_size=MAX_DOCUMENT_BYTES,
            max_body_size=MAX_DOCUMENT_BYTES,
        )

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str | None = None,
        limit: int = PAGE_ROWS,
    ) -> store_rows.Rows:
        """Return rows of one part from key `first` to before key `end`, in order."""
        query: _Document = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        _, page = await self._get(names.ROWS_GET, query, self._timeout_ms)
        return _rows(page)

    async def changes(self, table: str, after: int, wait_ms: int) -> store_rows.Rows:
        """Return the rows changed after a version, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes.
        """
        query = {"table": table, "after": after, "waitMs": wait_ms}
        timeout_ms = wait_ms + self._timeout_ms
        status, page = await self._get(names.ROWS_FEED, query, timeout_ms)
        if status == _GONE:
            raise store_rows.HistoryLostError(table)
        return _rows(page)

    async def write(
        self, place: Place, text: str | None, expected_version: int | None
    ) -> store_rows.WriteResult:
        """Write a row, or remove it if `text` is None.

        The write is conditional on the row's version unless that is None; version 0
        stands for a row that doesn't exist.

        Raises
        ------
        OutcomeUnknownError
            If the write may have been done, or may be done yet.
        """
        row = {"table": place.table, "part": place.part, "key": place.key}
        document: _Document = {"expected": [], "put": [], "remove": []}
        if expected_version is not None:
            document["expected"] = [{**row, "rowVersion": expected_version}]
        if text is None:
            document["remove"] = [row]
        else:
            value = base64.b64encode(text.encode()).decode()
            document["put"] = [{**row, "value": value}]
        status, answer = await self._post(names.ROWS_WRITE, document)
        if status == _PRECONDITION_FAILED:
            return _conflict(answer)
        return _written(answer)

    async def _get(
        self, path: str, query: _Document, timeout_ms: int
    ) -> tuple[int, _Document]:
        request = httpclient.HTTPRequest(
            f"{self._base}{path}?{parse.urlencode(query)}",
            connect_timeout=self._connect_timeout_ms / clock.MS_PER_SECOND,
            request_timeout=timeout_ms / clock.MS_PER_SECOND,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except _CALL_ERRORS as error:
            raise store_rows.StoreUnavailableError(str(error)) from error
        return _decode(response, {_OK, _GONE})

    async def _post(self, path: str, document: _Document) -> tuple[int, _Document]:
        request = httpclient.HTTPRequest(
            self._base + path,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(document),
            connect_timeout=self._connect_timeout_ms / clock.MS_PER_SECOND,
            request_timeout=self._timeout_ms / clock.MS_PER_SECOND,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise store_rows.StoreUnavailableError(str(error)) from error
        except _CALL_ERRORS as error:
            raise store_rows.OutcomeUnknownError(str(error)) from error
        return _decode(response, {_OK, _PRECONDITION_FAILED})


def _decode(
    response: httpclient.HTTPResponse, accepted: set[int]
) -> tuple[int, _Document]:
    if response.code not in accepted:
        raise store_rows.StoreUnavailableError(f"{response.code} {response.error}")
    if response.code == _GONE:
        return response.code, {}
    try:
        document = json_text.parse(response.body)
    except ValueError as error:
        raise store_rows.OutcomeUnknownError("the answer is not JSON") from error
    if not isinstance(document, dict):
        raise store_rows.OutcomeUnknownError("the answer is no object")
    return response.code, document


def _rows(page: _Document) -> store_rows.Rows:
    try:
        return store_rows.Rows(
            tuple(_row(each) for each in page["rows"]),
            int(page["rowVersion"]),
            bool(page.get("hasMore", False)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.StoreUnavailableError(f"rows: {error!r}") from error


def _row(document: _Document) -> store_rows.Row:
    return store_rows.Row(
        key=document["key"],
        text=_text(document.get("value")),
        version=int(document["rowVersion"]),
        is_removed=bool(document.get("tombstone", False)),
    )


def _text(value: str | None) -> str:
    """Return the decoded value; one that can't be decoded gives a text of its own.

    Decoders of the text report it with the row's key.
    """
    try:
        return base64.b64decode(value or "").decode()
    except (binascii.Error, ValueError):
        return "undecodable value"


def _written(answer: _Document) -> store_rows.WriteResult:
    try:
        return store_rows.WriteResult(True, int(answer["rowVersion"]))
    except (KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"written: {error!r}") from error


def _conflict(answer: _Document) -> store_rows.WriteResult:
    try:
        rows = answer.get("rows") or []
        if not rows or rows[0].get("tombstone"):
            return store_rows.WriteResult(False, 0)
        row = _row(rows[0])
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"conflict: {error!r}") from error
    return store_rows.WriteResult(False, row.version, row.text)
