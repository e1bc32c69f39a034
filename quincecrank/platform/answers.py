"""Decodes the headers of backend servers' answers, and encodes the gateway's own."""

import dataclasses

from tornado import httputil

from quincecrank import clock
from quincecrank.platform import names, requests

_MISDIRECTED = 421
_MIN_SUCCESS = 200
_MIN_REDIRECT = 300


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the status and headers of an answer say.

    Attributes
    ----------
    was_refused : bool
        Whether the server says that the request did not run.
    other_server : str or None
        Id of the server at this address, if another one was expected.
    is_sealed : bool
        Whether the answer carries the server's signature.
    is_success : bool
        Whether the request was carried out.
    is_encoded : bool
        Whether the body is not the server's own bytes.
    """

    status: int
    was_refused: bool
    other_server: str | None
    is_sealed: bool
    is_success: bool
    is_encoded: bool


def decode(status: int, headers: httputil.HTTPHeaders) -> AnswerHead:
    """Decode the head of an answer."""
    is_misdirected = status == _MISDIRECTED
    return AnswerHead(
        status=status,
        was_refused=names.NOT_EXECUTED in headers or is_misdirected,
        other_server=headers.get(names.SERVER_ID) if is_misdirected else None,
        is_sealed=names.SEAL in headers,
        is_success=_MIN_SUCCESS <= status < _MIN_REDIRECT,
        is_encoded="Content-Encoding" in headers,
    )


def belongs_to(headers: httputil.HTTPHeaders, request_id: str) -> bool:
    """Return whether an answer is the one to `request_id`."""
    return headers.get(names.REQUEST_ID, request_id) == request_id


def returned_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Return the headers of an answer that its caller gets."""
    returned = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in requests.HOP_BY_HOP:
            returned.add(name, value)
    return returned


def own_headers(request_id: str, retry_after_ms: int | None) -> httputil.HTTPHeaders:
    """Return the headers of an answer that the gateway gives itself."""
    headers = httputil.HTTPHeaders()
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after_ms is not None:
        headers[names.RETRY_AFTER] = f"{retry_after_ms / clock.MS_PER_SECOND:.3f}"
    return headers
