"""Decodes bodies in chunks; performs no I/O.

Invariant
    Decoding stops at the cost that its caller allows, and takes time in proportion to
    it.  Chunk extensions and trailers are malformed, as in the HTTP library.

Load pattern: bodies of several megabytes in chunks of a few bytes, which may end
anywhere.
"""

import enum
import re
from typing import Final

from quincecrank.budgets import chunk_budget

MAX_LINE_BYTES: Final = 64
"""Longest line with the size of a chunk, its end included."""

_LINE_END: Final = b"\r\n"
_SIZE: Final = re.compile(rb"[0-9a-fA-F]+")


class MalformedChunkError(Exception):
    """The bytes are no body in chunks."""


class _Element(enum.Enum):
    """What comes next."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "end of data"
    LAST_LINE = "last line"
    NOTHING = "nothing"


class ChunkDecoder:
    """Decodes one body.

    Attributes
    ----------
    cost : BodyCost
        What was decoded so far.
    has_more : bool
        Whether more may be decoded of what was fed.
    """

    def __init__(self) -> None:
        self.cost = chunk_budget.BodyCost()
        self.has_more = False
        self._raw = b""
        self._at = 0
        self._next = _Element.SIZE
        self._left_bytes = 0
        self._last_line = b"0"
        self._last_size = 0

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body was decoded."""
        return self._next is _Element.NOTHING

    @property
    def announced_bytes(self) -> int:
        """Bytes of the chunks so far, with those that have not arrived."""
        return self.cost.size + self._left_bytes

    @property
    def rest(self) -> bytes:
        """Bytes that were fed and not decoded."""
        return self._raw[self._at :]

    def feed(self, data: bytes) -> None:
        """Add bytes to decode."""
        self._raw = self.rest + data
        self._at = 0
        self.has_more = True

    def decode(self, most_cost: int) -> tuple[bytes, int]:
        """Return decoded bytes, and their cost, which is `most_cost` at most.

        Raises
        ------
        MalformedChunkError
            If a chunk is malformed.
        """
        parts: list[bytes] = []
        used = 0
        while used < most_cost and not self.has_ended:
            used += self._decode_small_chunks(parts, most_cost - used)
            if used >= most_cost:
                break
            cost = self._decode_element(parts, most_cost - used)
            if cost is None:
                self.has_more = False
                break
            used += cost
        data = b"".join(parts)
        self.cost.size += len(data)
        return data, used

    def _decode_small_chunks(self, parts: list[bytes], most: int) -> int:
        """Decode chunks that were fed whole; return their number.

        It does nothing that `_decode_element` would not do; a chunk costs less here.
        """
        if self._next is not _Element.SIZE:
            return 0
        raw, at, count = self._raw, self._at, 0
        while count < most:
            line_end = raw.find(_LINE_END, at, at + MAX_LINE_BYTES)
            if line_end < 0:
                break
            size = self._size_of(raw[at:line_end])
            begin = line_end + len(_LINE_END)
            end = begin + size
            is_small = 0 < size <= chunk_budget.BYTES_PER_COST
            if not is_small or raw[end : end + len(_LINE_END)] != _LINE_END:
                break
            parts.append(raw[begin:end])
            at = end + len(_LINE_END)
            count += 1
        self._at = at
        self.cost.chunks += count
        return count

    def _decode_element(self, parts: list[bytes], most: int) -> int | None:
        """Decode one element; return its cost, or None if more bytes are needed."""
        match self._next:
            case _Element.SIZE:
                return self._decode_size()
            case _Element.DATA:
                return self._decode_data(parts, most)
            case _:
                return self._decode_line_end()

    def _decode_size(self) -> int | None:
        line_end = self._raw.find(_LINE_END, self._at, self._at + MAX_LINE_BYTES)
        if line_end < 0:
            if len(self._raw) - self._at >= MAX_LINE_BYTES:
                raise MalformedChunkError("long size of a chunk")
            return None
        self._left_bytes = self._size_of(self._raw[self._at : line_end])
        self._at = line_end + len(_LINE_END)
        self._next = _Element.DATA if self._left_bytes else _Element.LAST_LINE
        self.cost.chunks += 1
        return 1

    def _decode_data(self, parts: list[bytes], most: int) -> int | None:
        allowed = min(self._left_bytes, most * chunk_budget.BYTES_PER_COST)
        part = self._raw[self._at : self._at + allowed]
        if not part:
            return None
        parts.append(part)
        self._at += len(part)
        self._left_bytes -= len(part)
        if not self._left_bytes:
            self._next = _Element.DATA_END
        return len(part) // chunk_budget.BYTES_PER_COST

    def _decode_line_end(self) -> int | None:
        found = self._raw[self._at : self._at + len(_LINE_END)]
        if not _LINE_END.startswith(found):
            raise MalformedChunkError("end of a chunk")
        if found != _LINE_END:
            return None
        self._at += len(_LINE_END)
        is_last = self._next is _Element.LAST_LINE
        self._next = _Element.NOTHING if is_last else _Element.SIZE
        return 0

    def _size_of(self, line: bytes) -> int:
        """Return the size that a line names; chunks in a row often have the same."""
        if line != self._last_line:
            if not _SIZE.fullmatch(line):
                raise MalformedChunkError("size of a chunk")
            self._last_line, self._last_size = line, int(line, 16)
        return self._last_size
