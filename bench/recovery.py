"""Measures recovery from a fault in a peak, by comparison with a run without it.

Each fault is injected in the first peak of the same trace, under the product's policy.
Requests are grouped by arrival into windows of `WINDOW_MS`.  A window is disturbed if
its 95th percentile of time to first token exceeds that of the same window without the
fault by more than `DISTURBED_MS`.
"""

import asyncio
import concurrent.futures
import dataclasses
import enum
import itertools
import json
import pathlib
import tempfile
from collections.abc import Sequence
from typing import Final

import fire

from bench import experiment_fleet, load, measures, trace
from quincecrank import policies
from standins import local_fleet

RESULT_PATH: Final = pathlib.Path("build/bench-recovery.json")
REPORT_PATH: Final = pathlib.Path("docs/RECOVERY.md")
FAULT_AT_MS: Final = 7_000
"""Time of the fault since the start of the measured part, inside a peak."""

WINDOW_MS: Final = 1_000
DISTURBED_MS: Final = 250
ENTRIES: Final = 2
SEEDS: Final = 3
PARALLEL_RUNS: Final = 4
SLOW_LINK_FACTOR: Final = 10


class Fault(enum.Enum):
    """A fault that is injected into the fleet."""

    NONE = "none"
    STORE_LOST = "store VM lost"
    AGENTS_RESTARTED = "a third of the agents restarted"
    ENTRY_LOST = "one of two entries lost"
    SLOW_LINK = "links of one store VM at a tenth"


@dataclasses.dataclass(frozen=True)
class Task:
    """One run: a fault in the trace of a workload and seed."""

    workload: trace.Workload
    fault: Fault
    seed: int


@dataclasses.dataclass(frozen=True)
class Effect:
    """Effect of a fault on the answers, over all seeds.

    Attributes
    ----------
    worst_ms : float
        Greatest 95th percentile of a window after the fault.
    worst_without_ms : float
        The same without the fault.
    disturbed_ms : int
        Time from the fault to the end of the last disturbed window.
    recomputed_without, link_bytes_without : float, int
        `recomputed_share` and `link_bytes` without the fault.
    """

    workload: str
    fault: str
    worst_ms: float
    worst_without_ms: float
    disturbed_ms: int
    recomputed_share: float
    recomputed_without: float
    link_bytes: int
    link_bytes_without: int
    refused: int
    failed: int
    wrong: int


