"""A target's control of its runner: starts, watches and stops runs, and detects lost ones."""

from dataclasses import replace
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.bounds import COLD_OVERRUN, LeaseTimes
from paddleshunt_core.leased.evacuation import Evacuations
from paddleshunt_core.leased.foreignruns import ForeignRuns
from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.incarnations import HeartbeatClass, Incarnations
from paddleshunt_core.leased.orders import (
    FinishedRun,
    Order,
    Poll,
    PollAnswer,
    RunEnd,
    RunnerStatus,
    StartAnswer,
    StartRun,
    StopRun,
    Supersede,
)
from paddleshunt_core.leased.progress import (
    MIN_HUNG_RUNS,
    is_faster_elsewhere,
    is_stalled,
    is_stuck,
    record_done,
    record_progress,
)
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.runlogs import (
    late_heartbeat_log,
    run_ended_log,
    run_lapsed_log,
    runner_resized_log,
    start_rejected_log,
)
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation, format_incarnation
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.runnerlosses import RunnerLosses
from paddleshunt_core.leased.runtable import Phase, Run, RunTable
from paddleshunt_core.leased.statuscheck import StatusCheck, contradicting_status_log
from paddleshunt_core.leased.stopping import repeat_stop, stop
from paddleshunt_core.leased.wire import (
    End,
    Health,
    RunId,
    RunnerState,
)

POLL_WAIT_SHARE = 0.07
"""Share of the runner's lease for which a poll may wait for an end while a run is running.

A hung runner or a lost order is noticed only when the poll returns.
"""

MAX_POLL_WAIT = 0.05
"""Maximum wait of a poll in seconds while a run is running, however long the lease.

The answer may show any moment of the wait, so this must be well below `HUNG_SECONDS`.
"""

IDLE_POLL_WAIT_SHARE = 0.45
"""Share of the runner's lease for which a poll may wait while no run is running."""

MIN_DURATION = 0.001
"""Minimum duration in seconds that a run is counted with."""

UNREACHABLE_POLLS = 2
"""Consecutive failed polls after which a runner counts as unreachable."""

_ENDS = {
    RunEnd.DONE: End.DONE,
    RunEnd.FAILED: End.FAILED,
    RunEnd.STOPPED: End.STOPPED,
    RunEnd.LAPSED: End.LOST,
}

Effect = Order | Log


