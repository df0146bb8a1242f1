"""Log lines about single runs at a target."""

from collections.abc import Iterable

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation, format_incarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import End

MAX_RUNS_LISTED = 16
"""Maximum number of runs listed in one log line."""


def runner_lost_log(runner: str, how: str, silent_since: float, runs: Iterable[Run]) -> Log:
    """Return the log line for a lost runner, with its runs and the time each had been running.

    `how`: silent (no answer until its lease ended) or replaced (another incarnation answers). Times
    are milliseconds from the decision to start a run until the runner stopped answering.
    """
    worked = [f"{run.id}:{max(0, round((silent_since - run.decided_at) * 1000))}" for run in runs]
    named = ",".join(worked[:MAX_RUNS_LISTED])
    return note("runner_lost", runner=runner, how=how, runs=len(worked), worked_ms=named)


def run_ended_log(run: Run, end: End, reason: str) -> Log:
    """Return the log line for how a run ended, or why it did not start."""
    fields: dict[str, str | int | float] = {
        "run": run.id.number,
        "end": end.name.lower(),
        "reason": reason,
        "percent": run.percent,
        "entry": run.entry,
    }
    return note("run_ended", str(run.id.task), **fields)


def run_lapsed_log(run: Run, seconds: float) -> Log:
    """Return the log line for a run that is lost as its lease ended `seconds` ago."""
    fields: dict[str, str | int | float] = {
        "run": run.id.number,
        "phase": run.phase.name.lower(),
        "lease_over_ms": round(seconds * 1000),
        "answered": run.confirmed_at is not None,
    }
    return note("run_lapsed", str(run.id.task), **fields)


def late_heartbeat_log(status: RunnerStatus, known: RunnerIncarnation | None) -> Log:
    """Return the log line for an ignored, late heartbeat; `known` is the current incarnation."""
    fields: dict[str, str | int | float] = {
        "runner": str(status.runner),
        "sequence": status.sequence,
        "leaving": status.leaving,
        "known": format_incarnation(known),
    }
    return note("heartbeat_late", **fields)


def runner_resized_log(status: RunnerStatus, before: Resources) -> Log:
    """Return the log line for a changed capacity of a running runner."""
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


def start_rejected_log(run: Run, used: int) -> Log:
    """Return the log line for a start that the runner rejected with `used` counted as in use."""
    fields: dict[str, str | int | float] = {"used": used, "run": run.id.number}
    return note("start_rejected", str(run.id.task), **fields)
