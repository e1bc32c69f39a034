"""Checks values that other programs have written, before any step depends on them.

What passes can be hashed, logged, published in the messages between processes, exported
as a metric's label and, for `token` and addresses, sent in a header or connected to.
Every defect raises `ValueError`, whose text is short.
"""

import ipaddress
import re
import reprlib
from typing import Final

MAX_NAME_BYTES: Final = 200
"""Longest name: the bound of the platform store's keys."""

MAX_UINT16: Final = 2**16 - 1
MAX_UINT32: Final = 2**32 - 1
MAX_UINT63: Final = 2**63 - 1

_MAX_PORT: Final = 65_535
_MAX_PORT_DIGITS: Final = 5
_UNSAFE: Final = re.compile("[\0-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
_TOKEN: Final = re.compile(f"[!-~]{{1,{MAX_NAME_BYTES}}}")


def name(value: object, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Return a non-empty text without control characters and unpaired surrogates.

    It has at most `max_bytes` bytes in UTF-8.
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= max_bytes
        or _UNSAFE.search(value)
        or len(value.encode()) > max_bytes
    ):
        raise ValueError(f"{reprlib.repr(value)} is not a name")
    return value


def token(value: object) -> str:
    """Return a name of visible ASCII characters, as a header may contain it."""
    if not isinstance(value, str) or not _TOKEN.fullmatch(value):
        raise ValueError(f"{reprlib.repr(value)} is not a token")
    return value


def count(value: object, limit: int = MAX_UINT63) -> int:
    """Return an integer from 0 to `limit`; a boolean is none."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= limit:
        raise ValueError(f"{reprlib.repr(value)} is not a count up to {limit}")
    return value


def ip_address(value: object) -> str:
    """Return a literal IPv4 address; other addresses would need a resolver."""
    return str(ipaddress.IPv4Address(token(value)))


def endpoint(value: object) -> str:
    """Return IP:PORT with a literal IPv4 address and a port from 1."""
    text = token(value)
    ip, _, port = text.rpartition(":")
    is_port = (
        port.isdigit() and len(port) <= _MAX_PORT_DIGITS and 0 < int(port) <= _MAX_PORT
    )
    if not is_port:
        raise ValueError(f"{reprlib.repr(value)} is not IP:PORT")
    ip_address(ip)
    return text
