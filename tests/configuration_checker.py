"""Checks which configuration the gateways of a soak answered by.

CONFIG is broken by a request that
- is sent later than the apply limit after a version was acknowledged and handled as
  only an older one allows, by an undisturbed gateway ("late");
- is handled as only an older version allows, later than `DOWNGRADE_SLACK_MS` after the
  effect of a newer one was seen at the same process ("older");
- is handled as no valid version allows that was sent until then ("invalid");
- and by undisturbed gateways that serve requests on added routes less than a quarter as
  often as those on the first routes ("not served").

Terms
-----
handled
    Run by a service, or refused as an unknown route or key.  Any other answer is
    allowed by every version.
undisturbed
    Not started, signalled, suspended, cut off or slowed down for `CONTACT_MS`.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

CONTACT_MS: Final = 3_000
DOWNGRADE_SLACK_MS: Final = 250
SLOWED_FACTOR: Final = 8
"""Factor of `DOWNGRADE_SLACK_MS` at gateways that are disturbed."""

MIN_ADDED_REQUESTS: Final = 20
MIN_SERVED_RATIO: Final = 0.25

_OK: Final = 200
_UNKNOWN_KEY: Final = 401
_UNKNOWN_ROUTE: Final = 404


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration that the operator has written.

    Attributes
    ----------
    services_by_prefix : mapping
        Services that may run requests of a route.
    """

    number: int
    sent_ms: float
    acknowledged_ms: float
    is_valid: bool
    services_by_prefix: Mapping[str, frozenset[str]]
    keys: frozenset[str]

    def allows(self, probe: "Probe") -> bool:
        """Return whether this version allows the way in which a request was handled."""
        services = self.services_by_prefix.get(probe.prefix)
        if probe.status == _UNKNOWN_ROUTE:
            return services is None
        if probe.status == _UNKNOWN_KEY:
            return services is not None and probe.key not in self.keys
        return (
            services is not None
            and probe.key in self.keys
            and probe.service in services
        )


@dataclasses.dataclass(frozen=True)
class Probe:
    """A request and how it was handled.

    Attributes
    ----------
    process : int
        Number of the gateway's process.
    prefix : str
        Prefix that its path begins with.
    status : int
        0 for none.
    service : str
        Service that ran it; empty for none.
    """

    request_id: str
    gateway: str
    process: int
    prefix: str
    key: str
    sent_ms: float
    ended_ms: float
    status: int
    service: str

    @property
    def is_handled(self) -> bool:
        """Whether the answer shows which versions may be in force."""
        if self.status == _OK:
            return bool(self.service)
        return self.status in (_UNKNOWN_KEY, _UNKNOWN_ROUTE)


Intervals = Mapping[str, Sequence[tuple[float, float]]]


def violations(
    versions: Sequence[Version],
    probes: Iterable[Probe],
    disturbed_by_gateway: Intervals,
    apply_ms: float,
) -> list[str]:
    """Return a line for each violation.

    Parameters
    ----------
    versions : sequence of Version
        In the order in which they were written.
    disturbed_by_gateway : mapping
        Beginnings and ends of disturbances by gateway.
    apply_ms : float
        Time within which a version must be in force.
    """
    lines = []
    seen_by_process: dict[tuple[str, int], list[tuple[float, int]]] = {}
    counts: dict[bool, collections.Counter[str]] = {
        False: collections.Counter(),
        True: collections.Counter(),
    }
    for probe in sorted(probes, key=lambda each: each.sent_ms):
        is_disturbed = overlaps(
            disturbed_by_gateway.get(probe.gateway, ()), probe.sent_ms, probe.ended_ms
        )
        _count(counts, versions, probe, apply_ms, is_excused=is_disturbed)
        if not probe.is_handled:
            continue
        allowing = [
            version.number
            for version in versions
            if version.is_valid
            and version.sent_ms <= probe.ended_ms
            and version.allows(probe)
        ]
        shown = f"{probe.request_id} {probe.prefix} {probe.status} {probe.service}"
        if not allowing:
            lines.append(f"CONFIG invalid: {shown}")
            continue
        due = max(
            (
                version.number
                for version in versions
                if version.is_valid
                and version.acknowledged_ms + apply_ms < probe.sent_ms
            ),
            default=0,
        )
        if not is_disturbed and max(allowing) < due:
            lines.append(f"CONFIG late: {shown} as {max(allowing)}, due {due}")
        slack_ms = DOWNGRADE_SLACK_MS * (SLOWED_FACTOR if is_disturbed else 1)
        seen = seen_by_process.setdefault((probe.gateway, probe.process), [])
        newest = max(
            (version for at_ms, version in seen if at_ms + slack_ms < probe.sent_ms),
            default=0,
        )
        if max(allowing) < newest:
            lines.append(f"CONFIG older: {shown} as {max(allowing)}, seen {newest}")
        seen.append((probe.ended_ms, min(allowing)))
    return lines + _not_served(counts)


def overlaps(
    disturbed: Sequence[tuple[float, float]], began_ms: float, ended_ms: float
) -> bool:
    """Return whether a disturbance lies in a time or `CONTACT_MS` before it."""
    return any(
        disturbed_ms <= ended_ms and began_ms <= calm_ms + CONTACT_MS
        for disturbed_ms, calm_ms in disturbed
    )


def _count(
    counts: dict[bool, collections.Counter[str]],
    versions: Sequence[Version],
    probe: Probe,
    apply_ms: float,
    *,
    is_excused: bool,
) -> None:
    """Count a request that every version allows that may be in force, by its route."""
    due_numbers = [
        version.number
        for version in versions
        if version.is_valid and version.acknowledged_ms + apply_ms < probe.sent_ms
    ]
    if is_excused or not due_numbers:
        return
    possible = [
        version
        for version in versions
        if version.is_valid
        and version.number >= due_numbers[-1]
        and version.sent_ms <= probe.ended_ms
    ]
    if all(
        probe.prefix in version.services_by_prefix and probe.key in version.keys
        for version in possible
    ):
        is_added = probe.prefix not in versions[0].services_by_prefix
        counts[is_added]["all"] += 1
        counts[is_added]["served"] += probe.status == _OK


def _not_served(counts: dict[bool, collections.Counter[str]]) -> list[str]:
    added, first = counts[True], counts[False]
    if added["all"] < MIN_ADDED_REQUESTS or not first["all"]:
        return []
    ratio = added["served"] / added["all"]
    first_ratio = first["served"] / first["all"]
    if ratio >= MIN_SERVED_RATIO * first_ratio:
        return []
    return [
        f"CONFIG not served: {added['served']} of {added['all']} on added routes,"
        f" {first['served']} of {first['all']} on the first ones"
    ]
