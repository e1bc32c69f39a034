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

OUTDATED_FULL_VALUE_MS: Final = 1_200
"""Time after a target version was set for which outdated weights carry no penalty: for
1.5 seconds their answers are worth as much to the users as new ones; the travel time of
the update and of a request is subtracted."""

OUTDATED_PENALTY_MS: Final = 150.0
"""Penalty of a replica with outdated weights: half of the users' shortest target for a
first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    version: int
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetWeights:
    """The target version of a model.

    Attributes
    ----------
    age_ms : int
        Time since the first gateway received it.
    """

    model: deployment.ModelName
    version: int
    age_ms: int = 0


class TargetVersions:
    """The target version of each model, which never decreases."""

    def __init__(self) -> None:
        self._target_by_model: dict[deployment.ModelName, _Target] = {}

    def record_target(
        self,
        model: deployment.ModelName,
        version: int,
        now_ms: int,
        age_ms: int = 0,
    ) -> bool:
        """Record a target version; return whether it is newer than the present one.

        Parameters
        ----------
        age_ms : int
            Time since the first gateway received it.  A gateway that was cut off or
            restarted receives it late, while the operator's deadline runs on; so the
            longest age counts.
        """
        present = self._target_by_model.get(model)
        received = _Target(version, now_ms - age_ms)
        if present is not None and present.version == version:
            if received.since_ms < present.since_ms:
                self._target_by_model[model] = received
            return False
        if present is not None and present.version > version:
            return False
        self._target_by_model[model] = received
        return True

    def to_publish(self, now_ms: int) -> tuple[TargetWeights, ...]:
        """Return the target versions with their ages, for the peers."""
        return tuple(
            TargetWeights(model, target.version, now_ms - target.since_ms)
            for model, target in self._target_by_model.items()
        )

    def target_version(self, model: deployment.ModelName) -> int | None:
        """Return the target version of a model; None if none was set."""
        target = self._target_by_model.get(model)
        return target.version if target else None

    def target_by_model(self) -> dict[deployment.ModelName, int]:
        """Return the target versions by model."""
        return {
            model: target.version for model, target in self._target_by_model.items()
        }

    def outdated_penalty_ms(
        self, model: deployment.ModelName, version: int, now_ms: int
    ) -> float:
        """Return the penalty of a replica with this version of the weights.

        Zero for the target version, and for all within `OUTDATED_FULL_VALUE_MS` after
        it was set.
        """
        target = self._target_by_model.get(model)
        if target is None or version >= target.version:
            return 0.0
        if now_ms - target.since_ms < OUTDATED_FULL_VALUE_MS:
            return 0.0
        return OUTDATED_PENALTY_MS

    def may_serve_outdated(
        self, model: deployment.ModelName, now_ms: int, max_outdated_ms: int
    ) -> bool:
        """Return whether replicas with outdated weights may still get requests.

        Parameters
        ----------
        max_outdated_ms : int
            Time after the target version was set for which the operator accepts
            answers of outdated weights.  Requests go to them for
            `OUTDATED_CUTOFF_FRACTION` of it.
        """
        target = self._target_by_model.get(model)
        return (
            target is None
            or now_ms - target.since_ms < max_outdated_ms * OUTDATED_CUTOFF_FRACTION
        )


def eligible_replicas(
    candidates: Iterable[servers.ServerEntry],
    model: deployment.ModelName,
    target_version: int | None,
    may_use_outdated: bool,
) -> tuple[servers.ServerEntry, ...]:
    """Return the replicas that may serve a model.

    Parameters
    ----------
    target_version : int or None
        Target version; None if none was set.
    may_use_outdated : bool
        Whether replicas with outdated weights serve as well.
    """
    eligible = tuple(
        each for each in candidates if model in each.weight_versions_by_model
    )
    if target_version is None or may_use_outdated:
        return eligible
    return tuple(
        each
        for each in eligible
        if each.weight_versions_by_model[model] >= target_version
    )
