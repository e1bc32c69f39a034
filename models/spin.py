"""Runs the model checker Spin on one model and parses its report."""

import dataclasses
import enum
import os
import pathlib
import re
import subprocess
from typing import Final

from models import runs

BUILD_DIRECTORY: Final = pathlib.Path("build") / "models"
MEMORY_LIMIT_MIB: Final = 2048
TIMEOUT_S: Final = 150
"""Time limit of each command of a search: generate, compile and verify."""

_MAX_DEPTH: Final = 20_000
_HASH_TABLE_BITS: Final = 22
_COMPILER_FLAGS: Final = (
    "-O2",
    "-w",
    "-DSAFETY",
    "-DCOLLAPSE",
    f"-DMEMLIM={MEMORY_LIMIT_MIB}",
)

_ERRORS: Final = re.compile(r"errors: (\d+)")
_STATES: Final = re.compile(r"([\d.e+]+) states, stored")
_DEPTH: Final = re.compile(r"depth reached (\d+)")
_REASON: Final = re.compile(r"pan:\d+: (.*?)(?: \(at depth \d+\))?$", re.MULTILINE)
_INCOMPLETE: Final = ("Search not completed", "max search depth too small")


class Verdict(enum.Enum):
    """Result of a search.

    Attributes
    ----------
    HOLDS
        The complete state space was searched without an error.
    VIOLATED
        A counterexample was found.
    INCOMPLETE
        A bound of time, memory or depth ended the search, or a tool failed.
    """

    HOLDS = "holds"
    VIOLATED = "violated"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(frozen=True)
class SearchReport:
    """Outcome of one search.

    Attributes
    ----------
    states : int
        Number of states stored.
    depth : int
        Longest path searched, in steps.
    reason : str
        The violated property, or why the search is incomplete.
    """

    verdict: Verdict
    states: int = 0
    depth: int = 0
    reason: str = ""


def search(run: runs.ModelRun) -> SearchReport:
    """Generate, compile and run the verifier of `run`.

    A tool that fails, is missing or exceeds the time limit gives an incomplete search.
    """
    directory = BUILD_DIRECTORY / run.name
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("*.trail"):
        old.unlink()
    defines = [f"-D{define}" for define in run.defines]
    commands = (
        ["spin", "-a", *defines, str(run.source.resolve())],
        ["gcc", *_COMPILER_FLAGS, "-o", "pan", "pan.c"],
        ["./pan", f"-m{_MAX_DEPTH}", f"-w{_HASH_TABLE_BITS}"],
    )
    output = ""
    for command in commands:
        try:
            done = subprocess.run(
                command,
                cwd=directory,
                env={**os.environ, "LC_ALL": "C"},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return SearchReport(Verdict.INCOMPLETE, reason=f"over {TIMEOUT_S} s")
        except FileNotFoundError as error:
            return SearchReport(Verdict.INCOMPLETE, reason=str(error))
        output = done.stdout
        if done.returncode != 0 and command[0] != "./pan":
            return SearchReport(Verdict.INCOMPLETE, reason=output.strip()[:500])
    (directory / "report.txt").write_text(output)
    return parse_report(output)


def parse_report(output: str) -> SearchReport:
    """Parse the output of a verifier; output without a report is incomplete."""
    errors = _ERRORS.search(output)
    states = _STATES.search(output)
    depth = _DEPTH.search(output)
    if errors is None or states is None or depth is None:
        return SearchReport(Verdict.INCOMPLETE, reason="no report")
    counts = (int(float(states.group(1))), int(depth.group(1)))
    reason = _REASON.search(output)
    if int(errors.group(1)) > 0:
        text = reason.group(1) if reason else "unknown property"
        return SearchReport(_verdict_of(text), *counts, text)
    for sign in _INCOMPLETE:
        if sign in output:
            return SearchReport(Verdict.INCOMPLETE, *counts, sign)
    return SearchReport(Verdict.HOLDS, *counts)


def _verdict_of(reason: str) -> Verdict:
    """Distinguish a violated property from a resource limit of the verifier."""
    properties = ("assertion violated", "invalid end state")
    is_property = reason.startswith(properties)
    return Verdict.VIOLATED if is_property else Verdict.INCOMPLETE
