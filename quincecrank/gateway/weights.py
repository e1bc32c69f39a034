"""Target versions of model weights, and which versions may serve.

Load pattern: an operator sets a new target version under load, and for some seconds
replicas of both versions serve.  The first replicas with the new weights have no KV
cache for them yet and would be overloaded by all requests.  So replicas with outdated
weights go on serving, with a penalty, until shortly before the operator's deadline.

Terms
-----
target version
    The newest version of a model's weights that an operator asked for.
outdated weights
    Weights older than the target version.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from quincecrank.gateway import deployment, servers

OUTDATED_CUTOFF_FRACTION: Final = 0.8
"""Fraction of `max_outdated_ms` after which outdated weights get no requests; the rest
covers the travel time of the update and of a request already sent."""

WITHDRAWAL_FRACTION: Final = 0.9
"""Fraction of `max_outdated_ms` by which requests on outdated weights must have begun.
Streams that have not are withdrawn; the rest covers the travel time of the update and
of the first event, and delays of the gateway."""

MIN_BEGIN_RATIO: Final = 1.5
"""A request is sent on outdated weights if this multiple of its expected time to the
first event remains for it to begin."""

MIN_SINGLE_BEGIN_RATIO: Final = 3.0
"""The same for a request that must not be repeated: once it is withdrawn, it fails."""

OUTDATED_FULL_VALUE_MS: Final = 1_200
"""Time after a target version was set for which outdated weights carry no penalty: for
1.5 seconds their answers are worth as much to the users as new ones; the travel time of
the update and of a request is subtracted."""

OUTDATED_PENALTY_MS: Final = 150.0
"""Penalty of a replica with outdated weights: half of the users' shortest target for a
first event."""


MAX_TARGETS: Final = 8
"""Number of target versions of a model that are retained."""

_UNKNOWN_SINCE_MS: Final = -(2**62)
"""Stands for a time that is not known: the deadline counts as passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetWeights:
    """The target version of a model.

    Attributes
    ----------
    age_ms : int or None
        Time since the first gateway received it; None if it is not known.
    """

    model: deployment.ModelName
    version: int
    age_ms: int | None = 0


class TargetVersions:
    """The target versions of each model; the newest never decreases.

    Each target version has its own deadline, and a newer one does not extend it.  So
    older ones are retained with their times.
    """

    def __init__(self) -> None:
        self._since_ms_by_version_by_model: dict[
            deployment.ModelName, dict[int, int]
        ] = {}

    def record_target(
        self,
        model: deployment.ModelName,
        version: int,
        now_ms: int,
        age_ms: int | None = 0,
    ) -> bool:
        """Record a target version; return whether it is newer than the present one.

        Parameters
        ----------
        age_ms : int or None
            Time since the first gateway received it.  A gateway that was cut off or
            restarted receives it late, while the operator's deadline runs on; so the
            longest age counts.  None if it is not known: the deadline counts as passed
            until an age is recorded.
        """
        since_ms_by_version = self._since_ms_by_version_by_model.setdefault(model, {})
        is_newer = version > max(since_ms_by_version, default=0)
        if age_ms is None:
            since_ms_by_version.setdefault(version, _UNKNOWN_SINCE_MS)
        else:
            since_ms = since_ms_by_version.get(version, _UNKNOWN_SINCE_MS)
            if since_ms == _UNKNOWN_SINCE_MS:
                since_ms = now_ms
            since_ms_by_version[version] = min(now_ms - age_ms, since_ms)
        while len(since_ms_by_version) > MAX_TARGETS:
            oldest, following = sorted(since_ms_by_version)[:2]
            since_ms_by_version[following] = min(
                since_ms_by_version.pop(oldest), since_ms_by_version[following]
            )
        return is_newer

    def to_publish(self, now_ms: int) -> tuple[TargetWeights, ...]:
        """Return the target versions with their ages, for the peers."""
        return tuple(
            TargetWeights(
                model,
                version,
                None if since_ms == _UNKNOWN_SINCE_MS else now_ms - since_ms,
            )
            for model, since_ms_by_version in self._since_ms_by_version_by_model.items()
            for version, since_ms in sorted(since_ms_by_version.items())
        )

    def target_version(self, model: deployment.ModelName) -> int | None:
        """Return the target version of a model; None if none was set."""
        return max(self._since_ms_by_version_by_model.get(model, ()), default=None)

    def target_by_model(self) -> dict[deployment.ModelName, int]:
        """Return the target versions by model."""
        return {
            model: max(since_ms_by_version)
            for model, since_ms_by_version in self._since_ms_by_version_by_model.items()
        }

    def outdated_since_ms(
        self, model: deployment.ModelName, version: int
    ) -> int | None:
        """Return the time since which a version is outdated; None if it is not."""
        return min(
            (
                since_ms
                for newer, since_ms in self._since_ms_by_version_by_model.get(
                    model, {}
                ).items()
                if newer > version
            ),
            default=None,
        )

    def outdated_penalty_ms(
        self, model: deployment.ModelName, version: int, now_ms: int
    ) -> float:
        """Return the penalty of a replica with this version of the weights.

        Zero for the target version, and for all within `OUTDATED_FULL_VALUE_MS` after
        a newer one was set.
        """
        since_ms = self.outdated_since_ms(model, version)
        if since_ms is None or now_ms - since_ms < OUTDATED_FULL_VALUE_MS:
            return 0.0
        return OUTDATED_PENALTY_MS

    def may_serve(
        self,
        model: deployment.ModelName,
        version: int,
        now_ms: int,
        max_outdated_ms: int,
    ) -> bool:
        """Return whether replicas with this version may get requests.

        Parameters
        ----------
        max_outdated_ms : int
            Time after a newer target version was set for which the operator accepts
            answers of outdated weights.  Requests go to them for
            `OUTDATED_CUTOFF_FRACTION` of it.
        """
        since_ms = self.outdated_since_ms(model, version)
        return (
            since_ms is None
            or now_ms - since_ms < max_outdated_ms * OUTDATED_CUTOFF_FRACTION
        )

    def begin_limit_ms(
        self, model: deployment.ModelName, version: int, max_outdated_ms: int
    ) -> float | None:
        """Return the time by which requests must have begun on a version.

        None for a version that is not outdated.  See `may_serve` for `max_outdated_ms`.
        """
        since_ms = self.outdated_since_ms(model, version)
        if since_ms is None:
            return None
        return since_ms + max_outdated_ms * WITHDRAWAL_FRACTION

    def eligible_replicas(
        self,
        candidates: Iterable[servers.ServerEntry],
        model: deployment.ModelName,
        now_ms: int,
        max_outdated_ms: int,
    ) -> tuple[servers.ServerEntry, ...]:
        """Return the replicas of a model that may get requests, see `may_serve`."""
        return tuple(
            each
            for each in candidates
            if model in each.weight_versions_by_model
            and self.may_serve(
                model, each.weight_versions_by_model[model], now_ms, max_outdated_ms
            )
        )
