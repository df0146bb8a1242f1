"""A target's control of its runner: which runs it orders, keeps alive, stops and gives up."""

from dataclasses import replace
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.accounts import AccountCheck, contradiction_note
from paddleshunt_core.leased.bounds import COLD_OVERRUN, LeaseTimes
from paddleshunt_core.leased.evacuation import Evacuations
from paddleshunt_core.leased.foreignruns import ForeignRuns
from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.incarnations import Claim, Incarnations
from paddleshunt_core.leased.orders import (
    FinishedRun,
    Look,
    LookAnswer,
    Order,
    RunEnd,
    RunnerAccount,
    StartAnswer,
    StartRun,
    StopRun,
    Supersede,
)
from paddleshunt_core.leased.progress import (
    HUNG_RUNS,
    is_better_elsewhere,
    is_stuck,
    note_done,
    note_progress,
    stands_still,
)
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.runnerlife import RunnerLife, as_told
from paddleshunt_core.leased.runnerlosses import RunnerLosses
from paddleshunt_core.leased.runnotes import (
    ended_note,
    lapsed_note,
    late_note,
    rejected_note,
    resized_note,
)
from paddleshunt_core.leased.runtable import Phase, Run, RunTable
from paddleshunt_core.leased.stopping import stop, stop_again
from paddleshunt_core.leased.wire import (
    End,
    Health,
    RunId,
    RunnerState,
)

LOOK_SHARE = 0.07
"""Part of the runner's lease that one look may wait for an end: 48 ms of the council's 0.69 s.

What only a look can tell, a hang or an order that was lost, is known so much sooner.
"""

LOOK_SECONDS = 0.05
"""Longest wait of a look while a run is at work, however long the lease.

Its answer shows some moment of the wait, which is not known closer: it must be short beside the
time after which a runner counts as hung (`HUNG_SECONDS`).
"""

IDLE_LOOK_SHARE = 0.45
"""The same while no run is at work."""

MIN_SECONDS = 0.001
"""Shortest time that a run is taken to have lasted."""

UNREACHABLE_LOOKS = 2
"""Looks in a row without an answer after which a runner counts as unreachable."""

_ENDS = {
    RunEnd.DONE: End.DONE,
    RunEnd.FAILED: End.FAILED,
    RunEnd.STOPPED: End.STOPPED,
    RunEnd.LAPSED: End.LOST,
}

Effect = Order | Log


