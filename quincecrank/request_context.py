"""The data of one caller request that every stage of its processing uses."""

import dataclasses
import hashlib

from quincecrank import clock as clocks
from quincecrank import configuration, crash_counts, entry_view, ids


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """An authenticated request with its deadline and priority.

    Attributes
    ----------
    deadline_at_ms : int
        Monotonic time of this process by which the answer must be complete.
    priority : int
        Requests of higher priority run first.
    fingerprint : str
        Digest of the request in hex; equal requests have equal digests.
    open_request : OpenRequest
        Progress of the request as operators' queries show it.
    """

    request_id: ids.RequestId
    account: configuration.Account
    deployment: configuration.Deployment
    configuration_version: ids.ConfigurationVersion
    deadline_at_ms: int
    priority: int
    fingerprint: str
    open_request: entry_view.OpenRequest

    def remaining_ms(self, clock: clocks.Clock) -> int:
        """Return the time until the deadline, 0 once it has passed."""
        return max(0, self.deadline_at_ms - clock.now_ms())

    def crash_key(self) -> crash_counts.CrashKey:
        """Return the key under which crashes of backend servers are counted."""
        digest = bytes.fromhex(self.fingerprint)
        return crash_counts.CrashKey(self.account.name, digest)


def fingerprint(*parts: bytes) -> str:
    """Return a digest of the parts of a request in hex; each length is hashed too."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.hexdigest()