@final
class RunnerControl:
    """State of one runner and of the runs ordered from it."""

    def __init__(
        self, times: LeaseTimes, hall: str = "", cold_overrun: float = COLD_OVERRUN
    ) -> None:
        self._times = times
        self._hall = hall
        self._cold_overrun = cold_overrun
        self._cold_until = float("-inf")
        self.evacuations = Evacuations()
        self.incarnations = Incarnations()
        self.table = RunTable()
        self.status: RunnerStatus | None = None
        self._status_check = StatusCheck()
        self.health = RunnerHealth(cold_overrun)
        self.level = Health.GOOD
        self.leaving = False
        self._ends: list[tuple[Run, End]] = []
        self.losses = RunnerLosses()
        self._last_end_number = 0
        self._lease = RunnerLease(times)
        self._foreign = ForeignRuns(times, self._lease)
        self._failed_polls = 0
        self._waited = 0.0
        """Seconds that the last poll may have waited at the runner."""

    @property
    def foreign_runs_ruled_out(self) -> bool:
        """Whether no foreign run can be running on this incarnation of the runner."""
        return self._foreign.ruled_out

    def add(self, now: float, runs: list[Run]) -> list[Effect]:
        """Start the runs that fit; report the others as `NO_ROOM`, to be placed elsewhere."""
        effects: list[Effect] = []
        until = self._lease.next_end(now, self.table)
        for run in runs:
            if not self._may_start(now, until):
                effects.append(self._report_end(run, End.NO_ROOM, self._why_not_started()))
            elif run.need.fits(self.free()):
                effects.append(self._order(now, run, until))
            else:
                effects.append(self._report_end(run, End.NO_ROOM, "no_room"))
        return effects

    def take_ends(self) -> list[tuple[Run, End]]:
        """Return the runs that have ended since the last call, and how."""
        ends = self._ends
        self._ends = []
        return ends

    def tick(self, now: float) -> list[Effect]:
        """Stop runs that have expired or would end sooner elsewhere; log a change of health."""
        effects: list[Effect] = []
        for run in self.table:
            effects += self._check_run(now, run)
        effects += self._stop_if_slow(now)
        level = self.health.level(now)
        if level is not self.level:
            self.level = level
            speed = round(self.health.speed(now), 2)
            effects.append(note("runner_health", health=level.name.lower(), speed=speed))
        return effects

    def runner_paused(self, seconds: float) -> None:
        """Extend the runner's times, as it may have been paused while its host was suspended."""
        self._lease.clock_paused(seconds)
        self._foreign.clock_paused(seconds)
        for run in self.table:
            run.progressed_at += seconds
            run.observed_at += seconds

    def leave(self) -> None:
        """Start no more runs."""
        self.leaving = True

    def heartbeat_received(self, now: float, status: RunnerStatus) -> list[Effect]:
        """Adopt the status in a heartbeat, unless it is late or contradicts earlier ones."""
        if self.incarnations.classify(status) is HeartbeatClass.LATE:
            self.incarnations.record_late(status)
            return [late_heartbeat_log(status, self.incarnations.current)]
        known = self.status
        if self._status_check.contradicts(known, status):
            return [contradicting_status_log(status)]
        effects: list[Effect] = []
        if not self.incarnations.is_current(status.runner):
            if self.incarnations.current is not None:
                effects += self._runner_replaced(now, status.runner)
            self._foreign.reset(now)
            known = None
        elif known is not None:
            self.losses.heartbeat_received()
        self.status = status
        self.incarnations.accept(status)
        effects += self._record_cold(now, status)
        if known is not None and known.capacity != status.capacity:
            effects.append(runner_resized_log(status, known.capacity))
        if status.leaving and not (known and known.leaving):
            effects.append(note("runner_leaving", runner=str(status.runner)))
        return effects

    def cold_remaining(self, now: float) -> float:
        """Return the remaining seconds of the runner's warm-up."""
        return max(0.0, self._cold_until - now)

    def _record_cold(self, now: float, status: RunnerStatus) -> list[Effect]:
        """Record the remaining warm-up, which counts down until the next heartbeat."""
        was_cold = self.cold_remaining(now) > 0
        self._cold_until = now + status.cold
        self.health.set_cold_remaining(now, status.cold)
        if not status.cold or was_cold:
            return []
        left = round(status.cold * 1000)
        return [note("runner_cold", runner=str(status.runner), left_ms=left)]

    def runner_deregistered(self, now: float, incarnation: RunnerIncarnation) -> list[Effect]:
        """Handle the runner's notice that it is about to end: stop its runs, and start no more."""
        current = self.incarnations.current
        if current is None or not self.incarnations.is_current(incarnation):
            self.incarnations.mark_ended(incarnation)
            return []
        if self.status is not None:
            # An announced end is no crash, so it is no evidence against its runs.
            self.status = replace(self.status, leaving=True)
        if current.born and not incarnation.born:
            # This may be a late notice of an earlier incarnation: nothing is started until the next
            # heartbeat, and runs continue until polls show that they have ended.
            return [note("runner_leaving", runner=str(current))]
        self.incarnations.mark_ended(incarnation)
        if not len(self.table):
            return self._runner_replaced(now, None)
        # The runner is up until it receives the acknowledgement, or for seconds more: its runs are
        # over only when its lists or the end of its lease show it.
        self.losses.end_announced()
        effects: list[Effect] = [note("runner_ending", runner=str(current), runs=len(self.table))]
        for run in self.table:
            effects += self.cancel(now, run, "runner_ending")
        return effects

    def next_poll(self, now: float, *, renew: bool) -> Poll:
        """Return the poll to send now, and count it as sent; `renew`: whether to renew the lease.

        After a failed poll, the next one neither waits nor renews: otherwise the lease of a runner
        that doesn't answer would never end, and its runs would never be known to be lost.
        """
        self._waited = 0.0 if self._failed_polls else self._poll_wait()
        if self._failed_polls:
            return Poll(self._last_end_number, None, 0.0)
        until = self._lease.next_end(now, self.table) if renew else now
        if until <= now:
            return Poll(self._last_end_number, None, self._waited)
        self._lease.grant(until)
        return Poll(self._last_end_number, until, self._waited)

    def _poll_wait(self) -> float:
        # The first heartbeat changes the incarnation that polls address; a long poll would be lost.
        if not self.foreign_runs_ruled_out or self.status is None:
            return 0.0
        if any(run.unanswered_at is not None or run.phase is Phase.STOPPING for run in self.table):
            return 0.0
        if not len(self.table):
            return self._times.hold * IDLE_POLL_WAIT_SHARE
        return min(MAX_POLL_WAIT, self._times.hold * POLL_WAIT_SHARE)

    def poll_answered(self, now: float, answer: PollAnswer) -> list[Effect]:
        """Handle the runner's lists of running and finished runs."""
        effects = self._record_answer()
        incarnation = self._sender_of(answer)
        if incarnation is not None and not self.incarnations.is_current(incarnation):
            # The poll was addressed to the previous incarnation; the next one reads the lists.
            return effects + self._runner_replaced(
                now, incarnation, answered=self.foreign_runs_ruled_out
            )
        if incarnation is not None:
            self.incarnations.confirm(incarnation)
        return effects + self._read_lists(now, answer)

    def _record_answer(self) -> list[Effect]:
        """Reset the failed polls; log if the runner was unreachable."""
        was_unreachable = self._failed_polls >= UNREACHABLE_POLLS
        self._failed_polls = 0
        return [note("runner_reachable")] if was_unreachable else []

    def _sender_of(self, answer: PollAnswer) -> RunnerIncarnation | None:
        """Return the incarnation that answered; None if the poll was sent to no particular one."""
        current = self.incarnations.current
        return None if current is None else RunnerIncarnation(current.id, answer.born)

    def _read_lists(self, now: float, answer: PollAnswer) -> list[Effect]:
        effects: list[Effect] = []
        self.losses.poll_answered()
        self._last_end_number = max(self._last_end_number, answer.listed)
        # This process may have been paused before it read the answer, which is then older.
        observed_at = min(now, answer.sent + self._waited)
        for finished in answer.finished:
            effects += self._run_finished(now, observed_at, finished)
        running = {row.run: row.percent for row in answer.running}
        self._foreign.update(answer, self.table)
        effects += self._stop_foreign()
        for run in self.table:
            if answer.unread_end:
                run.record_unread_end()
            if run.is_orphaned:
                effects += self._check_orphan(now, run, answer, listed=run.id in running)
            elif run.id in running:
                effects += self._run_listed(now, observed_at, run, running[run.id])
            elif not answer.partial:
                effects += self._run_not_listed(now, run, answer)
        return effects + self._stop_if_hung(now, observed_at)

    def _run_not_listed(self, now: float, run: Run, answer: PollAnswer) -> list[Effect]:
        """Handle a run that is missing from a complete list."""
        if run.unanswered_at is not None and run.unanswered_at < answer.sent:
            return [*stop(now, run, End.NOT_STARTED, "start_unanswered")]
        if run.confirmed_at is not None and run.confirmed_at < answer.sent:
            return self._run_gone(run)
        return []

    def _check_orphan(
        self, now: float, run: Run, answer: PollAnswer, *, listed: bool
    ) -> list[Effect]:
        """Handle a run that was ordered from the previous incarnation, as the order may come late.

        Polls that the current incarnation answers carry a higher fencing token, so a run that is
        not listed in an answer never starts there. Until such an answer, its task must not be
        placed elsewhere.
        """
        if listed:
            self._lease.extend_for_late_order(now)
            run.is_orphaned = False
            run.confirmed_at = None
            run.ordered_at = now
            return [StopRun(run.id)]
        if answer.partial or not self._foreign.is_after_reset(answer):
            return []
        return self._end_run(run, End.LOST, "runner_replaced")

    def poll_failed(self, now: float, *, other_incarnation: bool = False) -> list[Effect]:
        """Handle a poll that got no answer, or was answered by another id (`other_incarnation`)."""
        if other_incarnation:
            return self._runner_replaced(now, None, answered=self.foreign_runs_ruled_out)
        effects: list[Effect] = []
        self.losses.poll_failed(now)
        self._failed_polls += 1
        if self._failed_polls == UNREACHABLE_POLLS:
            effects.append(note("runner_unreachable", runs=len(self.table)))
            self.losses.report_silent(now, self.status, self.table)
        if self._lease.has_surely_expired(now) and len(self.table):
            effects.append(self.losses.report_lost(now, self.status, self.table))
            for run in self.table:
                effects.append(run_lapsed_log(run, self._lease.seconds_past_end(now)))
                effects += self._end_run(run, End.LOST, "lease_lapsed")
            # A late order may reach a new incarnation, whose clock starts anew.
            effects.append(Supersede())
        return effects

    def start_answered(self, now: float, id_: RunId, answer: StartAnswer) -> list[Effect]:
        """Handle the outcome of an order to start."""
        run = self.table.get(id_)
        if run is None:
            return []
        run.confirmed_at = now
        match answer:
            case StartAnswer.STARTED:
                return self._started(now, run)
            case StartAnswer.NO_ROOM:
                return self._no_room(run)
            case StartAnswer.UNKNOWN:
                return self._start_unanswered(now, run)
            case StartAnswer.OTHER_INCARNATION if not run.is_orphaned:
                return self._runner_replaced(now, None)
            case StartAnswer.UNHEALTHY:
                self.health.mark_sick(now)
            case _:
                pass
        end = End.STALE if answer is StartAnswer.STALE else End.NOT_STARTED
        return self._end_run(run, end, f"start_{answer.value}")

    def stop_answered(self, now: float, id_: RunId, *, done: bool) -> list[Effect]:
        """Handle the outcome of an order to stop; an unanswered one is sent again."""
        run = self.table.get(id_)
        if run is None:
            return []
        if done:
            run.confirmed_at = now
            return []
        run.ordered_at = now
        return []

    def state(self) -> RunnerState:
        """Return whether the runner may get new runs, and if not, why."""
        if self.status is None or self._failed_polls >= UNREACHABLE_POLLS:
            return RunnerState.DOWN
        if self.leaving or self.status.leaving:
            return RunnerState.LEAVING
        if self.evacuations.covers(self.status.hall or self._hall):
            return RunnerState.EVACUATED
        return RunnerState.READY

    def may_send(self, id_: RunId) -> bool:
        """Whether an order to start that is about to be sent is still wanted and allowed."""
        run = self.table.get(id_)
        wanted = run is not None and run.phase is Phase.STARTING
        return wanted and self.state() is RunnerState.READY and not self._is_overfilled()

    def _is_overfilled(self) -> bool:
        """Whether the runs need more than the runner's capacity, which has shrunk since.

        Running runs continue; an order that has not been sent yet is held back.
        """
        return self.status is None or not self.table.used.fits(self.status.capacity)

    def free(self) -> Resources:
        """Return the free resources of the runner."""
        if self.status is None:
            return NO_RESOURCES
        return self.status.capacity - self.table.used

    def offered(self, now: float) -> Resources:
        """Return the free resources to offer to entries: none while nothing may start."""
        until = self._lease.next_end(now, self.table)
        return self.free() if self._may_start(now, until) else NO_RESOURCES

    def _order(self, now: float, run: Run, until: float) -> StartRun:
        self._lease.grant(until)
        self.table.add(run)
        run.decided_at = run.ordered_at = run.progressed_at = run.observed_at = now
        return StartRun(run.id, run.spec, until, run.entry, now)

    def _may_start(self, now: float, until: float) -> bool:
        """Whether a run may start under a lease that ends at `until`."""
        if (
            not self.foreign_runs_ruled_out
            or self._foreign
            or self.state() is not RunnerState.READY
        ):
            return False
        if self._failed_polls:
            # The runner may have crashed, and a run ordered now could be mistaken for the cause.
            return False
        if not self._lease.is_enough(now, until):
            return False
        if self.level is Health.GOOD:
            return True
        return self.level is Health.PROBATION and self.table.used == NO_RESOURCES

    def _why_not_started(self) -> str:
        """Return why nothing may start here now, for the log."""
        if not self.foreign_runs_ruled_out:
            return "runner_not_looked_at"
        if self._foreign:
            return "foreign_runs"
        return "runner_unanswered" if self._failed_polls else "runner_not_ready"

    def _started(self, now: float, run: Run) -> list[Effect]:
        if run.phase is Phase.STARTING:
            run.mark_running(now)
        if run.phase is Phase.RUNNING:
            return []
        run.ordered_at = now
        run.confirmed_at = None
        return [StopRun(run.id)]

    def _no_room(self, run: Run) -> list[Effect]:
        if run.phase is not Phase.STARTING:
            return self._end_run(run, run.end_after_stop, "no_room")
        log = start_rejected_log(run, self.table.used.processor)
        return [log, *self._end_run(run, End.NO_ROOM, "rejected")]

    def cancel(self, now: float, run: Run, reason: str, since: float | None = None) -> list[Effect]:
        """Stop a run that has been unwanted `since` that time (default: now)."""
        if run.phase is Phase.STOPPING:
            run.unwanted_since = min(run.unwanted_since, now if since is None else since)
            return []
        return [*stop(now, run, End.STOPPED, reason, since)]

    def _check_run(self, now: float, run: Run) -> list[Effect]:
        if run.phase is Phase.STOPPING:
            return [*repeat_stop(now, run)]
        if run.phase is Phase.RUNNING and now > run.expires:
            return [*stop(now, run, End.STOPPED, "expired")]
        return []

    def _stop_if_slow(self, now: float) -> list[Effect]:
        """Stop the runs that would end sooner elsewhere, if the runner has become slow."""
        if not self.health.is_slow(now):
            return []
        speed = self.health.speed(now)
        self.health.mark_sick(now)
        return [
            effect
            for run in self.table
            if run.phase is Phase.RUNNING and is_faster_elsewhere(run, speed)
            for effect in stop(now, run, End.STUCK, "slow")
        ]

    def _stop_if_hung(self, now: float, observed_at: float) -> list[Effect]:
        """Stop all runs if none of them was making progress at `observed_at`."""
        runs = [run for run in self.table if run.phase is Phase.RUNNING]
        if len(runs) < MIN_HUNG_RUNS or not all(
            is_stalled(observed_at, run, self.health.overrun_factor(run.progressed_at))
            for run in runs
        ):
            return []
        self.health.mark_sick(now)
        return [
            effect for run in runs for effect in stop(now, run, End.STUCK, "runner_stands_still")
        ]

    def _run_finished(self, now: float, observed_at: float, finished: FinishedRun) -> list[Effect]:
        self._last_end_number = max(self._last_end_number, finished.number)
        run = self.table.get(finished.run)
        if run is None:
            return []
        end = _ENDS[finished.end]
        if finished.end is RunEnd.DONE:
            record_done(now, observed_at, run, self.health)
            duration = max(observed_at - run.ordered_at, MIN_DURATION)
            self.health.done(now, run.estimate / duration, run.ordered_at)
        elif finished.end is RunEnd.FAILED:
            self.health.failed(now)
        elif finished.end is RunEnd.STOPPED:
            end = run.end_after_stop if run.phase is Phase.STOPPING else End.STOPPED
            if end is End.NOT_STARTED:
                end = End.STOPPED
        return self._end_run(run, end, finished.end.value)

    def _start_unanswered(self, now: float, run: Run) -> list[Effect]:
        """Leave it to the next poll to show whether an unanswered start was executed."""
        run.confirmed_at = None
        if run.phase is Phase.STARTING:
            run.unanswered_at = now
            return []
        if run.phase is Phase.STOPPING:
            return [StopRun(run.id)]
        return []

    def _run_listed(self, now: float, observed_at: float, run: Run, percent: int) -> list[Effect]:
        if run.phase is Phase.STARTING:
            run.mark_running(now)
        run.unanswered_at = None
        run.confirmed_at = now if run.phase is Phase.RUNNING else run.confirmed_at
        record_progress(now, observed_at, run, percent, self.health)
        if run.phase is Phase.RUNNING and is_stuck(
            observed_at, run, self.health.overrun_factor(run.progressed_at)
        ):
            self.health.mark_sick(now)
            return [*stop(now, run, End.STUCK, "no_progress")]
        return []

    def _run_gone(self, run: Run) -> list[Effect]:
        """End a run that a later poll no longer lists."""
        if run.phase is Phase.STOPPING:
            return self._end_run(run, run.end_after_stop, "gone")
        return self._end_run(run, End.LOST, "gone")

    def _stop_foreign(self) -> list[Effect]:
        """Stop the runs of an earlier process; nothing starts until they are gone."""
        effects: list[Effect] = []
        for id_ in self._foreign:
            effects.append(note("foreign_run_stopping", str(id_.task), run=id_.number))
            effects.append(StopRun(id_))
        return effects

    def _runner_replaced(
        self, now: float, successor: RunnerIncarnation | None, *, answered: bool = True
    ) -> list[Effect]:
        """End all runs of the current incarnation, which has ended.

        Orders that are still in flight may be executed by `successor`, the incarnation that is
        known to answer in its place, if that has the same id. If the current incarnation never
        `answered`, it may have registered early and start once its predecessor has drained.
        """
        ended = self.incarnations.current
        effects: list[Effect] = [
            note(
                "runner_replaced", was=format_incarnation(ended), now=format_incarnation(successor)
            )
        ]
        effects += self.losses.report_replaced(now, self.status, self.table)
        may_run_late = successor is not None and ended is not None and ended.has_same_id(successor)
        for run in self.table:
            if may_run_late:
                run.orphan(now)
            else:
                effects += self._end_run(run, End.LOST, "runner_replaced")
        if may_run_late:
            self._lease.extend_for_late_order(now)
        self.health = RunnerHealth(self._cold_overrun)
        self._cold_until = float("-inf")
        self._last_end_number = 0
        self.status = None
        self.incarnations.end_current(answered=answered)
        self._foreign.reset(now)
        if successor is not None:
            self.incarnations.set_current(successor)
        return effects

    def _end_run(self, run: Run, end: End, reason: str) -> list[Effect]:
        self.table.drop(run)
        return [self._report_end(run, end, reason)]

    def _report_end(self, run: Run, end: End, reason: str) -> Log:
        """Report the end of a run to its entry."""
        self._ends.append((run, end))
        return run_ended_log(run, end, reason)
