"""Decides whether a gateway may answer by the configuration that it has in force.

Invariants
    The version in force never decreases within a process.  No request is served by a
    version if a newer one has been known here for half of the time within which changes
    must apply, and not refused as unknown unless the version in force is known to have
    been the newest within that time.

Load pattern: a gateway with a late event loop, or a slow link, does not get a change in
time, while its peers have it and say so in their reports.  Another gateway can serve
its callers; a request that it serves itself may go to a service that was replaced, or
with a key that was revoked.

Terms
-----
newer version
    A version above the one in force that a live peer has.
void
    A version that a peer has and the store lacks, by a read after the store was
    restored from a snapshot.  Its operator writes again what that lost.
"""

import dataclasses
from typing import Final

SERVED_FRACTION: Final = 0.5
"""Fraction of the time within which changes must apply for which a gateway serves on
after a newer version became known: the change has taken part of that time already, and
a request is judged by when it was sent."""

EVIDENCE_RETENTION_MS: Final = 1_500
"""Time without a report of a live peer after which its version no longer counts: no
gateway may have it then, and refusing would help no caller."""

MAX_NEWER_VERSIONS: Final = 64
"""Newer versions whose times are kept; the oldest one decides."""


@dataclasses.dataclass(slots=True)
class _Evidence:
    """When the first gateway had a version, and when a peer last reported it."""

    known_ms: int
    reported_ms: int


class ConfigurationCurrency:
    """The version in force, and what is known of newer ones; performs no I/O.

    Parameters
    ----------
    apply_limit_ms : int
        Time within which a change must be in force at all gateways.

    Attributes
    ----------
    version : int or None
        Version in force; None before the first one.
    known_ms : int or None
        Time at which the first gateway had it, as far as is known here; None for the
        first version of a process.
    delay_ms : int or None
        Time from then until it was in force here.
    """

    def __init__(self, apply_limit_ms: int) -> None:
        self.apply_limit_ms = apply_limit_ms
        self.version: int | None = None
        self.known_ms: int | None = None
        self.delay_ms: int | None = None
        self._newer_by_version: dict[int, _Evidence] = {}
        self._confirmed_ms: int | None = None
        self._restored_ms: int | None = None

    def accepts(self, version: int) -> bool:
        """Return whether a version may be put in force."""
        return self.version is None or version > self.version

    def record_in_force(self, version: int, now_ms: int, known_ms: int | None) -> None:
        """Record that a version is in force.

        Parameters
        ----------
        known_ms : int or None
            Time at which the first gateway had it, by its sender; None if not known.

        Raises
        ------
        ValueError
            If the version is not newer.
        """
        if not self.accepts(version):
            raise ValueError(f"version {version} after {self.version}")
        is_first = self.version is None
        evidence = self._newer_by_version.get(version)
        times_ms = [now_ms, *([] if known_ms is None else [known_ms])]
        times_ms += [] if evidence is None else [evidence.known_ms]
        self.version = version
        self.known_ms = None if is_first else min(times_ms)
        for each in [each for each in self._newer_by_version if each <= version]:
            del self._newer_by_version[each]
        self.delay_ms = None if self.known_ms is None else now_ms - self.known_ms

    def record_report(self, version: int, age_ms: int | None, now_ms: int) -> None:
        """Record the version that a peer has in force.

        Parameters
        ----------
        age_ms : int or None
            Time since the first gateway had it; None if the peer does not know.
        """
        if self.version is None or version <= self.version:
            return
        evidence = self._newer_by_version.get(version)
        known_ms = now_ms - (age_ms or 0)
        if evidence is not None:
            evidence.known_ms = min(evidence.known_ms, known_ms)
            evidence.reported_ms = now_ms
        elif len(self._newer_by_version) < MAX_NEWER_VERSIONS:
            self._newer_by_version[version] = _Evidence(known_ms, now_ms)

    def record_store_read(self, version: int | None, asked_ms: int) -> None:
        """Record the version that the store had when it was read, or later.

        Parameters
        ----------
        version : int or None
            None if the store has no configuration.
        asked_ms : int
            Time before the store was asked.
        """
        if self.version is not None and (version is None or version <= self.version):
            self._confirmed_ms = asked_ms

    def handle_restore(self, now_ms: int) -> None:
        """Record that the store was restored from a snapshot."""
        self._restored_ms = now_ms

    def newer_since_ms(self, now_ms: int) -> int | None:
        """Return since when a newer version has been known; None if there is none."""
        return min(
            (
                each.known_ms
                for each in self._newer_by_version.values()
                if now_ms - each.reported_ms <= EVIDENCE_RETENTION_MS
                and not self._is_void(each)
            ),
            default=None,
        )

    def may_serve(self, now_ms: int) -> bool:
        """Return whether requests may be served by the version in force."""
        if not self._newer_by_version:
            return True
        since_ms = self.newer_since_ms(now_ms)
        limit_ms = self.apply_limit_ms * SERVED_FRACTION
        return since_ms is None or now_ms - since_ms < limit_ms

    def may_refuse(self, confirmed_age_ms: int | None) -> bool:
        """Return whether a route or key may be called unknown.

        Parameters
        ----------
        confirmed_age_ms : int or None
            Time since the store had no newer configuration than this gateway; None if
            that is not known.
        """
        return confirmed_age_ms is not None and confirmed_age_ms < self.apply_limit_ms

    def _is_void(self, evidence: _Evidence) -> bool:
        if self._restored_ms is None or self._confirmed_ms is None:
            return False
        return evidence.known_ms < self._restored_ms <= self._confirmed_ms
