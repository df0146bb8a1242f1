"""Log lines about single runs at a target."""

from collections.abc import Iterable

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation, format_incarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import End

MOST_NAMED = 16
"""Runs that one line names; a runner seldom has more at work."""


def runner_lost_note(runner: str, how: str, silent_since: float, runs: Iterable[Run]) -> Log:
    """Return the line that says what was at work on a runner that is lost, and for how long.

    `how`: silent (no answer until its lease was over) or replaced (another life answers). Times are
    milliseconds from a run's start until the runner fell silent.
    """
    worked = [f"{run.id}:{max(0, round((silent_since - run.began) * 1000))}" for run in runs]
    named = ",".join(worked[:MOST_NAMED])
    return note("runner_lost", runner=runner, how=how, runs=len(worked), worked_ms=named)


def ended_note(run: Run, end: End, reason: str) -> Log:
    """Return the line that says how a run ended, or why it did not begin."""
    fields: dict[str, str | int | float] = {
        "run": run.id.number,
        "end": end.name.lower(),
        "reason": reason,
        "percent": run.percent,
        "entry": run.entry,
    }
    return note("run_ended", str(run.id.task), **fields)


def lapsed_note(run: Run, over: float) -> Log:
    """Return the line that says why a run counts as lost: its lease ended `over` seconds ago."""
    fields: dict[str, str | int | float] = {
        "run": run.id.number,
        "phase": run.phase.name.lower(),
        "lease_over_ms": round(over * 1000),
        "answered": run.settled is not None,
    }
    return note("run_lapsed", str(run.id.task), **fields)


def late_note(status: RunnerStatus, known: RunnerIncarnation | None) -> Log:
    """Return the line on an account that is passed over; `known`: the life that is followed."""
    fields: dict[str, str | int | float] = {
        "runner": str(status.runner),
        "sequence": status.sequence,
        "leaving": status.leaving,
        "known": format_incarnation(known),
    }
    return note("heartbeat_late", **fields)


def resized_note(status: RunnerStatus, before: Resources) -> Log:
    """Return the line that says what a runner that goes on running has now, and had before."""
    now = status.capacity
    fields: dict[str, str | int | float] = {
        "runner": str(status.runner),
        "processor": now.processor,
        "processor_before": before.processor,
        "memory": now.memory,
        "memory_before": before.memory,
        "accelerators": now.accelerators,
        "accelerators_before": before.accelerators,
    }
    return note("runner_resized", **fields)


def rejected_note(run: Run, used: int) -> Log:
    """Return the line that says that the runner had no room, and what was thought to be `used`."""
    fields: dict[str, str | int | float] = {"used": used, "run": run.id.number}
    return note("start_rejected", str(run.id.task), **fields)
