"""Writes docs/REPORT.md and its plots from the results of the policy experiment."""

import pathlib
from collections.abc import Mapping, Sequence
from typing import Final

import matplotlib

from bench import measures, targets, trace

matplotlib.use("Agg")
from matplotlib import pyplot

REPORT_PATH: Final = pathlib.Path("docs/REPORT.md")
PICTURES: Final = pathlib.Path("docs/pictures")
NOTES_PATH: Final = pathlib.Path("docs/REPORT-NOTES.md")
"""Text written by hand, appended to the figures: notes on what was tried."""

_MEBIBYTE: Final = 2**20

Runs = Sequence[measures.PolicyRun]


def write(runs: Runs, setting: Mapping[str, object], sources: Sequence[str]) -> None:
    """Write the report and its plots.

    Parameters
    ----------
    runs : sequence
        Runs of all policies on all workloads.
    setting : mapping
        Speeds, sizes and seeds of the experiment, as shown to the reader.
    sources : sequence of str
        Commands that produced the figures.
    """
    PICTURES.mkdir(parents=True, exist_ok=True)
    lines = _opening(setting, sources)
    for workload in trace.Workload:
        of_workload = [run for run in runs if run.workload == workload.value]
        if of_workload:
            lines += _section(workload, of_workload)
    if NOTES_PATH.exists():
        lines += ["", NOTES_PATH.read_text().strip()]
    REPORT_PATH.write_text("\n".join(lines) + "\n")


def _opening(setting: Mapping[str, object], sources: Sequence[str]) -> list[str]:
    lines = [
        "# Routing and placement policies, measured",
        "",
        "The product's own processes serve seeded open-loop traces against the",
        "stand-ins. Every answer is verified. Times count from the request's instant",
        "in the trace. Percentiles are over the answered requests of all seeds; in",
        "brackets the least and the greatest of a single seed. Only the part after a",
        "warm-up, which asks for each context once, is measured. This page is",
        "written by the experiment; its notes come from `REPORT-NOTES.md`.",
        "",
    ]
    lines += [f"Run by: `{source}`" for source in sources]
    lines += ["", "| setting | value |", "|---|---|"]
    return lines + [f"| {name} | {value} |" for name, value in setting.items()]


def _section(workload: trace.Workload, runs: Runs) -> list[str]:
    names = list(dict.fromkeys(run.policy for run in runs))
    by_policy = {
        name: measures.summarise([run for run in runs if run.policy == name])
        for name in names
    }
    bound = measures.summarise_bounds(runs)
    _plot_percentiles(workload, by_policy, bound)
    _plot_distribution(workload, runs)
    _plot_work(workload, by_policy, bound)
    lines = ["", f"## {workload.value}", ""]
    lines += _first_token_table(by_policy, bound)
    lines += _work_table(by_policy, bound)
    lines += _link_table(by_policy)
    for picture in ("first-token", "distribution", "work"):
        file_name = f"pictures/{workload.value}-{picture}.png"
        lines += [f"![{picture} of {workload.value}]({file_name})", ""]
    return lines + _target_table(targets.evaluate(workload, by_policy, bound))


def _first_token_table(
    by_policy: Mapping[str, measures.Summary], bound: measures.BoundSummary
) -> list[str]:
    lines = [
        "Time to first token in milliseconds:",
        "",
        "| policy | p50 | p95 | p99 | account ratio |",
        "|---|---|---|---|---|",
    ]
    for name, summary in by_policy.items():
        cells = []
        for percent in measures.PERCENTILES:
            low, high = summary.first_token_spread_ms[percent]
            value = summary.first_token_ms[percent]
            cells.append(f"{value:.0f} ({low:.0f}-{high:.0f})")
        ratio = f"{summary.account_p95_ratio:.2f}"
        lines.append(f"| {name} | {' | '.join(cells)} | {ratio} |")
    for name, values in (
        ("bound, blocks in the memory tier", bound.restored_ms),
        ("bound, blocks in the engines", bound.held_ms),
    ):
        figures = [f"{values[percent]:.0f}" for percent in measures.PERCENTILES]
        lines.append(f"| {name} | {' | '.join(figures)} | |")
    return [*lines, ""]


