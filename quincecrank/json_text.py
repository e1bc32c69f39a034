"""Parses JSON of other programs; whatever is wrong with it is a `ValueError`."""

import json
import math
from typing import Any, Final, NoReturn

MAX_NUMBER: Final = 2**63 - 1
"""Largest whole number: what 64 bits hold, as messages between processes do."""


def parse(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    ValueError
        If the text is no JSON, is nested too deeply, or has a number that is not
        finite or has more than 64 bits.
    """
    try:
        return json.loads(
            text,
            parse_constant=_refuse_constant,
            parse_float=_finite,
            parse_int=_bounded,
        )
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _finite(digits: str) -> float:
    value = float(digits)
    if not math.isfinite(value):
        raise ValueError(f"{digits} is not finite")
    return value


def _bounded(digits: str) -> int:
    value = int(digits)
    if abs(value) > MAX_NUMBER:
        raise ValueError("a number of more than 64 bits")
    return value
