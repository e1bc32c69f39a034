"""Parses JSON from other programs; every defect raises `ValueError`."""

import json
import math
from typing import Any, Final, NoReturn

MAX_NUMBER: Final = 2**63 - 1
"""Largest absolute value of an integer; messages between processes hold 64 bits."""


def parse(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    ValueError
        If the text is not JSON, is nested too deeply, or has a number that is not
        finite or does not fit in 64 bits.
    """
    try:
        return json.loads(
            text,
            parse_constant=_reject_constant,
            parse_float=_parse_finite,
            parse_int=_parse_bounded,
        )
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _parse_finite(digits: str) -> float:
    value = float(digits)
    if not math.isfinite(value):
        raise ValueError(f"{digits} is not finite")
    return value


def _parse_bounded(digits: str) -> int:
    value = int(digits)
    if abs(value) > MAX_NUMBER:
        raise ValueError("a number of more than 64 bits")
    return value
