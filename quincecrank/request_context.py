"""What the whole pipeline needs to know of one request."""

import dataclasses
import hashlib

from quincecrank import clock as clocks
from quincecrank import configuration, crash_counts, entry_view, ids


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """One authenticated request.

    Attributes
    ----------
    deadline_at_ms : int
        Instant of this process's clock at which the answer is of no more use.
    priority : int
        Higher runs first.
    fingerprint : str
        Digest of the request in hex; equal requests have equal ones.
    shown : OpenRequest
        What operators see of the request.
    """

    request_id: ids.RequestId
    account: configuration.Account
    deployment: configuration.Deployment
    configuration_version: ids.ConfigurationVersion
    deadline_at_ms: int
    priority: int
    fingerprint: str
    shown: entry_view.OpenRequest

    def left_ms(self, clock: clocks.Clock) -> int:
        """Return the time left, 0 when the deadline has passed."""
        return max(0, self.deadline_at_ms - clock.now_ms())

    def crash_key(self) -> crash_counts.RequestFingerprint:
        """Return the key under which crashes of backend servers are counted."""
        digest = bytes.fromhex(self.fingerprint)
        return crash_counts.RequestFingerprint(self.account.name, digest)


def fingerprint(*parts: bytes) -> str:
    """Return a digest of the parts of a request, in hex."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.hexdigest()