def inject_fault(fleet: local_fleet.LocalFleet, fault: Fault) -> None:
    """Inject a fault; VMs that are lost are removed from the platform's list."""
    match fault:
        case Fault.STORE_LOST:
            name = next(iter(fleet.stores_by_name))
            fleet.stores_by_name[name].kill()
            local_fleet.call_json("DELETE", f"{fleet.vm_list.url}/vms/{name}")
        case Fault.AGENTS_RESTARTED:
            names = sorted(fleet.replicas_by_name)
            for name in names[: max(1, len(names) // 3)]:
                agent = fleet.replicas_by_name[name].agent
                assert agent is not None
                agent.kill()
                fleet.start_agent(name)
        case Fault.ENTRY_LOST:
            fleet.entries[-1].kill()
            name = f"entry-{len(fleet.entries)}"
            local_fleet.call_json("DELETE", f"{fleet.vm_list.url}/vms/{name}")
        case Fault.SLOW_LINK:
            store = next(iter(fleet.stores_by_name.values()))
            local_fleet.set_faults(store, slow_factor=SLOW_LINK_FACTOR)


def run_task(task: Task) -> measures.PolicyRun:
    """Start a fleet, run the trace with the fault and return what was measured."""
    traced = trace.make_trace(task.workload, task.seed)
    variant = experiment_fleet.Variant(policies.DEFAULT_POLICY, ENTRIES)
    spec = experiment_fleet.fleet_spec(task.workload, variant)
    with tempfile.TemporaryDirectory() as folder:
        with local_fleet.LocalFleet(spec, pathlib.Path(folder)) as fleet:
            experiment_fleet.wait_ready(fleet, len(fleet.replicas_by_name))
            records, links = asyncio.run(_measure(traced, fleet, task.fault))
    return measures.PolicyRun(
        task.fault.value, task.workload.value, task.seed, records, (), links
    )


async def _measure(
    traced: trace.Trace, fleet: local_fleet.LocalFleet, fault: Fault
) -> tuple[tuple[load.RequestRecord, ...], measures.LinkBytes]:
    generator = load.LoadGenerator(traced, experiment_fleet.target(fleet))

    async def inject_in_peak() -> None:
        await asyncio.sleep(FAULT_AT_MS / 1000)
        await asyncio.to_thread(inject_fault, fleet, fault)

    try:
        await generator.warm_up()
        before = experiment_fleet.link_use(fleet)
        records, _ = await asyncio.gather(generator.run(), inject_in_peak())
        await generator.settle()
    finally:
        generator.close()
    # Agents count from zero after a restart, so their earlier bytes are missing.
    return records, experiment_fleet.link_use(fleet).since(before)


def _window_p95(runs: Sequence[measures.PolicyRun]) -> dict[int, float]:
    times: dict[int, list[float]] = {}
    for run in runs:
        for record in run.answered():
            times.setdefault(record.at_ms // WINDOW_MS, []).append(
                record.first_token_ms
            )
    return {window: measures.percentile(times[window], 95) for window in times}


def effect(
    runs: Sequence[measures.PolicyRun], undisturbed: Sequence[measures.PolicyRun]
) -> Effect:
    """Compare the runs with one fault with those without faults."""
    with_fault = _window_p95(runs)
    without = _window_p95(undisturbed)
    fault_window = FAULT_AT_MS // WINDOW_MS
    after = [window for window in with_fault if window >= fault_window]
    disturbed = [
        window
        for window in after
        if with_fault[window] > without.get(window, 0.0) + DISTURBED_MS
    ]
    last_disturbed = max(disturbed, default=fault_window - 1)
    summary = measures.summarise(runs)
    summary_without = measures.summarise(undisturbed)
    counts = summary.counts_by_outcome
    return Effect(
        workload=summary.workload,
        fault=summary.policy,
        worst_ms=max((with_fault[window] for window in after), default=0.0),
        worst_without_ms=max(
            (without[w] for w in without if w >= fault_window), default=0.0
        ),
        disturbed_ms=max(0, (last_disturbed + 1) * WINDOW_MS - FAULT_AT_MS),
        recomputed_share=summary.recomputed_share,
        recomputed_without=summary_without.recomputed_share,
        link_bytes=summary.link_bytes,
        link_bytes_without=summary_without.link_bytes,
        refused=counts.get("refused", 0),
        failed=counts.get("failed", 0),
        wrong=counts.get("wrong", 0),
    )


def _report(effects: Sequence[Effect], seeds: int) -> str:
    lines = [
        "# Recovery, measured",
        "",
        f"Written by `python -m bench.recovery`. {seeds} seeds, {ENTRIES} entries; the",
        f"fault strikes {FAULT_AT_MS / 1000:.0f} s into the trace, in a peak. Setting",
        "as in REPORT.md. Times are 95th percentiles of windows of",
        f"{WINDOW_MS / 1000:.0f} s over all seeds; a window is disturbed when it is",
        f"{DISTURBED_MS} ms above the same window without the fault.",
        "",
        "| user | fault | worst window, ms (without) | disturbed for, s "
        "| recomputed (without) | links, MiB (without) | refused | failed | wrong |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for item in effects:
        cells = (
            item.workload,
            item.fault,
            f"{item.worst_ms:.0f} ({item.worst_without_ms:.0f})",
            f"{item.disturbed_ms / 1000:.0f}",
            f"{item.recomputed_share:.3f} ({item.recomputed_without:.3f})",
            f"{item.link_bytes / 2**20:.1f} ({item.link_bytes_without / 2**20:.1f})",
            str(item.refused),
            str(item.failed),
            str(item.wrong),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def main(seeds: int = SEEDS, workload: str = "", parallel: int = PARALLEL_RUNS) -> None:
    """Run every fault on every seed and write the report."""
    chosen = [w for w in trace.Workload if not workload or w.value == workload]
    tasks = [
        Task(each, fault, seed)
        for each, fault, seed in itertools.product(chosen, Fault, range(1, seeds + 1))
    ]
    with concurrent.futures.ProcessPoolExecutor(parallel) as pool:
        runs = list(pool.map(run_task, tasks))
    effects = []
    for each, fault in itertools.product(chosen, Fault):
        of_workload = [run for run in runs if run.workload == each.value]
        with_fault = [run for run in of_workload if run.policy == fault.value]
        without = [run for run in of_workload if run.policy == Fault.NONE.value]
        effects.append(effect(with_fault, without))
        print(effects[-1], flush=True)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    document = [dataclasses.asdict(item) for item in effects]
    RESULT_PATH.write_text(json.dumps(document, indent=1))
    REPORT_PATH.write_text(_report(effects, seeds))


if __name__ == "__main__":
    fire.Fire(main)
