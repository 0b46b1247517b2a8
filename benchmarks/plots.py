"""``make plots``: draws the main metrics of ``make bench`` as SVG files.

Reads the JSON object from the last line of the output of ``make bench`` and
writes into ``docs/plots``.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

PLOTS_FOLDER = Path(__file__).parent.parent / "docs" / "plots"
LABEL_BY_METRIC = {
    "mean_completion_s": "mean completion (s)",
    "check_p99_s": "p99 completion of urgent checks (s)",
    "stranded": "accelerators free but of no use to a waiting gang (share)",
}


def draw_metric(results: dict[str, Any], metric: str, label: str) -> None:
    """Draws one metric for all scenes, deployments and policies."""
    rows = [
        (f"{scene}\n{deployment}", policies)
        for scene, deployments in results.items()
        for deployment, policies in deployments.items()
    ]
    policies = list(rows[0][1])
    figure, axes = pyplot.subplots(figsize=(10, 7))
    bar_height = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        positions = [row + index * bar_height for row in range(len(rows))]
        values = [
            policy_metrics[policy].get(metric, 0.0)
            for _, policy_metrics in rows
        ]
        axes.barh(positions, values, bar_height, label=policy)
    axes.set_yticks(range(len(rows)), [name for name, _ in rows], fontsize=7)
    axes.set_xscale("log" if metric.endswith("_s") else "linear")
    axes.set_xlabel(label)
    axes.legend()
    figure.tight_layout()
    figure.savefig(PLOTS_FOLDER / f"{metric}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main() -> None:
    """Draws all plots from the file that the command line names."""
    lines = Path(sys.argv[1]).read_text().splitlines()
    results = json.loads(lines[-1])
    PLOTS_FOLDER.mkdir(exist_ok=True)
    for metric, label in LABEL_BY_METRIC.items():
        draw_metric(results, metric, label)


if __name__ == "__main__":
    main()
