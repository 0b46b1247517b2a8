"""``make rounds``: draws worth and prices by benchmark round.

Reads the entries of complete ``score`` runs in ``journal``. For each site,
draws the worth of each standard day and the sum of its prices into
``docs/plots``.
"""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

ROOT = Path(__file__).parent.parent
PLOTS_FOLDER = ROOT / "docs" / "plots"


def read_rounds(journal_folder: Path) -> dict[str, list[dict[str, Any]]]:
    """Returns the entries of complete ``score`` runs by site, oldest first."""
    rounds: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in sorted(journal_folder.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry["cmd"] == "score" and entry.get("score") is not None:
            rounds[entry["site"]].append(entry)
    return rounds


def draw_site(site: str, rounds: list[dict[str, Any]]) -> None:
    """Draws the rounds of one site: worth above, prices below."""
    day_names = [d["name"] for d in rounds[-1]["days"] if d["slot"] != "fresh"]
    figure, (worth_axes, price_axes) = pyplot.subplots(
        2, 1, figsize=(9, 7), sharex=True
    )
    round_numbers = range(1, len(rounds) + 1)
    for name in day_names:
        found_days = [_find_day(entry, name) for entry in rounds]
        worth = [day["G"] if day else None for day in found_days]
        worth_axes.plot(round_numbers, worth, marker="o", label=name)
        price_axes.plot(
            round_numbers, [_sum_prices(day) for day in found_days], marker="o"
        )
    worth_axes.set_ylabel("worth")
    price_axes.set_ylabel("prices")
    price_axes.set_xlabel("round")
    worth_axes.legend(fontsize=7)
    worth_axes.set_title(site)
    figure.tight_layout()
    figure.savefig(PLOTS_FOLDER / f"rounds-{site}.svg", metadata={"Date": None})
    pyplot.close(figure)


def _find_day(entry: dict[str, Any], name: str) -> dict[str, Any] | None:
    return next((d for d in entry["days"] if d["name"] == name), None)


def _sum_prices(day: dict[str, Any] | None) -> float | None:
    if day is None:
        return None
    return float(sum(price for _, _, price in day["prices"]))


def main() -> None:
    """Draws all sites and prints one line for each round."""
    PLOTS_FOLDER.mkdir(exist_ok=True)
    for site, rounds in read_rounds(ROOT / "journal").items():
        draw_site(site, rounds)
        for entry in rounds:
            gate = "passed" if entry["figures"].get("gate") else "failed"
            print(f"{site} {entry['score']:.3f} {gate} {entry['why']}")


if __name__ == "__main__":
    main()
