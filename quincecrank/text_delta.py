"""Encodes a text as its difference from an earlier one.

Load pattern: one route of a configuration with a thousand changes.  The text of all of
them takes tens of kilobytes, the difference some hundred bytes, which fit in one
datagram.

Terms
-----
segment
    Part of a text from one opening brace up to the next; in JSON, an object's text.
"""

import json
import zlib
from typing import Final

MAX_TEXT_CHARACTERS: Final = 4 * 1024 * 1024
"""Longest text that a difference may result in."""

_BOUNDARY: Final = "{"


def encode(base: str, text: str) -> bytes:
    """Return the difference of `text` from `base`, compressed."""
    number_by_segment: dict[str, int] = {}
    for number, segment in enumerate(_segments(base)):
        number_by_segment.setdefault(segment, number)
    parts: list[str | list[int]] = []
    for segment in _segments(text):
        found = number_by_segment.get(segment)
        last = parts[-1] if parts else None
        if found is None:
            if isinstance(last, str):
                parts[-1] = last + segment
            else:
                parts.append(segment)
        elif isinstance(last, list) and sum(last) == found:
            last[1] += 1
        else:
            parts.append([found, 1])
    document = {"check": _checksum(text), "parts": parts}
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode())


def decode(base: str, difference: bytes) -> str:
    """Return the text that a difference from `base` stands for.

    Raises
    ------
    ValueError
        If the difference is malformed, belongs to another base, or results in more
        than `MAX_TEXT_CHARACTERS`.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(difference, MAX_TEXT_CHARACTERS)
    except zlib.error as error:
        raise ValueError(f"compressed difference: {error}") from error
    if not decompressor.eof:
        raise ValueError("the difference is truncated or too long")
    try:
        document = json.loads(encoded)
        text = _joined(_segments(base), document["parts"])
        check = document["check"]
    except (KeyError, IndexError, TypeError, RecursionError) as error:
        raise ValueError(f"difference: {error!r}") from error
    if check != _checksum(text):
        raise ValueError("the difference belongs to another text")
    return text


def _joined(segments: list[str], parts: list[str | list[int]]) -> str:
    pieces: list[str] = []
    length = 0
    for part in parts:
        if isinstance(part, str):
            piece = part
        else:
            first, count = part
            if not 0 <= first < first + count <= len(segments):
                raise ValueError("the difference names a missing segment")
            piece = "".join(segments[first : first + count])
        length += len(piece)
        if length > MAX_TEXT_CHARACTERS:
            raise ValueError("the text is too long")
        pieces.append(piece)
    return "".join(pieces)


def _segments(text: str) -> list[str]:
    first, *others = text.split(_BOUNDARY)
    return [first, *(_BOUNDARY + segment for segment in others)]


def _checksum(text: str) -> int:
    return zlib.crc32(text.encode(errors="surrogatepass"))
