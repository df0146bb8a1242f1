"""Random faults around first assignments to idle sessions: no task runs twice at once.

`Fleet.check` verifies this after each step. The planted bugs verify the test: each removes one
safeguard, and the state machine must then find a task that runs twice.
"""

import os
from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from leasedfleet import Fleet
from paddleshunt_core.leased.bounds import Bounds, LeaseTimes
from paddleshunt_core.leased.entrylink import EntryLink
from paddleshunt_core.leased.livenesschecks import LivenessChecks
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Body, Frame, Stop
from paddleshunt_core.leased.worker import Worker

EXAMPLES = int(os.environ.get("PADDLESHUNT_FUZZ", "0"))

_shared = {
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
    "database": None,
    # Shrinking takes minutes; the seeds are fixed, so a failure can be reproduced.
    "phases": [Phase.generate],
}
FIXED = settings(max_examples=40, stateful_step_count=4, derandomize=True, **_shared)
PLANTED = settings(FIXED, max_examples=200)
PROFILE = (
    settings(max_examples=EXAMPLES, stateful_step_count=12, print_blob=True, **_shared)
    if EXAMPLES
    else FIXED
)

FAULTS = ("cut_both", "cut_out", "cut_back", "freeze", "kill", "break", "lose", "none")
Plant = Callable[[pytest.MonkeyPatch], None]


