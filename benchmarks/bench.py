"""`make bench`: real processes at today's sizes, under load and faults, measured.

Prints a table a size as Markdown. Every figure is of this run on this machine; compare only
figures of one machine, and medians of several runs.
"""

import argparse
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from load import Outcome, Phase, run_phase
from processes import COUNCIL, HRAFNSEY, Fleet, Size

MEAN_TASK = 0.275
IDLE_SECONDS = 10.0


@dataclass(frozen=True)
class Usage:
    """What the processes did in a stretch of time."""

    seconds: float
    counters: Counter[str]
    cpu: dict[str, float]


def measured(fleet: Fleet, action: Callable[[], Outcome | None]) -> tuple[Outcome | None, Usage]:
    """Run `action` and return what the processes did meanwhile."""
    before, cpu_before = fleet.counters(), fleet.cpu()
    begin = time.monotonic()
    outcome = action()
    time.sleep(0.5)
    seconds = time.monotonic() - begin
    counters: Counter[str] = Counter()
    for pid, after in fleet.counters().items():
        # What a killed process had counted is gone; only those that lived through are compared.
        counters.update({n: c - before.get(pid, Counter())[n] for n, c in after.items()})
    cpu = {n: s - cpu_before.get(n, 0.0) for n, s in fleet.cpu().items()}
    return outcome, Usage(seconds, counters, cpu)


def phases(size: Size) -> list[Phase]:
    """Return the load phases for a size; capacity is slots over the mean task."""
    capacity = size.slots_in_all / MEAN_TASK / 10
    return [
        Phase("light (10%)", 0.1 * capacity, int(capacity * 2)),
        Phase("80%", 0.8 * capacity, int(capacity * 10)),
        Phase("overload 5x", 5.0 * capacity, int(capacity * 40)),
        Phase("burst of 8 s of work", 0.0, int(capacity * 8)),
        Phase("50%, 5% stragglers", 0.5 * capacity, int(capacity * 6), straggler_share=0.05),
    ]


def faults(fleet: Fleet) -> list[tuple[Phase, Callable[[], None], Callable[[], None]]]:
    """Return phases at half load with a fault in each, and what mends it."""
    capacity = fleet.size.slots_in_all / MEAN_TASK / 10
    half = 0.5 * capacity
    target = f"{next(iter(fleet.size.sites))}-0"

    def kill(name: str) -> Callable[[], None]:
        return lambda: fleet.daemons[name].process.kill()

    def again(name: str) -> Callable[[], None]:
        def launch() -> None:
            fleet.launch(name)
            fleet.wait_ready()

        return launch

    def store(down: bool) -> Callable[[], None]:
        return lambda: setattr(fleet.store, "down", down)

    count = int(half * 10)
    return [
        (Phase("50%, a target killed", half, count), kill(target), again(target)),
        (Phase("50%, an entry killed", half, count), kill("entry-0"), again("entry-0")),
        (Phase("50%, store down", half, count), store(True), store(False)),
    ]


def row(phase: Phase, outcome: Outcome, usage: Usage, size: Size) -> str:
    """Return a phase's row of the table."""
    tasks = max(1, outcome.tasks_done)
    sent = {n: c for n, c in usage.counters.items() if 'way="out"' in n}
    messages = sum(c for n, c in sent.items() if "messages_total" in n)
    size_bytes = sum(c for n, c in sent.items() if "bytes" in n)
    waste = sum(c for n, c in usage.counters.items() if n.startswith("paddleshunt_waste_"))
    refused_ms = outcome.refusals.get_value_at_percentile(50)
    busy = outcome.tasks_done * MEAN_TASK / size.slots_in_all / max(0.1, outcome.seconds)
    kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(outcome.outcomes.items()))
    ratio = [outcome.ratios.get_value_at_percentile(p) / 1000 for p in (50, 99)]
    overhead = outcome.overhead.get_value_at_percentile(50) / 1000
    return (
        f"| {phase.name} | {kinds} | {ratio[0]:.3f} | {ratio[1]:.2f} | {overhead:.1f} "
        f"| {refused_ms} | {outcome.tasks_done / outcome.seconds:.0f} | {busy:.0%} "
        f"| {messages / tasks:.2f} | {size_bytes / tasks:.0f} | {waste / tasks:.3f} "
        f"| {cpu_percent(usage, 'entry'):.1f} | {cpu_percent(usage, 'target'):.1f} "
        f"| {outcome.wrong} |"
    )


