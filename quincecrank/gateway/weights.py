"""Versions of model weights: which one operators named, and which one may serve.

Load pattern: a new version is named under load.  For some seconds replicas of both
versions serve.  The first ones that have the new weights have no kept cache and would
drown if they got every request; so replicas with replaced weights go on serving, at
a disadvantage, until the operator's deadline.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from quincecrank.gateway import deployment, servers

STOP_SHARE: Final = 0.8
"""Part of the operator's deadline after which replaced weights get no requests; the
rest covers the time that the news and a sent request are under way."""


FULL_VALUE_MS: Final = 1_200
"""Time after the naming for which answers of replaced weights have their full worth
to the users: 1.5 seconds, less the way of the news and of a request."""

REPLACED_COST_MS: Final = 150.0
"""Delay that is accepted for an answer of the newest weights: half of the users'
shortest target for a first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Naming:
    version: int
    seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NamedWeights:
    """A version that an operator named.

    Attributes
    ----------
    age_ms : int
        Time since the first gateway learned of it.
    """

    model: deployment.ModelName
    version: int
    age_ms: int = 0


class NamedVersions:
    """Aggregate of the newest named version of each model; never goes back."""

    def __init__(self) -> None:
        self._naming_by_model: dict[deployment.ModelName, _Naming] = {}

    def name(
        self,
        model: deployment.ModelName,
        version: int,
        now_ms: int,
        age_ms: int = 0,
    ) -> bool:
        """Take a version that an operator named; return whether it is newer.

        Parameters
        ----------
        age_ms : int
            Time for which it has been known to some gateway.  A gateway that was
            cut off or restarted learns late, and the operator's deadline runs on.
        """
        known = self._naming_by_model.get(model)
        named = _Naming(version, now_ms - age_ms)
        if known is not None and known.version == version:
            if named.seen_ms < known.seen_ms:
                self._naming_by_model[model] = named
            return False
        if known is not None and known.version > version:
            return False
        self._naming_by_model[model] = named
        return True

    def to_tell(self, now_ms: int) -> tuple[NamedWeights, ...]:
        """Return the newest version of each model and its age, for the peers."""
        return tuple(
            NamedWeights(model, naming.version, now_ms - naming.seen_ms)
            for model, naming in self._naming_by_model.items()
        )

    def newest(self, model: deployment.ModelName) -> int | None:
        """Return the newest named version."""
        naming = self._naming_by_model.get(model)
        return naming.version if naming else None

    def all(self) -> dict[deployment.ModelName, int]:
        """Return the newest named version of each model."""
        return {
            model: naming.version for model, naming in self._naming_by_model.items()
        }

    def replaced_cost_ms(
        self, model: deployment.ModelName, version: int, now_ms: int
    ) -> float:
        """Return the disadvantage of a replica with this version of the weights."""
        naming = self._naming_by_model.get(model)
        if naming is None or version >= naming.version:
            return 0.0
        if now_ms - naming.seen_ms < FULL_VALUE_MS:
            return 0.0
        return REPLACED_COST_MS

    def may_serve_replaced(
        self, model: deployment.ModelName, now_ms: int, deadline_ms: int
    ) -> bool:
        """Return whether replaced weights may still get requests."""
        naming = self._naming_by_model.get(model)
        return naming is None or now_ms - naming.seen_ms < deadline_ms * STOP_SHARE


def able_replicas(
    candidates: Iterable[servers.ServerEntry],
    model: deployment.ModelName,
    newest: int | None,
    may_use_replaced: bool,
) -> tuple[servers.ServerEntry, ...]:
    """Return the replicas that may serve a model.

    Parameters
    ----------
    newest : int or None
        Newest named version; None if none was named.
    may_use_replaced : bool
        Whether replicas of older versions serve as well.
    """
    able = tuple(each for each in candidates if model in each.weight_versions_by_model)
    if newest is None or may_use_replaced:
        return able
    return tuple(
        each for each in able if each.weight_versions_by_model[model] >= newest
    )
