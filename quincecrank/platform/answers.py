"""Decodes headers of backend servers' answers and encodes those of gateway answers."""

import dataclasses
import math
from typing import Final

from tornado import httputil

from quincecrank import clock
from quincecrank.platform import names, requests

MAX_PAUSE_MS: Final = 60_000
"""Longest pause that a server can request.  A longer one is treated as a mistake and
shortened to this, as the server would be unavailable to all callers."""

MAX_RATE_LIMIT_PER_S: Final = 100_000.0
"""Highest rate limit; a higher one is lowered to this, which no server reaches."""

_MAX_DIGITS: Final = 9
"""Most digits of a time in milliseconds that is read."""

_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_MAX_LOGGED_CHARACTERS: Final = 64
_MIN_SUCCESS: Final = 200
_MIN_REDIRECT: Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, parsed.

    Attributes
    ----------
    was_refused : bool
        Whether the server declares that it did not run the request.
    actual_server : str or None
        Id of the server that answered, if it is not the expected one.
    is_sealed : bool
        Whether the answer carries the server's signature.
    is_success : bool
        Whether the status is 2xx.
    is_encoded : bool
        Whether the body has a content encoding and so is not the server's own bytes.
    is_leaving : bool
        Whether the server is about to shut down and should get no new requests.
    pause_ms : int or None
        Time for which this VM should send the server no requests; None if it requests
        no pause.
    rate_limit_per_s : float or None
        Requests a second that the server takes from all gateways together; None if it
        names no limit.
    unreadable_rate_limit : str or None
        Value of a rate limit that is not a finite number of at least 0.  The answer
        then tells nothing about the limit.
    cold_ms : int or None
        Time for which the server stays cold; None if it does not say.
    """

    status: int
    was_refused: bool
    actual_server: str | None
    is_sealed: bool
    is_success: bool
    is_encoded: bool
    is_leaving: bool = False
    pause_ms: int | None = None
    rate_limit_per_s: float | None = None
    unreadable_rate_limit: str | None = None
    cold_ms: int | None = None


def decode(status: int, headers: httputil.HTTPHeaders) -> AnswerHead:
    """Decode the head of an answer."""
    is_misdirected = status == _MISDIRECTED
    rate_limit_per_s, unreadable_rate_limit = _rate_limit(headers)
    return AnswerHead(
        status=status,
        was_refused=names.NOT_EXECUTED in headers or is_misdirected,
        actual_server=headers.get(names.SERVER_ID) if is_misdirected else None,
        is_sealed=names.SEAL in headers,
        is_success=_MIN_SUCCESS <= status < _MIN_REDIRECT,
        is_encoded="Content-Encoding" in headers,
        is_leaving=declares_leaving(headers) and not is_misdirected,
        pause_ms=_pause_ms(status, headers),
        rate_limit_per_s=rate_limit_per_s,
        unreadable_rate_limit=unreadable_rate_limit,
        cold_ms=None if is_misdirected else _cold_ms(headers),
    )


def declares_leaving(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the answer declares that the server is about to shut down."""
    return headers.get(names.SERVER_LEAVING, "").strip() == "1"


def _cold_ms(headers: httputil.HTTPHeaders) -> int | None:
    value = headers.get(names.COLD_REMAINING, "").strip()
    is_number = value.isascii() and value.isdigit()
    return int(value) if is_number and len(value) <= _MAX_DIGITS else None


def _pause_ms(status: int, headers: httputil.HTTPHeaders) -> int | None:
    value = headers.get(names.RETRY_AFTER)
    if status != _UNAVAILABLE or value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if math.isnan(seconds) or seconds < 0:
        return None
    return round(min(seconds * clock.MS_PER_SECOND, MAX_PAUSE_MS))


def _rate_limit(headers: httputil.HTTPHeaders) -> tuple[float | None, str | None]:
    """Return the lowest readable rate limit, or the text of an unreadable one."""
    texts = [
        text.strip()
        for value in headers.get_list(names.SERVER_RATE_LIMIT)
        for text in value.split(",")
    ]
    readable = [limit for text in texts if (limit := _parse_limit(text)) is not None]
    if readable:
        return min(readable), None
    return None, ",".join(texts)[:_MAX_LOGGED_CHARACTERS] if texts else None


def _parse_limit(text: str) -> float | None:
    try:
        limit = float(text)
    except ValueError:
        return None
    if not math.isfinite(limit) or limit < 0:
        return None
    return min(limit, MAX_RATE_LIMIT_PER_S)


def names_request(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the answer carries a request id."""
    return names.REQUEST_ID in headers


def matches_request(headers: httputil.HTTPHeaders, request_id: str) -> bool:
    """Return whether the answer carries `request_id` or no request id."""
    return headers.get(names.REQUEST_ID, request_id) == request_id


def returned_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Return the headers that are passed on to the caller: all but hop-by-hop ones."""
    returned = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in requests.HOP_BY_HOP:
            returned.add(name, value)
    return returned


def gateway_answer_headers(
    request_id: str, retry_after_ms: int | None
) -> httputil.HTTPHeaders:
    """Return the headers of an answer that the gateway generates itself."""
    headers = httputil.HTTPHeaders()
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after_ms is not None:
        headers[names.RETRY_AFTER] = f"{retry_after_ms / clock.MS_PER_SECOND:.3f}"
    return headers