class IdleMachine(RuleBasedStateMachine):
    """Two entries, two targets and few jobs, which are mostly assigned in idle sessions."""

    @initialize()
    def start(self) -> None:
        self.fleet = Fleet(entries=2, targets=2)
        self.resend = Bounds().resend
        self.jobs = 0
        self.waiting: dict[int, tuple[str, str, int]] = {}
        """By waiting caller: the key of its job, its entry and the entry's incarnation."""
        self.resubmissions: list[tuple[float, str]] = []
        self.undos: list[tuple[float, Callable[[], None]]] = []
        self.fleet.settle()

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.fleet.step()
            for item in [item for item in self.undos if item[0] <= self.fleet.now]:
                self.undos.remove(item)
                item[1]()
            self.resubmit()

    def resubmit(self) -> None:
        """Submit jobs again, `resend` after their entry was lost or they were given up."""
        for caller, (key, entry, life) in list(self.waiting.items()):
            node = self.fleet.entries[entry]
            lost = not node.up or node.life != life
            outcome = self.fleet.answers.get(caller)
            if lost or isinstance(outcome, GivenUp):
                del self.waiting[caller]
                self.resubmissions.append((self.fleet.now + self.resend, key))
        for item in [item for item in self.resubmissions if item[0] <= self.fleet.now]:
            self.resubmissions.remove(item)
            self.submit(item[1], first=0)

    def submit(self, key: str, first: int) -> None:
        names = [name for name, node in self.fleet.entries.items() if node.moves]
        if not names:
            self.resubmissions.append((self.fleet.now + self.resend, key))
            return
        entry = names[first % len(names)]
        caller = self.fleet.submit(entry, key, count=1, length=3.0, deadline=9.0)
        self.waiting[caller] = (key, entry, self.fleet.entries[entry].life)

    @rule(steps=st.integers(1, 6))
    def a_moment(self, steps: int) -> None:
        self.run(steps)

    @rule(steps=st.sampled_from([30, 70, 140]))
    def a_while(self, steps: int) -> None:
        self.run(steps)

    @rule()
    def all_end(self) -> None:
        """Make all callers leave, so that sessions become idle."""
        for caller, (_, entry, life) in self.waiting.items():
            if self.fleet.entries[entry].moves and self.fleet.entries[entry].life == life:
                self.fleet.leave(entry, caller)
        self.waiting.clear()
        self.run(60)

    @rule(
        first=st.integers(0, 1),
        delay=st.integers(1, 4),
        fault=st.sampled_from(FAULTS),
        lasts=st.sampled_from([0.1, 0.6, 2.5]),
        gap=st.integers(1, 4),
        then=st.sampled_from(FAULTS),
    )
    def a_first_job(
        self, first: int, delay: int, fault: str, lasts: float, gap: int, then: str
    ) -> None:
        """Submit a job to an idle entry, and inject one or two faults where it was placed."""
        placed = self.first_job(first, delay)
        for target, entry in placed:
            self.inject_fault(fault, target, entry, lasts)
        self.run(gap)
        for target, entry in placed:
            self.inject_fault(then, target, entry, lasts)
        self.run(20 + round(lasts * 100))

    @rule(first=st.integers(0, 1), delay=st.integers(2, 3))
    def a_target_pauses(self, first: int, delay: int) -> None:
        """A target pauses with runs pending, and reads the frame that confirms them much later."""
        for target, _ in self.first_job(first, delay):
            self.inject_fault("freeze", target, "", 2.2)
        self.run(250)

    @rule(first=st.integers(0, 1), gap=st.integers(2, 3))
    def a_withdrawal_is_lost(self, first: int, gap: int) -> None:
        """A target's answer is delayed, and the entry's next messages to it are lost."""
        placed = self.first_job(first, 2)
        for target, entry in placed:
            self.cut(target, entry, 0.1)
        self.run(gap)
        for target, entry in placed:
            self.fleet.lose(target, entry)
        self.run(40)

    @rule(first=st.integers(0, 1), lasts=st.sampled_from([0.05, 0.5]))
    def a_target_at_work_restarts(self, first: int, lasts: float) -> None:
        """Its runner continues, and may lose the stops of runs from before the restart."""
        for target, _ in self.first_job(first, 8):
            runner = self.fleet.runners[target]
            runner.loses_stops = True
            self.later(1.5, partial(setattr, runner, "loses_stops", False))
            self.inject_fault("kill", target, "", lasts)
        self.run(200)

    def first_job(self, first: int, delay: int) -> list[tuple[str, str]]:
        """Submit a job while all is idle; return the targets with work after `delay` steps."""
        self.become_idle()
        self.jobs += 1
        self.submit(f"job{self.jobs}", first)
        self.run(delay)
        return [
            (target.name, entry)
            for entry, dispatcher in self.fleet.dispatchers.items()
            for target in dispatcher.targets()
            if target.placed
        ]

    def become_idle(self) -> None:
        """Advance until no target may start anything, as far as entries know."""
        for _ in range(150):
            if not any(
                target.may_have_started(self.fleet.times, self.fleet.now)
                for dispatcher in self.fleet.dispatchers.values()
                for target in dispatcher.targets()
            ):
                return
            self.run(1)

    def inject_fault(self, fault: str, node: str, entry: str, lasts: float) -> None:
        fleet = self.fleet
        if fault in ("cut_both", "cut_out") and node != entry:
            self.cut(entry, node, lasts)
        if fault in ("cut_both", "cut_back") and node != entry:
            self.cut(node, entry, lasts)
        if fault == "freeze":
            fleet.freeze(node)
            self.later(lasts, lambda: fleet.thaw(node))
        if fault == "kill" and fleet._node(node).up:
            fleet.kill(node)
            self.later(lasts, lambda: fleet.start(node))
        if fault == "break":
            fleet.break_off(node, entry)
        if fault == "lose":
            fleet.lose(node, entry)

    def cut(self, sender: str, receiver: str, lasts: float) -> None:
        self.fleet.cut(sender, receiver)
        self.later(lasts, lambda: self.fleet.cuts.discard((sender, receiver)))

    def later(self, seconds: float, undo: Callable[[], None]) -> None:
        self.undos.append((self.fleet.now + seconds, undo))

    @rule(
        fault=st.sampled_from(FAULTS), number=st.integers(0, 3), lasts=st.sampled_from([0.1, 0.9])
    )
    def a_fault(self, fault: str, number: int, lasts: float) -> None:
        self.inject_fault(fault, f"t{number % 2}", f"e{number // 2}", lasts)

    @rule(number=st.integers(0, 1), lasts=st.sampled_from([0.2, 1.0]))
    def an_entry_ends(self, number: int, lasts: float) -> None:
        self.inject_fault("kill", f"e{number}", f"e{number}", lasts)

    @rule(
        number=st.integers(0, 1),
        lasts=st.sampled_from([0.3, 1.5]),
        field=st.sampled_from(["mute", "loses_answers", "loses_stops", "late"]),
    )
    def a_runner_errs(self, number: int, lasts: float, field: str) -> None:
        runner = self.fleet.runners[f"t{number}"]
        setattr(runner, field, 0.4 if field == "late" else True)
        normal = None if field == "late" else False
        self.later(lasts, lambda: setattr(runner, field, normal))

    @rule(number=st.integers(0, 1))
    def a_runner_restarts(self, number: int) -> None:
        self.fleet.runners[f"t{number}"].crash()
        self.fleet.runners[f"t{number}"].restart()

    @rule(first=st.integers(0, 1))
    def a_caller_leaves(self, first: int) -> None:
        """A caller disconnects, and submits its job again to any entry."""
        for caller, (key, entry, life) in list(self.waiting.items())[:1]:
            node = self.fleet.entries[entry]
            if node.moves and node.life == life and caller not in self.fleet.answers:
                self.fleet.leave(entry, caller)
                del self.waiting[caller]
                self.resubmissions.append((self.fleet.now + self.resend, key))


