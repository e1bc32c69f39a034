"""Client of the object store and of the store VMs, both with S3's REST protocol.

An object is written once under its name and never replaced.  A store VM drops all
objects when it restarts, which its answers show by a new incarnation.
"""

import dataclasses
import xml.etree.ElementTree as element_tree
from collections.abc import Mapping
from typing import Final, Protocol
from urllib import parse

import pydantic
from tornado import httpclient

from quincecrank import clock as clocks
from quincecrank import configuration, http_caller, ids

_INCARNATION_HEADER: Final = "x-store-incarnation"
_TIER_HEADER: Final = "x-amz-storage-class"
_XML_NAMESPACE: Final = "{http://s3.amazonaws.com/doc/2006-03-01/}"
_MIN_ERROR_STATUS: Final = 300


class ObjectStoreError(Exception):
    """The store failed or gave no answer; a write may have taken effect."""


class ObjectMissingError(Exception):
    """The store has no object of this name."""


class ObjectExistsError(ObjectStoreError):
    """The name is taken, perhaps by an earlier call whose answer was lost."""


class StoreFullError(ObjectStoreError):
    """The tier has no free space for the object; nothing was written."""


@dataclasses.dataclass(frozen=True)
class StoreStats:
    """Use and limits of a store's tiers; sizes in bytes, links in bytes per second."""

    incarnation: ids.Incarnation
    memory_used: int
    memory_capacity: int
    memory_link: int
    disk_used: int
    disk_capacity: int
    disk_link: int


class ObjectStore(Protocol):
    """Store of objects by name; all calls may raise `ObjectStoreError`."""

    async def put(
        self,
        name: ids.ObjectName,
        data: bytes,
        tier: configuration.TierKind | None = None,
    ) -> None:
        """Write a new object.

        Raises
        ------
        ObjectExistsError
            If the name is taken.
        StoreFullError
            If the tier has no free space.
        """

    async def get(self, name: ids.ObjectName) -> bytes:
        """Return an object's data.

        Raises
        ------
        ObjectMissingError
            If there is none of this name.
        """

    async def delete(self, name: ids.ObjectName) -> None:
        """Delete an object; do nothing if it is missing."""

    async def list(self, prefix: str) -> tuple[ids.ObjectName, ...]:
        """Return the names that begin with `prefix`, in order."""

    async def stats(self) -> StoreStats:
        """Return the store's use and limits."""


class HttpObjectStore:
    """`ObjectStore` over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the store.
    bucket : str
        Bucket that holds the objects.
    timeout_ms : int
        Time limit of each call, including the transfer.
    clock : Clock
        Source of time.

    Attributes
    ----------
    incarnation : Incarnation or None
        Incarnation in the last answer that carried one; None before the first.
    """

    def __init__(
        self, base_url: str, bucket: str, timeout_ms: int, clock: clocks.Clock
    ) -> None:
        self._caller = http_caller.HttpCaller(base_url, timeout_ms, clock)
        self._bucket = bucket
        self.incarnation: ids.Incarnation | None = None

    def close(self) -> None:
        """Close the connections to the store."""
        self._caller.close()

    async def put(
        self,
        name: ids.ObjectName,
        data: bytes,
        tier: configuration.TierKind | None = None,
    ) -> None:
        """Write a new object."""
        headers = {
            "If-None-Match": "*",
            "Content-Type": "application/octet-stream",
        }
        if tier is not None:
            headers[_TIER_HEADER] = tier.name
        await self._call("PUT", self._path(name), headers, data)

    async def get(self, name: ids.ObjectName) -> bytes:
        """Return an object's data."""
        response = await self._call("GET", self._path(name))
        return response.body

    async def delete(self, name: ids.ObjectName) -> None:
        """Delete an object; do nothing if it is missing."""
        await self._call("DELETE", self._path(name))

    async def list(self, prefix: str) -> tuple[ids.ObjectName, ...]:
        """Return the names that begin with `prefix`, in order."""
        names: list[ids.ObjectName] = []
        query = {"list-type": "2", "prefix": prefix}
        while True:
            path = f"/{self._bucket}?{parse.urlencode(query)}"
            page = _parse_page((await self._call("GET", path)).body)
            names.extend(page.names)
            if not page.continuation_token:
                return tuple(names)
            query["continuation-token"] = page.continuation_token

    async def stats(self) -> StoreStats:
        """Return the store's use and limits."""
        response = await self._call("GET", "/stats")
        try:
            return pydantic.TypeAdapter(StoreStats).validate_json(response.body)
        except pydantic.ValidationError as error:
            raise ObjectStoreError("malformed stats") from error

    def _path(self, name: ids.ObjectName) -> str:
        return f"/{self._bucket}/{parse.quote(name)}"

    async def _call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> httpclient.HTTPResponse:
        try:
            response = await self._caller.call(method, path, headers, body)
        except (http_caller.NotSentError, http_caller.AnswerLostError) as error:
            raise ObjectStoreError(f"{method}: {error}") from error
        incarnation = response.headers.get(_INCARNATION_HEADER)
        if incarnation is not None:
            self.incarnation = ids.Incarnation(incarnation)
        _raise_for_status(response.code, f"{method} {path}")
        return response


def _raise_for_status(status: int, call: str) -> None:
    match status:
        case _ if status < _MIN_ERROR_STATUS:
            return
        case 404:
            raise ObjectMissingError(call)
        case 412:
            raise ObjectExistsError(call)
        case 507:
            raise StoreFullError(call)
        case _:
            raise ObjectStoreError(f"{call}: status {status}")


@dataclasses.dataclass(frozen=True)
class _Page:
    """Page of a listing; the last page has an empty token."""

    names: tuple[ids.ObjectName, ...]
    continuation_token: str


def _parse_page(document: bytes) -> _Page:
    try:
        root = element_tree.fromstring(document)
    except element_tree.ParseError as error:
        raise ObjectStoreError("malformed listing") from error
    keys = root.iterfind(f"{_XML_NAMESPACE}Contents/{_XML_NAMESPACE}Key")
    names = tuple(ids.ObjectName(key.text or "") for key in keys)
    token = root.findtext(f"{_XML_NAMESPACE}NextContinuationToken", "")
    return _Page(names, token)
