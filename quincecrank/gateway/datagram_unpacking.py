"""Unpacks datagrams whose message has several segments; performs no I/O.

The message library reads the segments after the first one only when they are needed,
and ends the process if they are cut short.  A whole message in memory has no such
reads.

Invariant
    Any bytes give a message of at most `MAX_MESSAGE_BYTES` or a `ValueError`.

Load pattern: gateways send one segment, which isn't unpacked here.  Gateways of earlier
releases send several in messages of more than 8 kB, and anybody may send any bytes.

Terms
-----
packed
    Each word of 8 bytes is sent as a tag, which tells its bytes other than 0, and those
    bytes.  After a word of zeros, or one without any, a byte counts further words of
    its kind.
"""

from typing import Final

MAX_MESSAGE_BYTES: Final = 1024 * 1024
"""Longest message, some times as long as what a datagram of a gateway unpacks to."""

_WORD_BYTES: Final = 8
_ZERO_WORD: Final = bytes(_WORD_BYTES)
_ALL_BYTES: Final = 0xFF
_SEGMENT_COUNT_TAGS: Final = 0x0F
"""Tags of the first four bytes of a message: the number of segments less one."""

_OFFSETS_BY_TAG: Final = tuple(
    tuple(offset for offset in range(_WORD_BYTES) if tag >> offset & 1)
    for tag in range(_ALL_BYTES + 1)
)


def has_several_segments(packed: bytes) -> bool:
    """Return whether a packed message may have more than one segment."""
    return bool(packed) and packed[0] & _SEGMENT_COUNT_TAGS != 0


def unpack(packed: bytes) -> bytes:
    """Return a message in the form that the library reads from memory.

    Raises
    ------
    ValueError
        If it is cut short or too long.
    """
    message = bytearray()
    at, end = 0, len(packed)
    while at < end:
        tag = packed[at]
        offsets = _OFFSETS_BY_TAG[tag]
        literals = packed[at + 1 : at + 1 + len(offsets)]
        at += 1 + len(offsets)
        has_run = tag in (0, _ALL_BYTES)
        if at + has_run > end:
            raise ValueError("a packed message is cut short")
        if tag == _ALL_BYTES:
            run_end = at + 1 + packed[at] * _WORD_BYTES
            if run_end > end:
                raise ValueError("a packed message is cut short")
            message += literals
            message += packed[at + 1 : run_end]
            at = run_end
        elif tag == 0:
            message += _ZERO_WORD * (1 + packed[at])
            at += 1
        else:
            begin = len(message)
            message += _ZERO_WORD
            for offset, literal in zip(offsets, literals, strict=True):
                message[begin + offset] = literal
        if len(message) > MAX_MESSAGE_BYTES:
            raise ValueError("a packed message is too long")
    return bytes(message)
