"""Client of the platform's store.

Each call uses a connection of its own: a kept connection may have gone silent, and
one on which an answer was lost delivers nothing further.
"""

import base64
import binascii
import dataclasses
import json
import re
from typing import Any, Final
from urllib import parse

from tornado import httpclient, iostream, simple_httpclient

from quincecrank import clock, json_text, store_era, store_rows
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

_ERA: Final = re.compile(r"[0-9]{1,9}")

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
    era : StoreEra, optional
        Is told the era of every answer; late answers of an earlier one are refused.
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._era = era or store_era.StoreEra()
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
        answer = await self._get(names.ROWS_GET, query, self._timeout_ms)
        if answer.status != _OK:
            raise store_rows.StoreUnavailableError(f"{answer.status} to a full read")
        return _rows(answer)

    async def changes(
        self, table: str, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes, or has been restored from a copy
            since: the versions after the position are those of other transactions.
        """
        if after.era != self._era.current:
            raise store_rows.HistoryLostError(table)
        query = {"table": table, "after": after.version, "waitMs": wait_ms}
        timeout_ms = wait_ms + self._timeout_ms
        answer = await self._get(names.ROWS_FEED, query, timeout_ms)
        if answer.status == _GONE or answer.era != after.era:
            raise store_rows.HistoryLostError(table)
        return _rows(answer)

    async def write(
        self, place: Place, text: str | None, expected: store_rows.Position | None
    ) -> store_rows.WriteResult:
        """Write a row, or remove it if `text` is None.

        The write is conditional on the row's position unless that is None; version 0
        stands for a row that doesn't exist.

        Raises
        ------
        StoreUnavailableError
            If the condition is of an earlier era than the store's; nothing was sent.
        OutcomeUnknownError
            If the write may have been done, or may be done yet.
        """
        row = {"table": place.table, "part": place.part, "key": place.key}
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
            return _conflict(answer)
        return _written(answer)

    async def _get(self, path: str, query: _Document, timeout_ms: int) -> "_Answer":
        request = httpclient.HTTPRequest(
            f"{self._base}{path}?{parse.urlencode(query)}",
            connect_timeout=self._connect_timeout_ms / clock.MS_PER_SECOND,
            request_timeout=timeout_ms / clock.MS_PER_SECOND,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except _CALL_ERRORS as error:
            raise store_rows.StoreUnavailableError(str(error)) from error
        era = self._observe_era(response, store_rows.StoreUnavailableError)
        return _decode(response, {_OK, _GONE}, era)

    async def _post(self, path: str, document: _Document) -> "_Answer":
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
        era = self._observe_era(response, store_rows.OutcomeUnknownError)
        return _decode(response, {_OK, _PRECONDITION_FAILED}, era)

    def _check_condition(self, expected: store_rows.Position) -> None:
        known = self._era.current
        if expected.version and expected.era != known:
            raise store_rows.StoreUnavailableError(
                f"condition of era {expected.era} in era {known}"
            )

    def _observe_era(
        self,
        response: httpclient.HTTPResponse,
        failure: type[store_rows.StoreUnavailableError],
    ) -> int:
        """Return the era of an answer, once all users know of it.

        Raises
        ------
        StoreUnavailableError
            Of the kind `failure`, if the answer is of an earlier era or names none
            that can be.
        """
        text = response.headers.get(names.STORE_ERA)
        if text is None:
            # Answers of a store that was never restored, or of something before it.
            is_answer = response.code == _OK
            era = store_rows.FIRST_ERA if is_answer else self._era.current
        elif not _ERA.fullmatch(text) or int(text) > store_rows.MAX_ERA:
            raise failure(f"no era can be {text[:20]!r}")
        else:
            era = int(text)
        if not self._era.observe(era):
            raise failure(f"an answer of era {era} came late")
        return era


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A decoded answer; `document` is empty where the status says all."""

    status: int
    document: _Document
    era: int

    def position(self, version: object) -> store_rows.Position:
        """Return a position in the history that the answer is about."""
        return store_rows.Position(self.era, int(str(version)))


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


def _rows(answer: _Answer) -> store_rows.Rows:
    page = answer.document
    try:
        return store_rows.Rows(
            tuple(_row(each, answer) for each in page["rows"]),
            answer.position(page["rowVersion"]),
            bool(page.get("hasMore", False)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.StoreUnavailableError(f"rows: {error!r}") from error


def _row(document: _Document, answer: _Answer) -> store_rows.Row:
    return store_rows.Row(
        key=document["key"],
        text=_text(document.get("value")),
        position=answer.position(document["rowVersion"]),
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


def _written(answer: _Answer) -> store_rows.WriteResult:
    try:
        position = answer.position(answer.document["rowVersion"])
    except (KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"written: {error!r}") from error
    return store_rows.WriteResult(True, position)


def _conflict(answer: _Answer) -> store_rows.WriteResult:
    try:
        rows = answer.document.get("rows") or []
        if not rows or rows[0].get("tombstone"):
            return store_rows.WriteResult(False, answer.position(0))
        row = _row(rows[0], answer)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_rows.OutcomeUnknownError(f"conflict: {error!r}") from error
    return store_rows.WriteResult(False, row.position, row.text)
