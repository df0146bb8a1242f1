"""Reads what sweeps of the users' bench printed, for `docs/CAPACITY.md`.

    python benchmarks/sweeps.py SITE CODE FILE

adds the sweep of a deployment in FILE, played on commit CODE, to `docs/measurements/sweeps.json`,
in place of an earlier one of the same deployment and code. `benchmarks/capacity.py` makes tables.
"""

import json
import math
import re
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
SWEEPS = ROOT / "docs" / "measurements" / "sweeps.json"

LETTER_MACHINES = 1_716
"""Letter 1's size: 1,700 targets and 16 entries."""

_SIZES = re.compile(r"^ +\d+( +\d+)+ +power")
_ROW = re.compile(r"^(?P<role>entry|target): (?P<what>.+?)  +(?P<figures>\d.*)$")
_PAIR = re.compile(r"([\d.]+) / ([\d.]+)")


class SweepError(ValueError):
    """What was printed is no whole sweep."""


@dataclass(frozen=True)
class Row:
    """One figure of a role: middle and busiest machine, by the number of machines."""

    role: str
    what: str
    machines: list[int]
    middle: list[float]
    busiest: list[float]

    def carried_on(self) -> tuple[float, float]:
        """Return the busiest at letter 1's size, by the last two sizes and by the first and last.

        A figure grows as a power of the machines, between 0 and 2.
        """
        return self._extrapolated(-2), self._extrapolated(0)

    def _extrapolated(self, first: int) -> float:
        grown = math.log(self.busiest[-1] / self.busiest[first])
        power = grown / math.log(self.machines[-1] / self.machines[first])
        factor = LETTER_MACHINES / self.machines[-1]
        return float(self.busiest[-1] * factor ** min(2.0, max(0.0, power)))


def read_sweep(text: str) -> list[Row]:
    """Return the figures by role; raises `SweepError`."""
    lines = text.splitlines()
    head = next((line for line in lines if _SIZES.match(line)), None)
    if head is None:
        raise SweepError("no line names the numbers of machines")
    machines = [int(size) for size in head.partition("power")[0].split()]
    rows: list[Row] = []
    for line in lines:
        match = _ROW.match(line)
        if match is None:
            continue
        pairs = _PAIR.findall(match["figures"])
        if len(pairs) != len(machines):
            raise SweepError(f"{len(pairs)} figures for {len(machines)} sizes: {line}")
        middle = [float(pair[0]) for pair in pairs]
        busiest = [float(pair[1]) for pair in pairs]
        rows.append(Row(match["role"], match["what"], machines, middle, busiest))
    return rows


def add(record: dict[str, list[dict[str, object]]], site: str, code: str, rows: list[Row]) -> None:
    """Add a sweep to the record."""
    same = {"site": site, "code": code}
    record["sweeps"] = [s for s in record["sweeps"] if {k: s[k] for k in same} != same]
    record["sweeps"].append({**same, "rows": [asdict(row) for row in rows]})


def tables(record: dict[str, list[dict[str, object]]]) -> str:
    """Return the sweeps as Markdown."""
    out: list[str] = []
    for sweep in record["sweeps"]:
        raw = sweep["rows"]
        assert isinstance(raw, list)
        rows = [Row(**row) for row in raw]
        sizes = " | ".join(str(size) for size in rows[0].machines)
        out += [f"**{sweep['site']}**, code of {sweep['code']}, middle / busiest machine:", ""]
        out += [f"| role | what | {sizes} | at letter 1's {LETTER_MACHINES:,} |"]
        out += ["|---" * (len(rows[0].machines) + 3) + "|"]
        for row in rows:
            pairs = zip(row.middle, row.busiest, strict=True)
            shown = " | ".join(f"{middle:g} / {busiest:g}" for middle, busiest in pairs)
            low, high = sorted(row.carried_on())
            out.append(f"| {row.role} | {row.what} | {shown} | {low:.3g} to {high:.3g} |")
        out.append("")
    return "\n".join(out).strip()


def main() -> None:
    """Add the sweep that the arguments name."""
    site, code, file = sys.argv[1:]
    record = json.loads(SWEEPS.read_text()) if SWEEPS.exists() else {"sweeps": []}
    add(record, site, code, read_sweep(Path(file).read_text()))
    SWEEPS.write_text(json.dumps(record, indent=1) + "\n")


if __name__ == "__main__":
    main()
