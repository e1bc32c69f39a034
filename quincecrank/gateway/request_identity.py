"""Identities of a caller's request: as evidence of crashes, and as a stream."""

import hashlib

from quincecrank import crash_counts, ids
from quincecrank.gateway import callers, deployment, stream_versions
from quincecrank.platform import requests


def stream_key(
    route: deployment.Route,
    caller_headers: requests.CallerHeaders,
    account: deployment.Account | None,
) -> stream_versions.StreamKey | None:
    """Return the key of a resumable stream; None if its first attempt is not named."""
    if not (route.is_stream and route.is_resumable):
        return None
    first_attempt = (
        caller_headers.first_attempt_id
        if caller_headers.resume_after
        else caller_headers.request_id
    )
    if not first_attempt:
        return None
    name = account.name if account is not None else None
    return stream_versions.stream_key(name, first_attempt)


def fingerprint(
    request: callers.CallerRequest, account: deployment.Account | None
) -> crash_counts.CrashKey:
    """Return the identity of a request: account, and a hash of method, target, body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(8, "little") + part)
    name = account.name if account is not None else ids.AccountName("")
    return crash_counts.CrashKey(name, digest.digest())