@final
class RunnerControl:
    """State of one runner. `take_ends` tells which runs have ended since it was asked last."""

    def __init__(
        self, times: LeaseTimes, hall: str = "", cold_overrun: float = COLD_OVERRUN
    ) -> None:
        self._times = times
        self._hall = hall
        self._cold_overrun = cold_overrun
        self._cold_until = float("-inf")
        self.evacuations = Evacuations()
        self.lives = Incarnations()
        self.table = RunTable()
        self.account: RunnerAccount | None = None
        self._check_account = AccountCheck()
        self.health = RunnerHealth(cold_overrun)
        self.level = Health.GOOD
        self.leaving = False
        self._ends: list[tuple[Run, End]] = []
        self.losses = RunnerLosses()
        self._last_seen = 0
        self._lease = RunnerLease(times)
        self._foreign = ForeignRuns(times, self._lease)
        self._failed_looks = 0
        self._waited = 0.0
        """Seconds that the last look may have waited at the runner."""

    @property
    def clean(self) -> bool:
        """Whether nothing foreign can be at work on this life of the runner."""
        return self._foreign.clean

    def add(self, now: float, runs: list[Run]) -> list[Effect]:
        """Start what fits, and give back the rest at once: other targets may have room."""
        effects: list[Effect] = []
        until = self._lease.next_end(now, self.table)
        for run in runs:
            if not self._may_start(now, until):
                effects.append(self._tell(run, End.NO_ROOM, self._why_not_started()))
            elif run.need.fits(self.free()):
                effects.append(self._order(now, run, until))
            else:
                effects.append(self._tell(run, End.NO_ROOM, "no_room"))
        return effects

    def take_ends(self) -> list[tuple[Run, End]]:
        """Return the runs that have ended, and how, once."""
        ends = self._ends
        self._ends = []
        return ends

    def tick(self, now: float) -> list[Effect]:
        """Act on the passing of time."""
        effects: list[Effect] = []
        for run in self.table:
            effects += self._check(now, run)
        effects += self._leave_slow(now)
        level = self.health.level(now)
        if level is not self.level:
            self.level = level
            speed = round(self.health.speed(now), 2)
            effects.append(note("runner_health", health=level.name.lower(), speed=speed))
        return effects

    def runner_stood_still(self, seconds: float) -> None:
        """Note that the runner's clock and work may have stood still, as its host was suspended."""
        self._lease.stood_still(seconds)
        self._foreign.stood_still(seconds)
        for run in self.table:
            run.moved += seconds
            run.seen += seconds

    def leave(self) -> None:
        """Start nothing more."""
        self.leaving = True

    def runner_spoke(self, now: float, account: RunnerAccount) -> list[Effect]:
        """Follow the runner's account of itself, unless it is late; it may be of another life."""
        if self.lives.judge(account) is Claim.LATE:
            self.lives.pass_over(account)
            return [late_note(account, self.lives.current)]
        known = self.account
        if self._check_account.contradicts(known, account):
            return [contradiction_note(account)]
        effects: list[Effect] = []
        if not self.lives.is_current(account.runner):
            if self.lives.current is not None:
                effects += self._runner_replaced(now, account.runner)
            self._foreign.meet(now)
            known = None
        elif known is not None:
            self.losses.spoke()
        self.account = account
        self.lives.follow(account)
        effects += self._note_cold(now, account)
        if known is not None and known.capacity != account.capacity:
            effects.append(resized_note(account, known.capacity))
        if account.leaving and not (known and known.leaving):
            effects.append(note("runner_leaving", runner=str(account.runner)))
        return effects

    def cold(self, now: float) -> float:
        """Return for how many seconds the runner stays slow yet after its start."""
        return max(0.0, self._cold_until - now)

    def _note_cold(self, now: float, account: RunnerAccount) -> list[Effect]:
        """Follow the runner's word on how long it stays slow; it runs down until the next."""
        was_cold = self.cold(now) > 0
        self._cold_until = now + account.cold
        self.health.set_cold_remaining(now, account.cold)
        if not account.cold or was_cold:
            return []
        left = round(account.cold * 1000)
        return [note("runner_cold", runner=str(account.runner), left_ms=left)]

    def runner_left(self, now: float, life: RunnerLife) -> list[Effect]:
        """Take the runner's word that it ends now."""
        current = self.lives.current
        if current is None or not self.lives.is_current(life):
            self.lives.note_ended(life)
            return []
        if self.account is not None:
            # What still runs there ends with a runner that left as it said: it took nothing down.
            self.account = replace(self.account, leaving=True)
        if current.born and not life.born:
            # It may be the late word of an earlier life: nothing is started until the runner says
            # otherwise, and what runs goes on until looks show that it has ended.
            return [note("runner_leaving", runner=str(current))]
        self.lives.note_ended(life)
        return self._runner_replaced(now, None)

    def next_look(self, now: float, *, renew: bool) -> Look:
        """Return the look to send now; it counts as sent, and renews if an entry's session lives.

        After one without an answer, the next only looks, at once: a runner that doesn't answer
        must not have its lease renewed for ever, or its runs could never be given up.
        """
        self._waited = 0.0 if self._failed_looks else self._look_wait()
        if self._failed_looks:
            return Look(self._last_seen, None, 0.0)
        until = self._lease.next_end(now, self.table) if renew else now
        if until <= now:
            return Look(self._last_seen, None, self._waited)
        self._lease.grant(until)
        return Look(self._last_seen, until, self._waited)

    def _look_wait(self) -> float:
        # The runner's account changes whom a look is meant for: a long one under way is wasted.
        if not self.clean or self.account is None:
            return 0.0
        if any(run.doubted is not None or run.phase is Phase.STOPPING for run in self.table):
            return 0.0
        if not len(self.table):
            return self._times.hold * IDLE_LOOK_SHARE
        return min(LOOK_SECONDS, self._times.hold * LOOK_SHARE)

    def looked(self, now: float, answer: LookAnswer) -> list[Effect]:
        """Take the runner's lists of what runs and what has ended."""
        effects = self._reached()
        life = self._life_of(answer)
        if life is not None and not self.lives.is_current(life):
            # What it was asked was meant for the last life: its lists are read with the next look.
            return effects + self._runner_replaced(now, life, answered=self.clean)
        if life is not None:
            self.lives.answered_as(life)
        return effects + self._read_lists(now, answer)

    def _reached(self) -> list[Effect]:
        """Note that the runner answered."""
        was_unreachable = self._failed_looks >= UNREACHABLE_LOOKS
        self._failed_looks = 0
        return [note("runner_reachable")] if was_unreachable else []

    def _life_of(self, answer: LookAnswer) -> RunnerLife | None:
        """Return the life that gave an answer, as far as it says; None if none was meant."""
        current = self.lives.current
        return None if current is None else RunnerLife(current.id, answer.born)

    def _read_lists(self, now: float, answer: LookAnswer) -> list[Effect]:
        effects: list[Effect] = []
        self.losses.answered()
        self._last_seen = max(self._last_seen, answer.listed)
        # This process may have stood still before it read the answer: it shows an earlier moment.
        shown = min(now, answer.sent + self._waited)
        for finished in answer.finished:
            effects += self._listed(now, shown, finished)
        running = {row.run: row.percent for row in answer.running}
        self._foreign.read(answer, self.table)
        effects += self._stop_foreign()
        for run in self.table:
            if answer.unread_end:
                run.note_unread_end()
            if run.outlived:
                effects += self._look_for_outlived(now, run, answer, listed=run.id in running)
            elif run.id in running:
                effects += self._progressed(now, shown, run, running[run.id])
            elif not answer.partial:
                effects += self._look_for(now, run, answer)
        return effects + self._leave_hung(now, shown)

    def _look_for(self, now: float, run: Run, answer: LookAnswer) -> list[Effect]:
        """Decide on a run that a full list doesn't show."""
        if run.doubted is not None and run.doubted < answer.sent:
            return [*stop(now, run, End.NOT_STARTED, "start_unanswered")]
        if run.settled is not None and run.settled < answer.sent:
            return self._vanished(run)
        return []

    def _look_for_outlived(
        self, now: float, run: Run, answer: LookAnswer, *, listed: bool
    ) -> list[Effect]:
        """Decide on a run that was ordered of the life before; an order may be carried out late.

        A look that the present life has answered bore a higher token, so what it doesn't show by
        then never begins there. Until then the task must not be placed elsewhere.
        """
        if listed:
            self._lease.may_have_strayed(now)
            run.outlived = False
            run.settled = None
            run.ordered = now
            return [StopRun(run.id)]
        if answer.partial or not self._foreign.is_met_by(answer):
            return []
        return self._ended(run, End.LOST, "runner_replaced")

    def look_failed(self, now: float, *, other_life: bool = False) -> list[Effect]:
        """Take a renewal that got no answer, or the answer that another id runs there."""
        if other_life:
            return self._runner_replaced(now, None, answered=self.clean)
        effects: list[Effect] = []
        self.losses.unanswered(now)
        self._failed_looks += 1
        if self._failed_looks == UNREACHABLE_LOOKS:
            effects.append(note("runner_unreachable", runs=len(self.table)))
            self.losses.silent(now, self.account, self.table)
        if self._lease.has_killed(now) and len(self.table):
            effects.append(self.losses.given_up(now, self.account, self.table))
            for run in self.table:
                effects.append(lapsed_note(run, self._lease.over_for(now)))
                effects += self._ended(run, End.LOST, "lease_lapsed")
            # An order that is still on its way may reach a life whose clock starts anew.
            effects.append(Supersede())
        return effects

    def start_answered(self, now: float, id_: RunId, answer: StartAnswer) -> list[Effect]:
        """Take what became of an order to start."""
        run = self.table.get(id_)
        if run is None:
            return []
        run.settled = now
        match answer:
            case StartAnswer.STARTED:
                return self._started(now, run)
            case StartAnswer.NO_ROOM:
                return self._no_room(run)
            case StartAnswer.UNKNOWN:
                return self._doubt(now, run)
            case StartAnswer.OTHER_LIFE if not run.outlived:
                return self._runner_replaced(now, None)
            case StartAnswer.UNHEALTHY:
                self.health.mark_sick(now)
            case _:
                pass
        end = End.STALE if answer is StartAnswer.STALE else End.NOT_STARTED
        return self._ended(run, end, f"start_{answer.value}")

    def stop_answered(self, now: float, id_: RunId, *, done: bool) -> list[Effect]:
        """Take what became of an order to stop; an unanswered one is sent again."""
        run = self.table.get(id_)
        if run is None:
            return []
        if done:
            run.settled = now
            return []
        run.ordered = now
        return []

    def state(self) -> RunnerState:
        """Return what the runner may be given."""
        if self.account is None or self._failed_looks >= UNREACHABLE_LOOKS:
            return RunnerState.DOWN
        if self.leaving or self.account.leaving:
            return RunnerState.LEAVING
        if self.evacuations.covers(self.account.hall or self._hall):
            return RunnerState.EVACUATED
        return RunnerState.READY

    def may_send(self, id_: RunId) -> bool:
        """Whether an order to start that is about to leave is still wanted and allowed."""
        run = self.table.get(id_)
        wanted = run is not None and run.phase is Phase.STARTING
        return wanted and self.state() is RunnerState.READY and not self._is_overfilled()

    def _is_overfilled(self) -> bool:
        """Whether more is counted on the runner than it has: it has shrunk since that was ordered.

        What runs goes on; an order that has not left yet is held back.
        """
        return self.account is None or not self.table.used.fits(self.account.capacity)

    def free(self) -> Resources:
        """Return the room on the runner."""
        if self.account is None:
            return NOTHING
        return self.account.capacity - self.table.used

    def offered(self, now: float) -> Resources:
        """Return the room that is given to entries now: none while nothing may start."""
        until = self._lease.next_end(now, self.table)
        return self.free() if self._may_start(now, until) else NOTHING

    def _order(self, now: float, run: Run, until: float) -> StartRun:
        self._lease.grant(until)
        self.table.add(run)
        run.began = run.ordered = run.moved = run.seen = now
        return StartRun(run.id, run.spec, until, run.entry, now)

    def _may_start(self, now: float, until: float) -> bool:
        """Whether a run may start under a lease that ends at `until`."""
        if not self.clean or self._foreign or self.state() is not RunnerState.READY:
            return False
        if self._failed_looks:
            # It may have ended: what is ordered now could not be told from what took it down.
            return False
        if not self._lease.is_enough(now, until):
            return False
        if self.level is Health.GOOD:
            return True
        return self.level is Health.PROBATION and self.table.used == NOTHING

    def _why_not_started(self) -> str:
        """Return why nothing may start here now, for the log."""
        if not self.clean:
            return "runner_not_looked_at"
        if self._foreign:
            return "foreign_runs"
        return "runner_unanswered" if self._failed_looks else "runner_not_ready"

    def _started(self, now: float, run: Run) -> list[Effect]:
        if run.phase is Phase.STARTING:
            run.begin(now)
        if run.phase is Phase.RUNNING:
            return []
        run.ordered = now
        run.settled = None
        return [StopRun(run.id)]

    def _no_room(self, run: Run) -> list[Effect]:
        if run.phase is not Phase.STARTING:
            return self._ended(run, run.ending, "no_room")
        log = rejected_note(run, self.table.used.processor)
        return [log, *self._ended(run, End.NO_ROOM, "rejected")]

    def cancel(self, now: float, run: Run, reason: str, since: float | None = None) -> list[Effect]:
        """End a run to which nobody has had a right `since`, or from now on."""
        if run.phase is Phase.STOPPING:
            run.unwanted = min(run.unwanted, now if since is None else since)
            return []
        return [*stop(now, run, End.STOPPED, reason, since)]

    def _check(self, now: float, run: Run) -> list[Effect]:
        if run.phase is Phase.STOPPING:
            return [*stop_again(now, run)]
        if run.phase is Phase.RUNNING and now > run.expires:
            return [*stop(now, run, End.STOPPED, "expired")]
        return []

    def _leave_slow(self, now: float) -> list[Effect]:
        """Stop, to run elsewhere, what would take long on a runner that has turned slow."""
        if not self.health.is_slow(now):
            return []
        speed = self.health.speed(now)
        self.health.mark_sick(now)
        return [
            effect
            for run in self.table
            if run.phase is Phase.RUNNING and is_better_elsewhere(run, speed)
            for effect in stop(now, run, End.STUCK, "slow")
        ]

    def _leave_hung(self, now: float, shown: float) -> list[Effect]:
        """Stop all runs, to run elsewhere, if none of them made progress any more when `shown`."""
        runs = [run for run in self.table if run.phase is Phase.RUNNING]
        if len(runs) < HUNG_RUNS or not all(
            stands_still(shown, run, self.health.overrun_factor(run.moved)) for run in runs
        ):
            return []
        self.health.mark_sick(now)
        return [
            effect for run in runs for effect in stop(now, run, End.STUCK, "runner_stands_still")
        ]

    def _listed(self, now: float, shown: float, finished: FinishedRun) -> list[Effect]:
        self._last_seen = max(self._last_seen, finished.number)
        run = self.table.get(finished.run)
        if run is None:
            return []
        end = _ENDS[finished.end]
        if finished.end is RunEnd.DONE:
            note_done(now, shown, run, self.health)
            took = max(shown - run.ordered, MIN_SECONDS)
            self.health.done(now, run.estimate / took, run.ordered)
        elif finished.end is RunEnd.FAILED:
            self.health.failed(now)
        elif finished.end is RunEnd.STOPPED:
            end = run.ending if run.phase is Phase.STOPPING else End.STOPPED
            if end is End.NOT_STARTED:
                end = End.STOPPED
        return self._ended(run, end, finished.end.value)

    def _doubt(self, now: float, run: Run) -> list[Effect]:
        """Let the next look tell whether an unanswered start was carried out."""
        run.settled = None
        if run.phase is Phase.STARTING:
            run.doubted = now
            return []
        if run.phase is Phase.STOPPING:
            return [StopRun(run.id)]
        return []

    def _progressed(self, now: float, shown: float, run: Run, percent: int) -> list[Effect]:
        if run.phase is Phase.STARTING:
            run.begin(now)
        run.doubted = None
        run.settled = now if run.phase is Phase.RUNNING else run.settled
        note_progress(now, shown, run, percent, self.health)
        if run.phase is Phase.RUNNING and is_stuck(
            shown, run, self.health.overrun_factor(run.moved)
        ):
            self.health.mark_sick(now)
            return [*stop(now, run, End.STUCK, "no_progress")]
        return []

    def _vanished(self, run: Run) -> list[Effect]:
        """End a run that a later look of the runner doesn't know."""
        if run.phase is Phase.STOPPING:
            return self._ended(run, run.ending, "gone")
        return self._ended(run, End.LOST, "gone")

    def _stop_foreign(self) -> list[Effect]:
        """Stop what an earlier life of this target has left; until it is gone, start nothing."""
        effects: list[Effect] = []
        for id_ in self._foreign:
            effects.append(note("foreign_run_stopping", str(id_.task), run=id_.number))
            effects.append(StopRun(id_))
        return effects

    def _runner_replaced(
        self, now: float, life: RunnerLife | None, *, answered: bool = True
    ) -> list[Effect]:
        """End all that an earlier life of the runner had: it died with it.

        An order that is on its way may be carried out by the next life if that bears the same id.

        `life`: the one that is known to answer in its place, if any is. An earlier life that has
        never `answered` may be the next one, which the last one makes wait.
        """
        was = self.lives.current
        effects: list[Effect] = [note("runner_replaced", was=as_told(was), now=as_told(life))]
        effects += self.losses.replaced(now, self.account, self.table)
        strays = life is not None and was is not None and was.shares_id(life)
        for run in self.table:
            if strays:
                run.outlive(now)
            else:
                effects += self._ended(run, End.LOST, "runner_replaced")
        if strays:
            self._lease.may_have_strayed(now)
        self.health = RunnerHealth(self._cold_overrun)
        self._cold_until = float("-inf")
        self._last_seen = 0
        self.account = None
        self.lives.end(answered=answered)
        self._foreign.meet(now)
        if life is not None:
            self.lives.meet(life)
        return effects

    def _ended(self, run: Run, end: End, reason: str) -> list[Effect]:
        self.table.drop(run)
        return [self._tell(run, end, reason)]

    def _tell(self, run: Run, end: End, reason: str) -> Log:
        """Let the run's entry know of its end."""
        self._ends.append((run, end))
        return ended_note(run, end, reason)
