"""Checks every model exhaustively, or shows that each of its guards is needed.

``python -m models.check`` searches the complete state space of every run and fails on
any error or incomplete search.  ``--mutants`` searches each model once for each of its
mutants (one guard removed, or a property claimed that does not hold); every such search
must find a counterexample.
"""

import concurrent.futures
import time
from collections.abc import Iterable, Iterator

import fire

from models import runs, spin


def check(mutants: bool = False, only: str = "", workers: int = 4) -> None:
    """Search the models; exit with status 1 unless every verdict is as expected.

    Parameters
    ----------
    mutants : bool
        Search the mutants, which must be violated, instead of the models.
    only : str
        Substring of the names of the runs to search, empty for all.
    workers : int
        Number of concurrent searches.
    """
    wanted = spin.Verdict.VIOLATED if mutants else spin.Verdict.HOLDS
    chosen = [run for run in _runs(mutants) if only in run.name]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for run, (report, seconds) in zip(
            chosen, pool.map(_timed_search, chosen), strict=True
        ):
            is_expected = report.verdict is wanted
            failed += not is_expected
            print(_format_result(run, report, seconds, is_expected), flush=True)
    print(f"{len(chosen) - failed} of {len(chosen)} as expected: {wanted.value}")
    if failed or not chosen:
        raise SystemExit(1)


def _runs(mutants: bool) -> Iterable[runs.ModelRun]:
    return _mutant_runs() if mutants else runs.RUNS


def _mutant_runs() -> Iterator[runs.ModelRun]:
    for run in runs.RUNS:
        if run.runs_mutants:
            for mutant in run.mutants():
                yield run.with_mutant(mutant)


def _timed_search(run: runs.ModelRun) -> tuple[spin.SearchReport, float]:
    started = time.monotonic()
    report = spin.search(run)
    return report, time.monotonic() - started


def _format_result(
    run: runs.ModelRun, report: spin.SearchReport, seconds: float, is_expected: bool
) -> str:
    mark = "ok  " if is_expected else "FAIL"
    counts = f"{report.states:>10} states, depth {report.depth:>4}, {seconds:5.1f} s"
    return f"{mark} {run.name:<56} {report.verdict.value:<10} {counts} {report.reason}"


if __name__ == "__main__":
    fire.Fire(check)
