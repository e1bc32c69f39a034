"""Stand-in of the object store and of a store VM: a subset of S3's REST protocol.

An object is stored in the tier that the header `x-amz-storage-class` names, by default
in memory.  Each tier has a capacity and a network link; a link carries one transfer at
a time in each direction.

Faults
------
slow_factor : float
    Transfers take this many times as long.
full : bool
    Every PUT is answered by 507, unless its precondition fails (412).
torn_writes : float
    Probability that a PUT stores only half of the body and still answers 200.
drop_answers : float
    Probability that a PUT or DELETE takes effect and its connection is closed.
"""

import dataclasses
import enum
import hashlib
import random
import xml.etree.ElementTree as element_tree
from typing import Final

import fire
import pydantic
from tornado import web

from quincecrank import clock as clocks
from quincecrank import ids
from standins import serving

GIGABYTE: Final = 1_000_000_000
MAX_KEYS: Final = 1000
XML_NAMESPACE: Final = "http://s3.amazonaws.com/doc/2006-03-01/"


class StoreFaults(serving.Faults):
    """Fault switches of a store."""

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    full: bool = False
    torn_writes: float = pydantic.Field(default=0.0, ge=0, le=1)
    drop_answers: float = pydantic.Field(default=0.0, ge=0, le=1)


class StorageClass(enum.Enum):
    """Tier of an object; values of the header `x-amz-storage-class`."""

    MEMORY = "MEMORY"
    DISK = "DISK"


@dataclasses.dataclass(frozen=True)
class TierLimits:
    """Capacity and link rate of one tier.

    Attributes
    ----------
    capacity_bytes : int
        Greatest sum of the sizes of its objects.
    link_bytes_per_second : int
        Rate of each direction of the link; 0 is unlimited.
    """

    capacity_bytes: int
    link_bytes_per_second: int


class Link:
    """One direction of a link; transfers run one after another."""

    def __init__(self, bytes_per_second: int, clock: clocks.Clock) -> None:
        self._bytes_per_second = bytes_per_second
        self._clock = clock
        self._free_at_ms = 0.0

    async def transfer(self, size: int, slow_factor: float) -> None:
        """Wait until `size` bytes have been transferred after all earlier transfers."""
        if not self._bytes_per_second:
            return
        duration = size * clocks.MS_PER_SECOND / self._bytes_per_second * slow_factor
        now = self._clock.now_ms()
        self._free_at_ms = max(self._free_at_ms, now) + duration
        await self._clock.sleep(self._free_at_ms - now)


