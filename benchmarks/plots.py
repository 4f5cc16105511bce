"""Plots the results of the benchmark: ``python -m benchmarks.plots FILES``."""

import json
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import fire
import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

WIDTH_INCHES = 9
HEIGHT_INCHES = 3.2
DPI = 70
TIERS = ("1", "2", "3")

Value = Callable[[dict], float]
Curves = dict[str, dict[float, list[float]]]


def curves(rows: list[dict], value: Value) -> Curves:
    """Return the values of each policy by load, with a value for each seed."""
    curves_by_policy: Curves = defaultdict(lambda: defaultdict(list))
    for row in rows:
        if row["scenario"] == "load":
            curves_by_policy[row["policy"]][row["load"]].extend(map(value, row["runs"]))
    return curves_by_policy


def draw(axes, curves_by_policy: Curves, title: str) -> None:
    """Draw means as lines and the range over the seeds as bands."""
    for policy, by_load in curves_by_policy.items():
        loads = sorted(by_load)
        means = [sum(by_load[load]) / len(by_load[load]) for load in loads]
        width = 2.5 if policy == "peridotfront" else 1.0
        axes.plot(loads, means, marker=".", linewidth=width, label=policy)
        low = [min(by_load[load]) for load in loads]
        high = [max(by_load[load]) for load in loads]
        axes.fill_between(loads, low, high, alpha=0.15)
    axes.set_title(title, fontsize=9)
    axes.set_xlabel("offered work / capacity", fontsize=8)
    axes.tick_params(labelsize=7)
    axes.set_ylim(bottom=0)


def tier_share(tier: str) -> Value:
    """Return a function that computes a tier's goodput over its offered requests."""

    def share(run: dict) -> float:
        figures = run["tiers"][tier]
        return figures["goodput"] / max(1, figures["offered"])

    return share


def save(figure, path: Path) -> None:
    """Save a figure with a common legend."""
    handles, labels = figure.axes[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="lower center", ncol=6, fontsize=7)
    figure.tight_layout(rect=(0, 0.08, 1, 1))
    figure.savefig(path, dpi=DPI)
    plt.close(figure)


def main(*files: str, out: str = "docs/figures") -> None:
    """Plot goodput by tier, total goodput and waste against load.

    :param files: JSON files written by ``benchmarks.policy``.
    :param out: folder for the images.
    """
    rows = [row for file in files for row in json.loads(Path(file).read_text())]
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    for workload in sorted({row["workload"] for row in rows}):
        workload_rows = [row for row in rows if row["workload"] == workload]
        size = (WIDTH_INCHES, HEIGHT_INCHES)
        figure, axes = plt.subplots(1, len(TIERS), figsize=size, sharey=True)
        for tier, ax in zip(TIERS, axes, strict=True):
            title = f"{workload}: goodput of tier {tier} / offered"
            draw(ax, curves(workload_rows, tier_share(tier)), title)
        save(figure, folder / f"goodput-{workload}.png")
        figure, axes = plt.subplots(1, 2, figsize=size)
        tokens = curves(
            workload_rows, lambda run: run["goodput_tokens"] / run["span_s"]
        )
        draw(axes[0], tokens, f"{workload}: tokens of good answers a second")
        wasted = curves(workload_rows, lambda run: run["wasted_share"])
        draw(axes[1], wasted, f"{workload}: wasted prefill / all prefill")
        save(figure, folder / f"waste-{workload}.png")


if __name__ == "__main__":
    fire.Fire(main)
