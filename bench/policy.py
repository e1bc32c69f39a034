"""Runs every routing policy on the same traces: `make bench-policy`.

Each run starts its own fleet: entry, agents, engines and store VMs are separate
processes.  `PARALLEL_RUNS` fleets run at a time.  Results go to
``build/bench-policy.json`` and, with plots, to ``docs/REPORT.md``.
"""

import asyncio
import concurrent.futures
import dataclasses
import itertools
import json
import os
import pathlib
import tempfile
import time
from collections.abc import Sequence
from typing import Final

import fire

from bench import (
    experiment_fleet,
    load,
    lower_bound,
    measures,
    report,
    trace,
)
from quincecrank import policies
from standins import local_fleet

RESULT_PATH: Final = pathlib.Path("build/bench-policy.json")
SEEDS: Final = 5
PARALLEL_RUNS: Final = 3


@dataclasses.dataclass(frozen=True)
class Task:
    """One run: a policy, and the trace of a workload and seed."""

    policy: str
    workload: trace.Workload
    seed: int


def run_task(task: Task) -> measures.PolicyRun:
    """Start a fleet, run the trace against it and return what was measured."""
    traced = trace.make_trace(task.workload, task.seed)
    variant = experiment_fleet.Variant(task.policy)
    spec = experiment_fleet.fleet_spec(task.workload, variant)
    with tempfile.TemporaryDirectory() as folder:
        with local_fleet.LocalFleet(spec, pathlib.Path(folder)) as fleet:
            experiment_fleet.wait_ready(fleet, len(fleet.replicas_by_name))
            records, links = asyncio.run(_measure(traced, fleet))
    bounds = lower_bound.bounds(traced, experiment_fleet.speeds())
    return measures.PolicyRun(
        task.policy, task.workload.value, task.seed, records, bounds, links
    )


async def _measure(
    traced: trace.Trace, fleet: local_fleet.LocalFleet
) -> tuple[tuple[load.RequestRecord, ...], measures.LinkBytes]:
    generator = load.LoadGenerator(traced, experiment_fleet.target(fleet))
    try:
        await generator.warm_up()
        before = experiment_fleet.link_use(fleet)
        records = await generator.run()
        await generator.settle()
    finally:
        generator.close()
    return records, experiment_fleet.link_use(fleet).since(before)


def run_all(tasks: Sequence[Task], parallel: int) -> list[measures.PolicyRun]:
    """Run all tasks, `parallel` at a time, and print a line for each."""
    runs = []
    with concurrent.futures.ProcessPoolExecutor(parallel) as pool:
        for run in pool.map(run_task, tasks):
            runs.append(run)
            summary = measures.summarise([run])
            times = [f"{summary.first_token_ms[p]:.0f}" for p in measures.PERCENTILES]
            print(
                f"{run.workload:<12} seed {run.seed} {run.policy:<17}"
                f" first token {'/'.join(times)} ms,"
                f" recomputed {summary.recomputed_share:.3f},"
                f" links {summary.link_bytes / 2**20:.1f} MiB,"
                f" {summary.counts_by_outcome}, late {summary.late},"
                f" sender late {max(r.sent_late_ms for r in run.records):.0f} ms",
                flush=True,
            )
    return runs


def _document(
    runs: Sequence[measures.PolicyRun], setting: dict[str, object]
) -> dict[str, object]:
    summaries = []
    for workload, policy in dict.fromkeys((run.workload, run.policy) for run in runs):
        group = [r for r in runs if (r.workload, r.policy) == (workload, policy)]
        summaries.append(dataclasses.asdict(measures.summarise(group)))
    return {
        "setting": setting,
        "summaries": summaries,
        "bounds": [
            dataclasses.asdict(measures.summarise_bounds(group))
            for workload in trace.Workload
            if (group := [run for run in runs if run.workload == workload.value])
        ],
        "runs": [
            {
                "policy": run.policy,
                "workload": run.workload,
                "seed": run.seed,
                "links": dataclasses.asdict(run.links),
                "requests": [load.as_document(record) for record in run.records],
            }
            for run in runs
        ],
    }


def main(
    seeds: int = SEEDS,
    policy: str = "",
    workload: str = "",
    parallel: int = PARALLEL_RUNS,
    first_seed: int = 1,
    write: bool = True,
) -> None:
    """Run the experiment.

    Parameters
    ----------
    seeds : int
        Number of seeds, from `first_seed` on.
    policy, workload : str
        Runs only this policy or workload; all when empty.
    parallel : int
        Fleets that run at the same time.
    write : bool
        Whether to write the results and the report.
    """
    names = [policy] if policy else list(policies.POLICY_NAMES)
    chosen = [w for w in trace.Workload if not workload or w.value == workload]
    seed_range = range(first_seed, first_seed + seeds)
    tasks = [
        Task(name, each_workload, seed)
        for seed, each_workload, name in itertools.product(seed_range, chosen, names)
    ]
    started = time.monotonic()
    runs = run_all(tasks, parallel)
    setting = experiment_fleet.setting()
    setting["seeds"] = f"{seed_range[0]}-{seed_range[-1]}"
    setting["runs at the same time"] = parallel
    setting["processors, load at the end"] = f"{os.cpu_count()}, {_load_average():.1f}"
    setting["wall time, s"] = round(time.monotonic() - started)
    if not write:
        return
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(json.dumps(_document(runs, setting), indent=1))
    report.write(runs, setting, ["make bench-policy"])


def _load_average() -> float:
    return os.getloadavg()[0]


if __name__ == "__main__":
    fire.Fire(main)