def test_no_task_runs_twice_around_idle_sessions() -> None:
    run_state_machine_as_test(IdleMachine, settings=PROFILE)


def start_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """A target starts runs although its lease has expired."""
    patch.setattr(EntryLink, "lease_left", lambda self, now, times: times.session)


def open_too_early(patch: pytest.MonkeyPatch) -> None:
    """A restarted target opens sessions while runs from before the restart continue."""
    patch.setattr(Worker, "may_open", lambda self, entry: True)


def survive_a_pause(patch: pytest.MonkeyPatch) -> None:
    """Pending runs survive a pause, and the lease counts from when an echo is read."""
    patch.setattr(LeaseTimes, "confirm_timeout", 3600.0)

    def lease_left(self: EntryLink, now: float, times: LeaseTimes) -> float:
        return self.last_received + times.session - now

    patch.setattr(EntryLink, "lease_left", lease_left)


def confirm_after_a_gap(patch: pytest.MonkeyPatch) -> None:
    """A frame after a gap renews the lease."""

    def accept(self: Session, frame: Frame, now_ms: int | None = None) -> list[Body]:
        self._peer_stamp = max(self._peer_stamp, frame.stamp_ms)
        self.confirmed_ms = max(self.confirmed_ms, frame.echo_ms)
        self._record_acknowledgement(frame.received)
        skip = self.received + 1 - frame.first
        if skip < 0:
            return []
        new_bodies = frame.bodies[skip:]
        self.received += len(new_bodies)
        return new_bodies

    patch.setattr(Session, "accept", accept)
    patch.setattr(Session, "has_gap_before", lambda self, frame: False)


def omit_the_stop(patch: pytest.MonkeyPatch) -> None:
    """An entry places unanswered tasks elsewhere without stopping them at the target."""
    withdraw = LivenessChecks._withdraw

    def without_stop(self: LivenessChecks, now: float, target: object, asked: float) -> object:
        session = target.session  # type: ignore[attr-defined]
        send = session.send
        session.send = lambda body: 0 if isinstance(body, Stop) else send(body)
        logs = withdraw(self, now, target, asked)  # type: ignore[arg-type]
        del session.send
        return logs

    patch.setattr(LivenessChecks, "_withdraw", without_stop)


def withdraw_started_runs(patch: pytest.MonkeyPatch) -> None:
    """An entry assumes that a silent target has started nothing."""
    patch.setattr(TargetRecord, "may_have_started", lambda self, times, placed_at: False)


@pytest.mark.parametrize(
    "plant",
    [
        start_unconfirmed,
        open_too_early,
        survive_a_pause,
        confirm_after_a_gap,
        omit_the_stop,
        withdraw_started_runs,
    ],
    ids=lambda plant: plant.__name__,
)
def test_the_machine_finds_a_planted_bug(plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="twice at once"):
        run_state_machine_as_test(IdleMachine, settings=PLANTED)
