"""Client of the platform's table service.

The service speaks DynamoDB's JSON protocol.  Each row has a partition, a sort
number, a text body and a revision that every write increases by one, so that a
conditional write on the revision is a compare-and-set.

A failed write is either certain to have had no effect (`TableUnavailableError`) or
it is not (`OutcomeUnknownError`); the two are never confused.
"""

import dataclasses
import enum
import json
from collections.abc import Mapping
from typing import Any, Final, Protocol

from quincecrank import clock as clocks
from quincecrank import http_caller

_TARGET_PREFIX: Final = "DynamoDB_20120810."
_CONTENT_TYPE: Final = "application/x-amz-json-1.0"
_CONDITION_FAILED: Final = "ConditionalCheckFailedException"
_SERVER_ERROR: Final = 500
_FIRST_REVISION: Final = 1
_CONFIRM_TRIES: Final = 3

_Document = dict[str, Any]


class TableName(enum.Enum):
    """Tables that quincecrank keeps in the platform's service."""

    CONFIGURATION = "configuration"
    REQUESTS = "requests"
    AGENTS = "agents"
    SLOTS = "slots"


class WriteOutcome(enum.Enum):
    """Whether a conditional write took effect."""

    APPLIED = "applied"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True)
class RowKey:
    """Key of a row; rows of one partition are ordered by `sort`."""

    partition: str
    sort: int = 0


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as read: its body and the revision to condition a write on."""

    key: RowKey
    body: str
    revision: int


class TableUnavailableError(Exception):
    """The call failed and certainly had no effect."""


class OutcomeUnknownError(Exception):
    """The answer to a write was lost; the effect may have taken place or may yet."""


class PlatformTable(Protocol):
    """The operations on the platform's tables.

    Reads are strongly consistent.  Reads raise `TableUnavailableError`, writes
    that or `OutcomeUnknownError`.
    """

    async def read(self, table: TableName, key: RowKey) -> Row | None:
        """Return the row, or None if there is none."""

    async def read_after(
        self, table: TableName, partition: str, sort: int, limit: int
    ) -> tuple[Row, ...]:
        """Return up to `limit` rows of `partition` above `sort`, in order."""

    async def insert(self, table: TableName, key: RowKey, body: str) -> WriteOutcome:
        """Insert a row with revision 1; CONFLICT if the key is taken."""

    async def replace(
        self, table: TableName, key: RowKey, body: str, expected_revision: int
    ) -> WriteOutcome:
        """Replace the body and increase the revision by one, if it is as expected."""

    async def delete(
        self, table: TableName, key: RowKey, expected_revision: int
    ) -> WriteOutcome:
        """Delete the row if its revision is as expected."""


class HttpTable:
    """`PlatformTable` over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the service.
    timeout_ms : int
        Limit of each call.
    clock : Clock
        Source of time.
    """

    def __init__(self, base_url: str, timeout_ms: int, clock: clocks.Clock) -> None:
        self._caller = http_caller.HttpCaller(base_url, timeout_ms, clock)

    def close(self) -> None:
        """Close the connections to the service."""
        self._caller.close()

    async def read(self, table: TableName, key: RowKey) -> Row | None:
        """Return the row, or None if there is none."""
        request = {
            "TableName": table.value,
            "Key": _key_document(key),
            "ConsistentRead": True,
        }
        answer = await self._read("GetItem", request)
        return _row(answer["Item"]) if "Item" in answer else None

    async def read_after(
        self, table: TableName, partition: str, sort: int, limit: int
    ) -> tuple[Row, ...]:
        """Return up to `limit` rows of `partition` above `sort`, in order."""
        request = {
            "TableName": table.value,
            "KeyConditionExpression": "pk = :pk AND sk > :sk",
            "ExpressionAttributeValues": {
                ":pk": {"S": partition},
                ":sk": {"N": str(sort)},
            },
            "Limit": limit,
            "ConsistentRead": True,
        }
        answer = await self._read("Query", request)
        return tuple(_row(item) for item in answer["Items"])

    async def insert(self, table: TableName, key: RowKey, body: str) -> WriteOutcome:
        """Insert a row with revision 1; CONFLICT if the key is taken."""
        request = {
            "TableName": table.value,
            "Item": _item_document(key, body, _FIRST_REVISION),
            "ConditionExpression": "attribute_not_exists(pk)",
        }
        return await self._write("PutItem", request)

    async def replace(
        self, table: TableName, key: RowKey, body: str, expected_revision: int
    ) -> WriteOutcome:
        """Replace the body and increase the revision by one, if it is as expected."""
        request = {
            "TableName": table.value,
            "Item": _item_document(key, body, expected_revision + 1),
            **_revision_condition(expected_revision),
        }
        return await self._write("PutItem", request)

    async def delete(
        self, table: TableName, key: RowKey, expected_revision: int
    ) -> WriteOutcome:
        """Delete the row if its revision is as expected."""
        request = {
            "TableName": table.value,
            "Key": _key_document(key),
            **_revision_condition(expected_revision),
        }
        return await self._write("DeleteItem", request)

    async def _read(self, operation: str, request: _Document) -> _Document:
        try:
            status, answer = await self._execute(operation, request)
        except (http_caller.NotSentError, http_caller.AnswerLostError) as error:
            raise TableUnavailableError(str(error)) from error
        if status >= _SERVER_ERROR or "__type" in answer:
            raise TableUnavailableError(f"{operation}: {status} {_code(answer)}")
        return answer

    async def _write(self, operation: str, request: _Document) -> WriteOutcome:
        try:
            status, answer = await self._execute(operation, request)
        except http_caller.NotSentError as error:
            raise TableUnavailableError(str(error)) from error
        except http_caller.AnswerLostError as error:
            raise OutcomeUnknownError(str(error)) from error
        if status >= _SERVER_ERROR:
            raise OutcomeUnknownError(f"{operation}: {status} {_code(answer)}")
        if _code(answer) == _CONDITION_FAILED:
            return WriteOutcome.CONFLICT
        if "__type" in answer:
            raise TableUnavailableError(f"{operation}: {status} {_code(answer)}")
        return WriteOutcome.APPLIED

    async def _execute(
        self, operation: str, request: _Document
    ) -> tuple[int, _Document]:
        headers = {
            "X-Amz-Target": _TARGET_PREFIX + operation,
            "Content-Type": _CONTENT_TYPE,
        }
        body = json.dumps(request).encode()
        response = await self._caller.call("POST", "/", headers, body)
        try:
            answer = json.loads(response.body)
        except ValueError as error:
            raise http_caller.AnswerLostError("the answer is not JSON") from error
        return response.code, answer


def _code(answer: Mapping[str, Any]) -> str:
    return str(answer.get("__type", "")).rpartition("#")[2]


def _key_document(key: RowKey) -> _Document:
    return {"pk": {"S": key.partition}, "sk": {"N": str(key.sort)}}


def _item_document(key: RowKey, body: str, revision: int) -> _Document:
    return {
        **_key_document(key),
        "rev": {"N": str(revision)},
        "body": {"S": body},
    }


def _revision_condition(expected_revision: int) -> _Document:
    return {
        "ConditionExpression": "rev = :expected",
        "ExpressionAttributeValues": {":expected": {"N": str(expected_revision)}},
    }


def _row(item: _Document) -> Row:
    key = RowKey(item["pk"]["S"], int(item["sk"]["N"]))
    return Row(key, item["body"]["S"], int(item["rev"]["N"]))


async def insert_confirmed(
    table_client: PlatformTable, table: TableName, key: RowKey, body: str
) -> Row:
    """Insert a row and return the row that is in force afterwards.

    After a conflict or a lost answer the row is read back.  A missing row after
    a lost answer doesn't prove that the insert failed, as it may still be on its
    way; the same body is inserted again, so that either copy counts.  The caller
    compares the returned body, which carries its own proposal or attempt id, to
    learn whether it won.

    Raises
    ------
    TableUnavailableError
        If no insert had any effect.
    OutcomeUnknownError
        If an insert may have taken effect, or may yet, and the row can't be read.
    """
    may_have_effect = False
    for _ in range(_CONFIRM_TRIES):
        try:
            if await table_client.insert(table, key, body) is WriteOutcome.APPLIED:
                return Row(key, body, _FIRST_REVISION)
        except OutcomeUnknownError:
            may_have_effect = True
        except TableUnavailableError as error:
            if may_have_effect:
                raise OutcomeUnknownError(str(error)) from error
            raise
        row = await _read_back(table_client, table, key, may_have_effect)
        if row is not None:
            return row
    raise OutcomeUnknownError(f"row {key} can't be confirmed")


async def replace_confirmed(
    table_client: PlatformTable,
    table: TableName,
    key: RowKey,
    body: str,
    expected_revision: int,
) -> Row:
    """Replace a row and return the row that is in force afterwards.

    Like `insert_confirmed`; as long as the row has the expected revision the same
    body is written again, so a copy that is still on its way does no harm.

    Raises
    ------
    TableUnavailableError
        If no write had any effect.
    OutcomeUnknownError
        If a write may have taken effect, or may yet, and the row can't be read.
    """
    may_have_effect = False
    for _ in range(_CONFIRM_TRIES):
        try:
            outcome = await table_client.replace(table, key, body, expected_revision)
            if outcome is WriteOutcome.APPLIED:
                return Row(key, body, expected_revision + 1)
        except OutcomeUnknownError:
            may_have_effect = True
        except TableUnavailableError as error:
            if may_have_effect:
                raise OutcomeUnknownError(str(error)) from error
            raise
        row = await _read_back(table_client, table, key, may_have_effect)
        if row is not None and row.revision != expected_revision:
            return row
    raise OutcomeUnknownError(f"row {key} can't be confirmed")


async def _read_back(
    table_client: PlatformTable, table: TableName, key: RowKey, may_have_effect: bool
) -> Row | None:
    try:
        return await table_client.read(table, key)
    except TableUnavailableError as error:
        if may_have_effect:
            raise OutcomeUnknownError(str(error)) from error
        raise
