"""Decodes callers' request headers and encodes those for backend servers."""

import dataclasses
import reprlib
from typing import Final

from tornado import httputil

from quincecrank import checked_values, ids
from quincecrank.gateway import deployment, prompts, servers
from quincecrank.platform import names

HOP_BY_HOP: Final = frozenset(
    (
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "content-length", "expect",
    )
)  # fmt: skip
"""Headers, in lower case, of one connection or of the framing of one message."""

MAX_PROMPT_TOKENS: Final = 2**31 - 1
"""Bound of the token counts that callers name; a report to peers holds 32 bits."""

_MAX_DIGITS: Final = 18
"""Digits of a number that fits in 63 bits."""


class HeaderError(Exception):
    """A header of a request is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Headers of a caller's request, parsed.

    Attributes
    ----------
    host : str
        Name of the host, in lower case and without a port.
    api_key : str or None
        Key of the client account.
    remaining_ms : int or None
        Time for which the caller waits for the answer; None if it sets no limit.
    prompt : Prompt or None
        Description of the prompt; None unless this is a model request.
    resume_after : str or None
        Id of the last event that the caller has received of a stream that it resumes;
        None if it begins one.
    first_attempt_id : RequestId or None
        Id of the attempt that brought the first event of a resumed stream, as the
        caller states it.
    """

    request_id: ids.RequestId
    host: str
    api_key: str | None
    remaining_ms: int | None
    prompt: prompts.Prompt | None
    resume_after: str | None = None
    first_attempt_id: ids.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayHeaders:
    """Values of the headers that the gateway sets on a request to a backend server.

    Attributes
    ----------
    server_id : ServerId
        Server that must answer; any other one at its address refuses.
    remaining_ms : int
        Time left until the request's deadline.
    urgency : int or None
        Priority of the request, 0 for the most urgent; None to send none.
    cache_salt : str or None
        Engines share KV cache only between requests with the same salt.
    expected_weights : int or None
        Weight version that the request requires.
    fetch_from, save_to : tuple of str or None
        For each part of the prompt, the address that the engine reads it from or
        writes it to; None for no transfer.
    fetch_until_wall_ms : int or None
        Time in milliseconds since the epoch, on the engine's clock, after which fetched
        parts are not used.
    resume_after : str or None
        Id of the last event of a stream that the caller has received.
    """

    server_id: servers.ServerId
    remaining_ms: int
    account: ids.AccountName | None
    urgency: int | None = None
    cache_salt: str | None = None
    expected_weights: int | None = None
    fetch_from: tuple[str | None, ...] | None = None
    save_to: tuple[str | None, ...] | None = None
    fetch_until_wall_ms: int | None = None
    resume_after: str | None = None


def request_id(headers: httputil.HTTPHeaders) -> str:
    """Return the id of a caller's request; empty without one."""
    return headers.get(names.REQUEST_ID, "")


def decode(headers: httputil.HTTPHeaders) -> CallerHeaders:
    """Decode the headers of a caller's request.

    Raises
    ------
    HeaderError
        If a header is malformed; the message names it.
    """
    return CallerHeaders(
        request_id=ids.RequestId(headers.get(names.REQUEST_ID, "")),
        host=headers.get("Host", "").rpartition(":")[0].lower()
        or headers.get("Host", "").lower(),
        api_key=_parse_api_key(headers.get(names.AUTHORIZATION)),
        remaining_ms=_parse_count(headers, names.DEADLINE),
        prompt=_parse_prompt(headers),
        resume_after=headers.get(names.LAST_EVENT_ID),
        first_attempt_id=_parse_first_attempt(headers),
    )


def encode(
    headers: httputil.HTTPHeaders,
    gateway_headers: GatewayHeaders,
    body_bytes: int | None,
) -> httputil.HTTPHeaders:
    """Return the headers to forward to a backend server.

    Hop-by-hop headers and those that only the gateway may set are removed first.

    Parameters
    ----------
    body_bytes : int or None
        Length of the body in bytes; None for a request without a body.
    """
    connection_names = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    removed = HOP_BY_HOP | names.GATEWAY_ONLY_HEADERS | connection_names
    forwarded = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in removed:
            forwarded.add(name, value)
    forwarded[names.DEADLINE] = str(gateway_headers.remaining_ms)
    forwarded[names.EXPECTED_SERVER] = gateway_headers.server_id
    optional = {
        names.ACCOUNT: _as_header(gateway_headers.account),
        names.URGENCY: gateway_headers.urgency,
        names.CACHE_SALT: _as_header(gateway_headers.cache_salt),
        names.EXPECTED_WEIGHTS: gateway_headers.expected_weights,
        names.FETCH_FROM: _encode_addresses(gateway_headers.fetch_from),
        names.SAVE_TO: _encode_addresses(gateway_headers.save_to),
        names.FETCH_UNTIL: gateway_headers.fetch_until_wall_ms,
        names.LAST_EVENT_ID: gateway_headers.resume_after,
        "Content-Length": body_bytes,
    }
    for name, setting in optional.items():
        if setting is not None:
            forwarded[name] = str(setting)
    return forwarded


def _as_header(text: str | None) -> str | None:
    """Return the UTF-8 of a text as characters of one byte each, for a header."""
    return None if text is None else text.encode().decode("latin-1")


def _parse_first_attempt(headers: httputil.HTTPHeaders) -> ids.RequestId | None:
    value = headers.get(names.FIRST_ATTEMPT, "").strip()
    return ids.RequestId(value) if value else None


def _parse_api_key(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    if scheme.lower() != names.AUTHORIZATION_SCHEME.strip().lower():
        return None
    return key.strip()


def _parse_count(headers: httputil.HTTPHeaders, name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        return _parse_digits(value)
    except ValueError as error:
        raise HeaderError(f"{name}: {error}") from error


def _parse_digits(text: str) -> int:
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > _MAX_DIGITS:
        raise ValueError(f"{reprlib.repr(text)} is not a whole number")
    return int(digits)


def _parse_tokens(text: str) -> int:
    return checked_values.count(_parse_digits(text), MAX_PROMPT_TOKENS)


def _parse_prompt(headers: httputil.HTTPHeaders) -> prompts.Prompt | None:
    model = headers.get(names.MODEL)
    counts = headers.get(names.TOKEN_COUNT)
    if model is None or counts is None:
        return None
    try:
        input_tokens, _, max_output_tokens = counts.partition(",")
        return prompts.Prompt(
            model=deployment.ModelName(model),
            input_tokens=_parse_tokens(input_tokens),
            max_output_tokens=_parse_tokens(max_output_tokens or "0"),
            parts=_parse_parts(headers.get(names.PROMPT_PARTS, "")),
            expected_output_tokens=_parse_count(headers, names.LENGTH_HINT),
        )
    except ValueError as error:
        raise HeaderError(f"prompt headers: {error}") from error


def _parse_parts(value: str) -> tuple[prompts.PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        if entry.strip():
            part_id, _, tokens = entry.strip().partition(":")
            parts.append(
                prompts.PromptPart(prompts.PartId(part_id), _parse_tokens(tokens))
            )
    return tuple(parts)


def _encode_addresses(addresses: tuple[str | None, ...] | None) -> str | None:
    if addresses is None or not any(addresses):
        return None
    return ",".join(address or "-" for address in addresses)
