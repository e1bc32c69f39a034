"""Parsers of the command language's values: numbers, sizes, durations, names.

Each function returns the value of a word, or raises `ValueError` with a message for
the operator.
"""

import enum
import re
from collections.abc import Callable
from typing import Final

from quincecrank import messages

_QUANTITY: Final = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s*([A-Za-z/]*)")
_WHOLE: Final = re.compile(r"[0-9]{1,15}")
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_VERSION: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@/+-]{0,127}")
_PATH: Final = re.compile(r"/[A-Za-z0-9._~/{}*+@%-]{0,255}")
_METHODS: Final = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")

_BYTES_BY_UNIT: Final = {
    "B": 1,
    "kB": 10**3,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
    "KiB": 2**10,
    "MiB": 2**20,
    "GiB": 2**30,
    "TiB": 2**40,
}
_MS_BY_UNIT: Final = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
_RATE_SUFFIX: Final = "/s"


def number(text: str) -> float:
    """Parse a number that is not negative."""
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2]:
        raise ValueError(f"{text!r} is not a number of 0 or more")
    return float(match[1])


def whole_number(text: str) -> int:
    """Parse a whole number that is not negative."""
    if not _WHOLE.fullmatch(text):
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def size(text: str) -> int:
    """Parse a size such as ``4GiB``; return bytes."""
    return _parse_quantity(text, _BYTES_BY_UNIT, "a size; write B, kB, MiB, GiB, ...")


def rate(text: str) -> int:
    """Parse a rate such as ``200MB/s``; return bytes per second."""
    expected = "a rate; write B/s, kB/s, MB/s, MiB/s, ..."
    if not text.endswith(_RATE_SUFFIX):
        raise ValueError(f"{text!r} is not {expected}")
    return _parse_quantity(text.removesuffix(_RATE_SUFFIX), _BYTES_BY_UNIT, expected)


def duration(text: str) -> int:
    """Parse a duration such as ``30s``; return milliseconds."""
    return _parse_quantity(text, _MS_BY_UNIT, "a duration; write ms, s, min or h")


def comparison_value(text: str) -> float:
    """Parse the number of a condition, which may be negative or have a unit.

    Sizes are returned in bytes, rates in bytes per second, durations in milliseconds.
    """
    sign = -1 if text.startswith("-") else 1
    for read in (number, size, rate, duration):
        try:
            return sign * read(text.removeprefix("-"))
        except ValueError:
            continue
    raise ValueError(f"{text!r} is not a number, size, rate or duration")


def _parse_quantity(text: str, factor_by_unit: dict[str, int], expected: str) -> int:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in factor_by_unit:
        raise ValueError(f"{text!r} is not {expected}")
    return round(float(match[1]) * factor_by_unit[match[2]])


def yes_or_no(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is not yes or no")
    return text == "yes"


def name(text: str) -> str:
    """Check a name of at most 63 letters, digits, dots, underscores and hyphens."""
    if not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name; write up to 63 letters, digits and . _ -,"
            " the first a letter or digit"
        )
    return text


def version(text: str) -> str:
    """Check the name of a weight version."""
    if not _VERSION.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a weight version; write letters, digits and . _ @ / + -"
        )
    return text


def path(text: str) -> str:
    """Check the path of a route."""
    if not _PATH.fullmatch(text):
        raise ValueError(f"{text!r} is not a path; write / first and no query")
    return text


def method(text: str) -> str:
    """Parse an HTTP method; return it in upper case."""
    if text.upper() not in _METHODS:
        raise ValueError(f"{text!r} is not one of {', '.join(_METHODS)}")
    return text.upper()


def choice(allowed: type[enum.Enum]) -> Callable[[str], str]:
    """Return a parser that accepts the values of an Enum of strings."""
    values = [str(item.value) for item in allowed]

    def read(text: str) -> str:
        if text not in values:
            raise ValueError(f"{text!r} is not {messages.alternatives(values)}")
        return text

    return read
