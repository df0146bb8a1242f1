"""Draws what rounds of changes were worth, from a table of plays, as an SVG.

    python benchmarks/rounds.py TABLE.csv PICTURE.svg

The table has a row a play: round, variant (`before` or `after`), day, seed and worth. A point is
the mean difference over the pairs of a round; its bar is the standard error. Needs matplotlib,
which `make plots` installs; the programs don't.
"""

import csv
import statistics
from dataclasses import dataclass
from pathlib import Path

import click

from days import spread


@dataclass(frozen=True, slots=True)
class RoundResult:
    """One round: its name, how much a pair gained in worth each, in the order of the table."""

    name: str
    differences: tuple[float, ...]

    @property
    def mean(self) -> float:
        """Mean gain."""
        return statistics.mean(self.differences)

    @property
    def error(self) -> float:
        """Standard error of the mean gain."""
        return spread(list(self.differences))


def read_rounds(table: Path) -> list[RoundResult]:
    """Return the rounds of a table in its order; plays without a partner are left out."""
    worths: dict[str, dict[tuple[str, str], dict[str, float]]] = {}
    with table.open(newline="") as file:
        for row in csv.DictReader(file):
            pairs = worths.setdefault(row["round"], {})
            pairs.setdefault((row["day"], row["seed"]), {})[row["variant"]] = float(row["worth"])
    results = []
    for name, pairs in worths.items():
        whole = [pair for pair in pairs.values() if pair.keys() == {"before", "after"}]
        if whole:
            gains = tuple(pair["after"] - pair["before"] for pair in whole)
            results.append(RoundResult(name, gains))
    return results


def draw(rounds: list[RoundResult], target: Path) -> None:
    """Draw the rounds as an SVG."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "paddleshunt"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 0.5 * len(rounds) + 1))
    places = range(len(rounds))
    means = [result.mean for result in rounds]
    errors = [result.error for result in rounds]
    axes.errorbar(means, places, xerr=errors, fmt="o", capsize=4, color="tab:blue")
    axes.axvline(0, color="gray", linewidth=0.8)
    axes.set_yticks(places, [f"{r.name} ({len(r.differences)} pairs)" for r in rounds])
    axes.invert_yaxis()
    axes.set_xlabel("gain in worth, mean of pairs, with standard error")
    figure.tight_layout()
    figure.savefig(target, metadata={"Date": None})


@click.command(help=__doc__)
@click.argument("table", type=click.Path(path_type=Path, exists=True))
@click.argument("target", type=click.Path(path_type=Path))
def main(table: Path, target: Path) -> None:
    """Read, print and draw."""
    rounds = read_rounds(table)
    for result in rounds:
        click.echo(f"{result.name:28} {result.mean:+.4f} ± {result.error:.4f}")
    draw(rounds, target)


if __name__ == "__main__":
    main()