class Tier:
    """One tier: its limits, used bytes and the two directions of its link."""

    def __init__(self, limits: TierLimits, clock: clocks.Clock) -> None:
        self.limits = limits
        self.used_bytes = 0
        self.upload_link = Link(limits.link_bytes_per_second, clock)
        self.download_link = Link(limits.link_bytes_per_second, clock)

    def fits(self, size: int) -> bool:
        """Return whether an object of `size` bytes fits into the free space."""
        return self.used_bytes + size <= self.limits.capacity_bytes


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object; immutable, a write replaces it."""

    data: bytes
    storage_class: StorageClass

    @property
    def etag(self) -> str:
        """Return the entity tag with its quotes."""
        digest = hashlib.md5(self.data, usedforsecurity=False)
        return f'"{digest.hexdigest()}"'


class StoreError(Exception):
    """A call that is answered with an error: HTTP status and S3 error code."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class Store:
    """Objects of one store, in two tiers."""

    def __init__(
        self,
        memory: TierLimits,
        disk: TierLimits,
        clock: clocks.Clock,
        seed: int = 0,
    ) -> None:
        self.incarnation = ids.Incarnation(ids.random_id("s"))
        self.faults = StoreFaults()
        self.tiers_by_class = {
            StorageClass.MEMORY: Tier(memory, clock),
            StorageClass.DISK: Tier(disk, clock),
        }
        self._objects_by_path: dict[str, StoredObject] = {}
        self._random = random.Random(seed)

    def draw_fault(self, probability: float) -> bool:
        """Return True with this probability: whether a fault occurs."""
        return self._random.random() < probability

    def find(self, path: str) -> StoredObject:
        """Return the object at `path`.

        Raises
        ------
        StoreError
            404 if there is none.
        """
        found = self._objects_by_path.get(path)
        if found is None:
            raise StoreError(404, "NoSuchKey")
        return found

    async def read(self, path: str) -> StoredObject:
        """Return the object after its transfer over the tier's link.

        Raises
        ------
        StoreError
            404 if there is none.
        """
        found = self.find(path)
        tier = self.tiers_by_class[found.storage_class]
        await tier.download_link.transfer(len(found.data), self.faults.slow_factor)
        return found

    async def write(self, path: str, item: StoredObject, only_new: bool) -> None:
        """Store `item`; it becomes visible at the end of its transfer.

        Raises
        ------
        StoreError
            412 if `only_new` and the object exists; 507 if there is no free space.
        """
        self._check_writable(path, item, only_new)
        tier = self.tiers_by_class[item.storage_class]
        await tier.upload_link.transfer(len(item.data), self.faults.slow_factor)
        self._check_writable(path, item, only_new)
        if self.draw_fault(self.faults.torn_writes):
            half = item.data[: len(item.data) // 2]
            item = dataclasses.replace(item, data=half)
        self.remove(path)
        tier.used_bytes += len(item.data)
        self._objects_by_path[path] = item

    def _check_writable(self, path: str, item: StoredObject, only_new: bool) -> None:
        if only_new and path in self._objects_by_path:
            raise StoreError(412, "PreconditionFailed")
        tier = self.tiers_by_class[item.storage_class]
        if self.faults.full or not tier.fits(len(item.data)):
            raise StoreError(507, "InsufficientStorage")

    def remove(self, path: str) -> None:
        """Remove the object at `path` if it exists."""
        found = self._objects_by_path.pop(path, None)
        if found is not None:
            self.tiers_by_class[found.storage_class].used_bytes -= len(found.data)

    def paths_after(self, prefix: str, after: str) -> list[str]:
        """Return all paths with `prefix` that sort after `after`, in order."""
        paths = self._objects_by_path
        return sorted(p for p in paths if p.startswith(prefix) and p > after)

    def stats(self) -> dict[str, str | int]:
        """Return the document of `GET /stats`."""
        stats: dict[str, str | int] = {"incarnation": self.incarnation}
        for storage_class, tier in self.tiers_by_class.items():
            name = storage_class.value.lower()
            stats[f"{name}_used"] = tier.used_bytes
            stats[f"{name}_capacity"] = tier.limits.capacity_bytes
            stats[f"{name}_link"] = tier.limits.link_bytes_per_second
        return stats


class StoreHandler(web.RequestHandler):
    """Base of the handlers: incarnation header and XML errors."""

    def initialize(self, store: Store) -> None:
        """Receive the store from the routing rule."""
        self._store = store

    def set_default_headers(self) -> None:
        """Send no content type unless a handler sets one."""
        self.clear_header("Content-Type")

    def prepare(self) -> None:
        """Set the header with the store's incarnation on every answer."""
        self.set_header("x-store-incarnation", self._store.incarnation)

    def fail(self, error: StoreError) -> None:
        """Answer with an XML error."""
        self.set_status(error.status)
        self.set_header("Content-Type", "application/xml")
        document = element_tree.Element("Error")
        element_tree.SubElement(document, "Code").text = error.code
        self.finish(element_tree.tostring(document))


class ObjectHandler(StoreHandler):
    """`/bucket/name`: one object."""

    async def put(self, path: str) -> None:
        """Store the body."""
        try:
            name = self.request.headers.get("x-amz-storage-class", "MEMORY")
            item = StoredObject(self.request.body, StorageClass(name))
            only_new = self.request.headers.get("If-None-Match") == "*"
            await self._store.write(path, item, only_new)
        except ValueError:
            self.fail(StoreError(400, "InvalidStorageClass"))
            return
        except StoreError as error:
            self.fail(error)
            return
        if self._store.draw_fault(self._store.faults.drop_answers):
            serving.drop_connection(self)
            return
        self.set_header("ETag", item.etag)

    async def get(self, path: str) -> None:
        """Answer with the object."""
        try:
            item = await self._store.read(path)
        except StoreError as error:
            self.fail(error)
            return
        self._set_object_headers(item)
        self.finish(item.data)

    async def head(self, path: str) -> None:
        """Answer with the object's headers."""
        try:
            item = self._store.find(path)
        except StoreError as error:
            self.set_status(error.status)
            return
        self._set_object_headers(item)
        self.set_header("Content-Length", str(len(item.data)))

    async def delete(self, path: str) -> None:
        """Remove the object; a missing one is no error."""
        self._store.remove(path)
        if self._store.draw_fault(self._store.faults.drop_answers):
            serving.drop_connection(self)
            return
        self.set_status(204)

    def _set_object_headers(self, item: StoredObject) -> None:
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("ETag", item.etag)
        self.set_header("x-amz-storage-class", item.storage_class.value)


class BucketHandler(StoreHandler):
    """`/bucket?list-type=2`: names with a prefix, a page at a time."""

    async def get(self, bucket: str) -> None:
        """Answer with a page; the continuation token is the last name."""
        prefix = self.get_query_argument("prefix", "")
        after = self.get_query_argument("continuation-token", "")
        limit = int(self.get_query_argument("max-keys", str(MAX_KEYS)))
        paths = self._store.paths_after(f"{bucket}/{prefix}", f"{bucket}/{after}")
        names = [path.removeprefix(f"{bucket}/") for path in paths]
        page = names[: min(limit, MAX_KEYS)]
        document = element_tree.Element("ListBucketResult", xmlns=XML_NAMESPACE)
        truncated = len(page) < len(names)
        element_tree.SubElement(document, "IsTruncated").text = str(truncated).lower()
        for name in page:
            contents = element_tree.SubElement(document, "Contents")
            element_tree.SubElement(contents, "Key").text = name
        if truncated and page:
            token = element_tree.SubElement(document, "NextContinuationToken")
            token.text = page[-1]
        self.set_header("Content-Type", "application/xml")
        self.finish(element_tree.tostring(document))


class StatsHandler(StoreHandler):
    """`GET /stats`: used bytes and limits of both tiers."""

    def get(self) -> None:
        """Answer with the figures as JSON."""
        self.finish(dict(self._store.stats()))


def make_application(store: Store) -> web.Application:
    """Return the HTTP application of a store."""
    return web.Application(
        [
            serving.faults_rule(store.faults),
            (r"/stats", StatsHandler, {"store": store}),
            (r"/([^/]+)/?", BucketHandler, {"store": store}),
            (r"/([^/]+/.+)", ObjectHandler, {"store": store}),
        ]
    )


def main(
    port: int = 0,
    memory_bytes: int = GIGABYTE,
    disk_bytes: int = 4 * GIGABYTE,
    memory_link: int = 0,
    disk_link: int = 0,
    seed: int = 0,
) -> None:
    """Serve a store; link rates are in bytes per second, 0 is unlimited."""
    memory = TierLimits(memory_bytes, memory_link)
    disk = TierLimits(disk_bytes, disk_link)
    store = Store(memory, disk, clocks.SystemClock(), seed)
    serving.run(make_application(store), port)


if __name__ == "__main__":
    fire.Fire(main)
