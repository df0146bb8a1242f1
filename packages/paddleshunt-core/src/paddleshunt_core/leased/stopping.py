"""Orders to stop a run, repeated until the runner confirms one."""

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import StopRun
from paddleshunt_core.leased.runtable import Phase, Run
from paddleshunt_core.leased.wire import End

STOP_RETRY = 0.1
"""Seconds after which an unanswered stop is sent again."""


def stop(
    now: float, run: Run, end: End, reason: str, since: float | None = None
) -> list[StopRun | Log]:
    """Stop a run that has been unwanted `since` that time (default: now), to end as `end`.

    If its order to start has not been answered yet, the stop is sent once it has.
    """
    start_in_flight = (
        run.phase is Phase.STARTING and run.confirmed_at is None and run.unanswered_at is None
    )
    run.phase = Phase.STOPPING
    run.unwanted_since = now if since is None else since
    run.unanswered_at = None
    run.end_after_stop = End.LOST if run.may_have_ended and end is End.NOT_STARTED else end
    log = note("run_stopping", str(run.id.task), run=run.id.number, reason=reason)
    if start_in_flight:
        return [log]
    run.ordered_at = now
    run.confirmed_at = None
    return [log, StopRun(run.id)]


def repeat_stop(now: float, run: Run) -> list[StopRun | Log]:
    """Repeat the order to stop if the runner has not confirmed it within `STOP_RETRY`."""
    if run.confirmed_at is not None or now <= run.ordered_at + STOP_RETRY:
        return []
    run.ordered_at = now
    return [StopRun(run.id)]
