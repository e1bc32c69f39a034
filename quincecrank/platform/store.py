"""Client of the platform's store.

Each call uses a connection of its own: a kept connection may have gone silent, and
one on which an answer was lost delivers nothing further.
"""

import base64
import binascii
import json
from typing import Any, Final
from urllib import parse

from tornado import httpclient, simple_httpclient

from quincecrank import clock
from quincecrank.gateway import environment, tables
from quincecrank.platform import names

CONNECT_TIMEOUT_MS: Final = 500
"""Several round trips inside one region."""

CALL_TIMEOUT_MS: Final = 1_000
"""Sixty times the store's usual answer time of 4 ms still fits four times."""

PAGE_ROWS: Final = 500
"""Rows of one answer, the most that the store gives."""

_PRECONDITION_FAILED: Final = 412
_GONE: Final = 410
_OK: Final = 200
_SERVER_ERROR: Final = 500
_MAX_CLIENTS: Final = 16

_WIRE_NAME_BY_TABLE: Final = {
    tables.TableName.OPERATOR: names.OPERATOR_TABLE,
    tables.TableName.SERVERS: names.SERVERS_TABLE,
    tables.TableName.MEMBERS: "gateways",
}

_Document = dict[str, Any]


class PlatformStore:
    """The tables of the platform's store over HTTP.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the store.
    """

    def __init__(self, endpoint: environment.Endpoint) -> None:
        self._base = f"http://{endpoint.ip}:{endpoint.port}"
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def read_all(self, table: tables.TableName) -> tables.Rows:
        """Return all rows of a table."""
        rows: list[tables.Row] = []
        first_version = None
        query: _Document = {
            "table": _WIRE_NAME_BY_TABLE[table],
            "part": "",
            "limit": PAGE_ROWS,
        }
        while True:
            _, page = await self._get(names.ROWS_GET, query, CALL_TIMEOUT_MS)
            # Later pages may be newer; changes are asked for after the first one.
            first_version = first_version or int(page["rowVersion"])
            rows += [_row(each) for each in page["rows"]]
            if not page.get("hasMore"):
                return tables.Rows(tuple(rows), first_version)
            query["from"] = rows[-1].key + "\0"

    async def changes(
        self, table: tables.TableName, after: int, wait_ms: int
    ) -> tables.Rows:
        """Return the rows changed after a version, waiting for the first one."""
        query = {
            "table": _WIRE_NAME_BY_TABLE[table],
            "after": after,
            "waitMs": wait_ms,
        }
        status, page = await self._get(
            names.ROWS_FEED, query, wait_ms + CALL_TIMEOUT_MS
        )
        if status == _GONE:
            raise tables.HistoryLostError(table.value)
        rows = tuple(_row(each) for each in page["rows"])
        return tables.Rows(rows, int(page["rowVersion"]))

    async def write(
        self,
        table: tables.TableName,
        key: str,
        text: str,
        expected_version: int | None,
    ) -> tables.WriteResult:
        """Write a row; only if it has the expected version, unless that is None."""
        place = {"table": _WIRE_NAME_BY_TABLE[table], "part": "", "key": key}
        expected = (
            []
            if expected_version is None
            else [{**place, "rowVersion": expected_version}]
        )
        value = base64.b64encode(text.encode()).decode()
        document = {
            "expected": expected,
            "put": [{**place, "value": value}],
            "remove": [],
        }
        status, answer = await self._post(names.ROWS_WRITE, document)
        if status == _PRECONDITION_FAILED:
            return _conflict(answer)
        return tables.WriteResult(True, int(answer["rowVersion"]))

    async def _get(
        self, path: str, query: _Document, timeout_ms: int
    ) -> tuple[int, _Document]:
        request = httpclient.HTTPRequest(
            f"{self._base}{path}?{parse.urlencode(query)}",
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND,
            request_timeout=timeout_ms / clock.MS_PER_SECOND,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise tables.StoreUnavailableError(str(error)) from error
        return _decode(response, {_OK, _GONE})

    async def _post(self, path: str, document: _Document) -> tuple[int, _Document]:
        request = httpclient.HTTPRequest(
            self._base + path,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(document),
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND,
            request_timeout=CALL_TIMEOUT_MS / clock.MS_PER_SECOND,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise tables.OutcomeUnknownError(str(error)) from error
        return _decode(response, {_OK, _PRECONDITION_FAILED})


def _decode(
    response: httpclient.HTTPResponse, accepted: set[int]
) -> tuple[int, _Document]:
    if response.code not in accepted:
        raise tables.StoreUnavailableError(f"{response.code} {response.error}")
    if response.code == _GONE:
        return response.code, {}
    try:
        return response.code, json.loads(response.body)
    except ValueError as error:
        raise tables.OutcomeUnknownError("the answer is not JSON") from error


def _row(document: _Document) -> tables.Row:
    return tables.Row(
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


def _conflict(answer: _Document) -> tables.WriteResult:
    rows = answer.get("rows") or []
    if not rows or rows[0].get("tombstone"):
        return tables.WriteResult(False, 0)
    row = _row(rows[0])
    return tables.WriteResult(False, row.version, row.text)