def cpu_percent(usage: Usage, role: str) -> float:
    """Return the mean processor use of a role's processes in percent of a core."""
    entries = [s for n, s in usage.cpu.items() if n.startswith("entry")]
    targets = [s for n, s in usage.cpu.items() if not n.startswith(("entry", "runner"))]
    chosen = entries if role == "entry" else targets
    return sum(chosen) / max(1, len(chosen)) / usage.seconds * 100


HEAD = (
    "| phase | outcomes | response/ideal p50 | p99 | overhead p50 ms | refused after p50 ms "
    "| tasks/s | of capacity | messages/task | bytes/task | wasted/task "
    "| entry cpu % | target cpu % | wrong |"
)


def bench(size: Size, only: str) -> None:
    """Measure one size and print its table."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(size, Path(folder))
        try:
            fleet.start()
            time.sleep(2.0)
            _print_idle(fleet)
            print(HEAD)
            print("|" + "---|" * HEAD.count(" | ") + "---|")
            urls = [entry.url for entry in fleet.of_role("entry")]
            for number, phase in enumerate(phases(size)):
                if only in phase.name:
                    _print_phase(fleet, phase, urls, number, None)
            for number, (phase, fault, mend) in enumerate(faults(fleet)):
                if only in phase.name:
                    _print_phase(fleet, phase, urls, 100 + number, fault)
                    mend()
                    time.sleep(3.0)
            _print_memory(fleet, "after all phases")
        finally:
            fleet.stop()


def _print_phase(
    fleet: Fleet, phase: Phase, urls: list[str], seed: int, during: Callable[[], None] | None
) -> None:
    outcome, usage = measured(fleet, lambda: run_phase(phase, urls, seed, during))
    assert outcome is not None
    print(row(phase, outcome, usage, fleet.size), flush=True)
    kinds = {
        name.split('kind="')[1].split('"')[0]: round(count / max(1, outcome.tasks_done), 3)
        for name, count in usage.counters.items()
        if "messages_total" in name and 'way="out"' in name and count
    }
    waste = {
        n.removeprefix("paddleshunt_waste_"): c
        for n, c in usage.counters.items()
        if n.startswith("paddleshunt_waste_") and c
    }
    print(f"<!-- {phase.name}: messages a task {kinds}; waste {waste} -->", flush=True)
    time.sleep(1.5)


def _print_idle(fleet: Fleet) -> None:
    _, usage = measured(fleet, lambda: time.sleep(IDLE_SECONDS))
    daemons = len(fleet.of_role("entry")) + len(fleet.of_role("target"))
    sent = sum(c for n, c in usage.counters.items() if "bytes" in n and 'way="out"' in n)
    print(
        f"\n## {fleet.size.name}: {len(fleet.of_role('entry'))} entries, "
        f"{len(fleet.of_role('target'))} targets of {fleet.size.slots} slots\n\n"
        f"Idle: entry {cpu_percent(usage, 'entry'):.2f}% and target "
        f"{cpu_percent(usage, 'target'):.2f}% of a core, "
        f"{sent / daemons / usage.seconds:.0f} bytes/s sent a process."
    )
    _print_memory(fleet, "idle")


def _print_memory(fleet: Fleet, when: str) -> None:
    for role in ("entry", "target"):
        found = sorted(daemon.rss_mb() for daemon in fleet.of_role(role))
        print(f"\nRSS of {role}s, {when}: {found[0]:.1f} to {found[-1]:.1f} MB.")
    print()


def main() -> None:
    """Measure the sizes asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", choices=("council", "hrafnsey", "both"), default="both")
    parser.add_argument("--only", default="", help="only phases whose name has this text")
    chosen = parser.parse_args()
    for size in (COUNCIL, HRAFNSEY):
        if chosen.size in (size.name, "both"):
            bench(size, chosen.only)


if __name__ == "__main__":
    main()