def _work_table(
    by_policy: Mapping[str, measures.Summary], bound: measures.BoundSummary
) -> list[str]:
    lines = [
        "| policy | recomputed share | requests | answered | refused | late | failed "
        "| wrong |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for name, summary in by_policy.items():
        low, high = summary.recomputed_spread
        counts = summary.counts_by_outcome
        outcomes = [
            str(counts.get("answered", 0)),
            str(counts.get("refused", 0)),
            str(summary.late),
            str(counts.get("failed", 0)),
            str(counts.get("wrong", 0)),
        ]
        share = f"{summary.recomputed_share:.3f} ({low:.3f}-{high:.3f})"
        row = [name, share, str(summary.requests), *outcomes]
        lines.append(f"| {' | '.join(row)} |")
    lines.append(f"| bound | {bound.recomputed_share:.3f} | | | | | | |")
    return [*lines, ""]


def _link_table(by_policy: Mapping[str, measures.Summary]) -> list[str]:
    tiers = sorted({tier for s in by_policy.values() for tier in s.read_by_tier})
    tiers = sorted(
        {*tiers, *(t for s in by_policy.values() for t in s.written_by_tier)}
    )
    names = [
        f"{tier} {direction}" for tier in tiers for direction in ("read", "written")
    ]
    lines = [
        "Link bytes of all seeds in MiB:",
        "",
        f"| policy | {' | '.join(names)} | total (least-greatest seed) |",
        f"|---|{'---|' * (len(names) + 1)}",
    ]
    for name, summary in by_policy.items():
        cells = []
        for tier in tiers:
            cells.append(f"{summary.read_by_tier.get(tier, 0) / _MEBIBYTE:.1f}")
            cells.append(f"{summary.written_by_tier.get(tier, 0) / _MEBIBYTE:.1f}")
        low, high = (size / _MEBIBYTE for size in summary.link_spread)
        total = f"{summary.link_bytes / _MEBIBYTE:.1f} ({low:.1f}-{high:.1f})"
        lines.append(f"| {name} | {' | '.join([*cells, total])} |")
    return [*lines, ""]


def _target_table(verdicts: Sequence[targets.Verdict]) -> list[str]:
    lines = ["| target | figure | limit | verdict |", "|---|---|---|---|"]
    for verdict in verdicts:
        if verdict.met:
            result = "met"
        elif verdict.limit:
            result = f"missed by {verdict.figure / verdict.limit - 1:.0%}"
        else:
            result = "missed"
        figures = f"{verdict.figure:.3g} | {verdict.limit:.3g}"
        lines.append(f"| {verdict.target} | {figures} | {result} |")
    return lines


def _save(figure: "pyplot.Figure", workload: trace.Workload, name: str) -> None:
    figure.tight_layout()
    figure.savefig(PICTURES / f"{workload.value}-{name}.png", dpi=90)
    pyplot.close(figure)


def _plot_percentiles(
    workload: trace.Workload,
    by_policy: Mapping[str, measures.Summary],
    bound: measures.BoundSummary,
) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 4))
    width = 0.25
    for offset, percent in enumerate(measures.PERCENTILES):
        values = [s.first_token_ms[percent] for s in by_policy.values()]
        spreads = [s.first_token_spread_ms[percent] for s in by_policy.values()]
        pairs = list(zip(values, spreads, strict=True))
        errors = [
            [max(0.0, value - spread[0]) for value, spread in pairs],
            [max(0.0, spread[1] - value) for value, spread in pairs],
        ]
        positions = [number + (offset - 1) * width for number in range(len(values))]
        axes.bar(positions, values, width, yerr=errors, capsize=2, label=f"p{percent}")
    axes.axhline(bound.restored_ms[95], color="black", linestyle="--", linewidth=1)
    axes.set_xticks(range(len(by_policy)), list(by_policy), rotation=20)
    axes.set_ylabel("time to first token, ms")
    axes.set_yscale("log")
    axes.set_title(f"{workload.value} (dashed: p95 bound, blocks in the memory tier)")
    axes.legend()
    _save(figure, workload, "first-token")


def _plot_distribution(workload: trace.Workload, runs: Runs) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name in dict.fromkeys(run.policy for run in runs):
        times = sorted(
            value
            for run in runs
            if run.policy == name
            for value in run.first_token_ms()
        )
        shares = [(number + 1) / len(times) for number in range(len(times))]
        axes.plot(times, shares, label=name)
    axes.set_xscale("log")
    axes.set_xlabel("time to first token, ms")
    axes.set_ylabel("share of answered requests")
    axes.set_title(workload.value)
    axes.legend()
    _save(figure, workload, "distribution")


def _plot_work(
    workload: trace.Workload,
    by_policy: Mapping[str, measures.Summary],
    bound: measures.BoundSummary,
) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, summary in by_policy.items():
        link = summary.link_bytes / _MEBIBYTE
        axes.scatter(summary.recomputed_share, link)
        axes.annotate(name, (summary.recomputed_share, link))
    axes.axvline(bound.recomputed_share, color="black", linestyle="--", linewidth=1)
    axes.set_xlabel("recomputed share of prompt work (dashed: bound)")
    axes.set_ylabel("link bytes, MiB")
    axes.set_title(workload.value)
    _save(figure, workload, "work")
