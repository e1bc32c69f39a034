"""The model checker runs: each is a model, its bounds, and whether mutants are tried.

A mutant is a switch of the model (`MUTANT_...` or `CLAIM_...`) that removes a guard or
claims a property that does not hold.
"""

import dataclasses
import pathlib
import re
from typing import Final

MODEL_DIRECTORY: Final = pathlib.Path(__file__).parent

_MUTANT: Final = re.compile(r"\b(?:MUTANT|CLAIM)_[A-Z_]+\b")


@dataclasses.dataclass(frozen=True)
class ModelRun:
    """One exhaustive search of a model.

    Attributes
    ----------
    name : str
        Unique name of the run.
    model : str
        File name without its suffix.
    defines : tuple of str
        Preprocessor definitions of the model's bounds, each `NAME=value`.
    runs_mutants : bool
        Whether the mutants are searched with these bounds.
    """

    name: str
    model: str
    defines: tuple[str, ...] = ()
    runs_mutants: bool = True

    @property
    def source(self) -> pathlib.Path:
        """Return the path of the model."""
        return MODEL_DIRECTORY / f"{self.model}.pml"

    def mutants(self) -> tuple[str, ...]:
        """Return the names of the model's mutants, sorted."""
        return tuple(sorted(set(_MUTANT.findall(self.source.read_text()))))

    def with_mutant(self, mutant: str) -> "ModelRun":
        """Return this run with `mutant` switched on."""
        return ModelRun(
            name=f"{self.name}.{mutant}",
            model=self.model,
            defines=(*self.defines, mutant),
        )


RUNS: Final = (
    ModelRun(
        "at-most-once-same-agent",
        "at_most_once",
        ("SENDS=1", "AGENTS=1"),
    ),
    ModelRun(
        "at-most-once-two-agents",
        "at_most_once",
        ("SENDS=1", "AGENTS=2"),
        runs_mutants=False,
    ),
    ModelRun(
        "at-most-once-three-attempts",
        "at_most_once",
        ("SENDS=2", "AGENTS=2", "TABLE_TRIES=1", "ENTRY_TRIES=1"),
        runs_mutants=False,
    ),
    ModelRun("configuration", "configuration", ("RESTARTS=1",)),
    ModelRun("blocks", "blocks"),
    ModelRun("leaving", "leaving"),
    ModelRun("gateway-shutdown", "gateway_shutdown"),
    ModelRun("gateway-streams", "gateway_streams"),
    ModelRun(
        "gateway-streams-any-stop",
        "gateway_streams",
        ("STOPS_ANY_TIME=1", "STOP=3"),
        runs_mutants=False,
    ),
    ModelRun("order-lease", "order_lease", runs_mutants=False),
    ModelRun(
        "order-lease-two-restores",
        "order_lease",
        ("VERSIONS=1", "RESTORES=2"),
        runs_mutants=False,
    ),
    ModelRun(
        "order-lease-restore",
        "order_lease",
        ("VERSIONS=2", "RESTORES=1", "VALIDITY=2", "LEASE=1"),
    ),
    ModelRun("table-followers", "table_followers", ("RESTORES=1",)),
    ModelRun(
        "table-followers-two-restores",
        "table_followers",
        ("VERSIONS=2", "RESTORES=2"),
        runs_mutants=False,
    ),
    ModelRun("evacuations", "evacuations"),
    ModelRun(
        "evacuations-two-restores",
        "evacuations",
        ("RESTORES=2",),
        runs_mutants=False,
    ),
    ModelRun("permit-issuers", "permit_issuers"),
)
