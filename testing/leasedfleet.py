"""A small deterministic fleet for leased jobs: dispatchers, workers and fake runners, in steps.

Time is simulated in steps of `STEP` seconds. `Fleet.check` runs after each step: no task runs
twice at once on runners that are up, no start brings a runner over its capacity, no task that
crashes its runners is started a third time after it has crashed three, and no job is told to have
failed unless a task of it has.
"""

from collections import Counter, deque
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from leasedrunner import Crashes, Runner
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.dispatcher import AnswerJob, Dispatcher
from paddleshunt_core.leased.jobs import JobRequest
from paddleshunt_core.leased.orders import (
    RunnerStatus,
    StartAnswer,
    StartRun,
    StopRun,
    Supersede,
)
from paddleshunt_core.leased.outcomes import BroadcastLoss, Failed, JobOutcome
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import CancelledJob, Frame, Hello, SpeedUpdate, TaskId
from paddleshunt_core.leased.worker import Worker

STEP = 0.01
LINK_DELAY = 0.002
CONNECT_SECONDS = 0.25
GOSSIP_SECONDS = 0.4

AWAY_SECONDS = 3.4
"""Seconds after which a runner that a task has crashed is back, as another life."""

RETURNS = 0.7
"""Share of the lives that bear the id of the one before, if any do."""

CLOCK_SET = 5000
"""Milliseconds by which a host's clock may have been set between two lives."""

CAPACITY = Resources(8000, 8000, 0)
QUEUE = Queue("q", "host", "/q/", "svc", max_attempts=2, stretch=1.6, latency=0.06)


@dataclass
class Link:
    """One connection between a target and an entry, with what is on its way."""

    to_entry: deque[tuple[float, Hello | Frame]] = field(default_factory=deque)
    to_target: deque[tuple[float, Hello | Frame]] = field(default_factory=deque)
    said: float = 0.0
    greeted: bool = False
    heard: float = 0.0
    answers: bool = False
    """Whether the entry owes the target an answer."""


@dataclass(frozen=True)
class Call:
    """What a target's call bears: the life that it means, none for any, and its token."""

    incarnation: RunnerIncarnation | None
    token: int


@dataclass
class Node:
    """A process: up, frozen or down."""

    name: str
    life: int = 1
    up: bool = True
    frozen: bool = False

    @property
    def moves(self) -> bool:
        return self.up and not self.frozen


class Fleet:
    """Entries and targets that all know one another."""

    def __init__(
        self,
        entries: int = 2,
        targets: int = 3,
        *,
        bounds: Bounds | None = None,
        capacity: Resources = CAPACITY,
    ) -> None:
        self.bounds = bounds or Bounds()
        self.times = lease_times(self.bounds)
        self.now = 0.0
        self.lengths: dict[str, float] = {}
        self.entries = {f"e{n}": Node(f"e{n}") for n in range(entries)}
        self.targets = {f"t{n}": Node(f"t{n}") for n in range(targets)}
        self.dispatchers = {name: self._dispatcher() for name in self.entries}
        self.workers = {name: Worker(self.times) for name in self.targets}
        self.crashes = Crashes()
        self.runners = {name: Runner(capacity, self.lengths, self.crashes) for name in self.targets}
        self.links: dict[tuple[str, str], Link] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.answers: dict[int, JobOutcome] = {}
        self.answered_at: dict[int, float] = {}
        self.events: list[tuple[float, str, str]] = []
        self._late_orders: list[tuple[float, str, Call, StartRun]] = []
        self._calls = dict.fromkeys(self.targets, Call(None, 1))
        self._meant: dict[tuple[str, str], RunnerIncarnation] = {}
        """The last life that a target meant by an id; the token rises when it returns."""
        self._requests: dict[str, JobRequest] = {}
        self._queues: dict[str, Queue] = {}
        self.wrongly_failed: list[str] = []
        """Jobs that were told to have failed though none of their tasks had."""
        self._next_dial: dict[tuple[str, str], float] = {}
        self._beats: dict[str, float] = {}
        self._callers = 0
        self.lives: Random | None = None
        """Draws which life of a runner bears the id of the one before; without it, none does."""
        self.frames = 0
        """Frames that targets and entries have sent."""
        self._gossip = 0.0

    def _dispatcher(self) -> Dispatcher:
        return Dispatcher(self.times, "hall", Random(7))

    # What a test does.

    def submit(
        self,
        entry: str,
        key: str,
        *,
        count: int = 2,
        length: float = 0.4,
        estimate: float | None = None,
        processor: int = 1000,
        deadline: float = 4.0,
        queue: Queue = QUEUE,
    ) -> int:
        """Hand in a job and return the caller's number."""
        self._callers += 1
        self.lengths[key] = length
        request = JobRequest(
            key, "spec", count, Resources(processor, 64), estimate or length, deadline
        )
        self._requests[key] = request
        self._queues[key] = queue
        effects = self.dispatchers[entry].submit(self.now, self._callers, request, queue)
        self._act_entry(entry, effects)
        return self._callers

    def submit_crashing(self, entry: str, key: str, after: float = 0.01, **job: Any) -> int:
        """Hand in a job of which the first task crashes each runner, `after` so many seconds."""
        self.crashes.after[TaskId(key, 0, 0)] = after
        return self.submit(entry, key, **job)

    def leave(self, entry: str, caller: int) -> None:
        """Let a caller go."""
        self._act_entry(entry, self.dispatchers[entry].caller_left(self.now, caller))

    def cancel(self, entry: str, key: str) -> bool:
        """Cancel a job at an entry, which hands it on; return whether an entry held it."""
        others = [name for name, node in self.entries.items() if node.moves and name != entry]
        held = False
        for name in (entry, *others):
            found, effects = self.dispatchers[name].cancel(self.now, CancelledJob(key), entry)
            self._act_entry(name, effects)
            held = held or found
        return held

    def kill(self, name: str) -> None:
        """End a process; its connections break at once."""
        self._node(name).up = False
        for pair in [pair for pair in self.links if name in pair]:
            self._close(pair)

    def start(self, name: str) -> None:
        """Start a process anew."""
        node = self._node(name)
        node.up = True
        node.life += 1
        if name in self.entries:
            self.dispatchers[name] = self._dispatcher()
            for other, dispatcher in self.dispatchers.items():
                if other != name and self.entries[other].moves:
                    self._hear_speeds(name, dispatcher.speeds.export(), other)
        else:
            self.workers[name] = Worker(self.times)
            self._calls[name] = Call(None, self._calls[name].token)

    def freeze(self, name: str) -> None:
        self._node(name).frozen = True

    def thaw(self, name: str) -> None:
        self._node(name).frozen = False

    def cut(self, sender: str, receiver: str) -> None:
        """Hold up all that `sender` says to `receiver`."""
        self.cuts.add((sender, receiver))

    def break_off(self, target: str, entry: str) -> None:
        """Break a connection; what is on its way over it is lost."""
        self._close((target, entry))

    def lose(self, target: str, entry: str) -> None:
        """Lose what is on its way to a target over a connection that goes on."""
        link = self.links.get((target, entry))
        if link is not None and link.greeted:
            link.to_target.clear()

    def bring_back(self, runner: Runner) -> None:
        """Start a runner that has crashed again; its host's clock may have been set."""
        if self.lives is None:
            runner.restart()
            return
        moved = self.lives.choice([-1, 1]) * self.lives.randint(1, CLOCK_SET)
        runner.restart(same_id=self.lives.random() < RETURNS, later_ms=moved)

    def heal(self) -> None:
        self.cuts.clear()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def settle(self) -> None:
        """Let all sessions open."""
        self.run(0.6)

    def ends(self, event: str) -> list[str]:
        """Return the keys of all events of a kind."""
        return [key for _, kind, key in self.events if kind == event]

    # Steps.

    def step(self) -> None:
        self.now += STEP
        self._step_runners()
        self._carry_out_late()
        self._dial()
        for pair in list(self.links):
            self._deliver(pair)
        for name, node in self.targets.items():
            if node.moves:
                self._step_target(name)
        for name, node in self.entries.items():
            if node.moves:
                self._step_entry(name)
        for pair in list(self.links):
            self._send(pair)
        if self.now >= self._gossip:
            self._gossip = self.now + GOSSIP_SECONDS
            self._tell_speeds()
        self.check()

    def _step_runners(self) -> None:
        for runner in self.runners.values():
            if runner.up:
                runner.step(self.now, STEP)
            elif runner.crashed_at is not None and self.now > runner.crashed_at + AWAY_SECONDS:
                self.bring_back(runner)

    def check(self) -> None:
        """Hold the rules that must never break."""
        running: Counter[TaskId] = Counter()
        for name, runner in self.runners.items():
            if runner.up:
                running.update(run.task for run in runner.running)
                assert not runner.overfilled, f"{name} at {self.now:.2f} s: {runner.overfilled}"
        twice = [str(task) for task, count in running.items() if count > 1]
        assert not twice, f"at {self.now:.2f} s twice at once: {twice}"
        again = self.crashes.broken()
        assert not again, f"at {self.now:.2f} s started again after three crashes: {again}"
        wrong = self.wrongly_failed
        assert not wrong, f"at {self.now:.2f} s told to have failed though no task has: {wrong}"

    # Inside.

    def _node(self, name: str) -> Node:
        return self.entries.get(name) or self.targets[name]

    def _dial(self) -> None:
        for target, node in self.targets.items():
            for entry, other in self.entries.items():
                pair = (target, entry)
                if pair in self.links or not node.moves or not other.up:
                    continue
                if self.now < self._next_dial.get(pair, 0.0) or self._is_cut(pair):
                    continue
                worker = self.workers[target]
                session = worker.session(entry)
                if session is None and not worker.may_open(entry):
                    continue
                self._next_dial[pair] = self.now + CONNECT_SECONDS
                number, received = (session.number, session.received) if session else (0, 0)
                link = self.links[pair] = Link(said=self.now, heard=self.now)
                hello = Hello(target, str(node.life), False, "hall", "", number, received)
                link.to_entry.append((self.now, hello))

    def _is_cut(self, pair: tuple[str, str]) -> bool:
        target, entry = pair
        return (target, entry) in self.cuts or (entry, target) in self.cuts

    def _close(self, pair: tuple[str, str]) -> None:
        if self.links.pop(pair, None) is not None:
            target, entry = pair
            if self.entries[entry].up:
                self.dispatchers[entry].disconnected(self.now, target)

    def _deliver(self, pair: tuple[str, str]) -> None:
        target, entry = pair
        link = self.links.get(pair)
        if link is None:
            return
        if self.entries[entry].moves and (target, entry) not in self.cuts:
            while link.to_entry and pair in self.links:
                self._entry_hears(pair, link, link.to_entry.popleft()[1])
        if self.targets[target].moves and (entry, target) not in self.cuts:
            while link.to_target and pair in self.links:
                self._target_hears(pair, link, link.to_target.popleft()[1])

    def _entry_hears(self, pair: tuple[str, str], link: Link, message: Hello | Frame) -> None:
        target, entry = pair
        dispatcher = self.dispatchers[entry]
        if isinstance(message, Frame):
            self._act_entry(entry, dispatcher.handle_frame(self.now, target, message))
            self._act_entry(entry, dispatcher.place_waiting(self.now))
            link.answers = link.answers or dispatcher.needs_immediate_reply(
                self.now, target, message
            )
            return
        session, effects = dispatcher.handle_hello(self.now, message)
        self._act_entry(entry, effects)
        number, received = (session.number, session.received) if session else (0, 0)
        life = str(self.entries[entry].life)
        hello = Hello(entry, life, True, "hall", "", number, received)
        link.greeted = session is not None
        link.to_target.append((self.now, hello))

    def _target_hears(self, pair: tuple[str, str], link: Link, message: Hello | Frame) -> None:
        target, entry = pair
        worker = self.workers[target]
        link.heard = self.now
        if isinstance(message, Frame):
            self._act_target(target, worker.frame_received(self.now, entry, message))
        elif message.session:
            self._act_target(target, worker.greeting_answered(self.now, message, link.said))
        else:
            self._act_target(target, worker.session_refused(self.now, entry))
        session = worker.session(entry)
        refused = isinstance(message, Hello) and session and session.number != message.session
        if session is None or refused:
            self._close(pair)

    def _send(self, pair: tuple[str, str]) -> None:
        target, entry = pair
        link = self.links.get(pair)
        if link is None:
            return
        now_ms = int(self.now * 1000)
        due = round(self.now / STEP) % max(1, round(self.times.heartbeat / STEP)) == 0
        worker = self.workers[target]
        session = worker.session(entry)
        if self.targets[target].moves and session is not None:
            worker.prepare_frames(self.now)
            frame = worker.next_frame(self.now, entry, heartbeat_allowed=due)
            if frame is not None:
                link.to_entry.append((self.now, frame))
                self.frames += 1
        theirs = self.dispatchers[entry].session(target)
        ready = self.entries[entry].moves and link.greeted and theirs is not None
        if ready and theirs is not None and (theirs.pending or link.answers):
            link.to_target.append((self.now, theirs.frame(now_ms)))
            link.answers = False
            self.frames += 1
        silent = self.now > link.heard + self.times.session
        if session is not None and link.greeted:
            silent = worker.is_silent(self.now, entry)
        if self.targets[target].moves and (silent or (session is None and link.greeted)):
            self._close(pair)

    def _step_entry(self, name: str) -> None:
        dispatcher = self.dispatchers[name]
        due = dispatcher.next_confirmation_deadline()
        if due is not None and self.now >= due:
            self._act_entry(name, dispatcher.check_confirmations(self.now))
        self._act_entry(name, dispatcher.tick(self.now))

    def _step_target(self, name: str) -> None:
        worker = self.workers[name]
        runner = self.runners[name]
        if runner.up and self.now >= self._beats.get(name, 0.0):
            self._beats[name] = self.now + 0.3
            account = RunnerStatus(
                runner.named(name),
                "svc",
                "hall",
                runner.capacity,
                runner.leaving,
                None,
                runner.labels,
                cold=max(0.0, runner.cold_until - self.now),
                kind=runner.kind,
            )
            self._act_target(name, worker.heartbeat_received(self.now, account))
        self._act_target(name, worker.tick(self.now))
        look = worker.next_poll(self.now)
        call = self._call(name)
        if not runner.up or runner.mute:
            self._act_target(name, worker.poll_failed(self.now))
        elif call.incarnation is not None and not call.incarnation.has_same_id(runner.named(name)):
            self._act_target(name, worker.poll_failed(self.now, other_incarnation=True))
        elif not runner.hears(call.token):
            self._act_target(name, worker.poll_failed(self.now))
        else:
            until = None if look.until is None else self._until(name, call, look.until)
            answer = runner.look(self.now, look.last_seen, until)
            self._act_target(name, worker.poll_answered(self.now + STEP / 2, answer))

    def _call(self, name: str) -> Call:
        """Return what a call that a target makes now bears: the life it means, and its token."""
        incarnation, last = self.workers[name].incarnation, self._calls[name]
        if incarnation != last.incarnation:
            before = None if incarnation is None else self._meant.get((name, incarnation.id))
            returned = (
                incarnation is not None
                and before is not None
                and not incarnation.may_be_same(before)
            )
            self._calls[name] = Call(incarnation, last.token + returned)
            if incarnation is not None:
                self._meant[name, incarnation.id] = incarnation
        return self._calls[name]

    def _until(self, name: str, call: Call, until: float) -> float:
        """Return until when a runner takes a lease that was meant for a life's clock.

        Another life's clock starts anew: it is far behind, and the lease is cut to the longest.
        """
        meant, runner = call.incarnation, self.runners[name]
        if meant is None or meant == runner.named(name):
            return until
        return self.now + self.bounds.hold_max

    def _start(self, name: str, call: Call, order: StartRun) -> StartAnswer:
        """Let a runner carry an order out that was meant so."""
        runner = self.runners[name]
        if call.incarnation is not None and not call.incarnation.has_same_id(runner.named(name)):
            return StartAnswer.OTHER_INCARNATION
        meant = replace(order, until=self._until(name, call, order.until))
        return runner.start(self.now, meant, call.token)

    def _act_target(self, name: str, effects: list[object]) -> None:
        runner = self.runners[name]
        worker = self.workers[name]
        for effect in effects:
            if isinstance(effect, StartRun):
                runner.needs[effect.run] = self._requests[effect.run.task.job].need
                if not worker.may_send(self.now, effect.run, effect.entry):
                    answer = StartAnswer.WITHDRAWN
                elif runner.late is not None:
                    due = self.now + runner.late
                    self._late_orders.append((due, name, self._call(name), effect))
                    answer = StartAnswer.UNKNOWN
                elif not runner.up or runner.mute:
                    answer = StartAnswer.UNKNOWN
                else:
                    answer = self._start(name, self._call(name), effect)
                    if runner.loses_answers:
                        answer = StartAnswer.UNKNOWN
                self._act_target(name, worker.start_answered(self.now, effect.run, answer))
            elif isinstance(effect, StopRun):
                done = runner.up and not runner.mute and not runner.loses_stops
                if done:
                    runner.stop(self.now, effect.run)
                self._act_target(name, worker.stop_answered(self.now, effect.run, done=done))
            elif isinstance(effect, Supersede):
                call = self._call(name)
                self._calls[name] = replace(call, token=call.token + 1)
            else:
                self._note(effect)

    def _act_entry(self, name: str, effects: list[object]) -> None:
        for effect in effects:
            if isinstance(effect, AnswerJob):
                self.answers[effect.caller] = effect.outcome
                self.answered_at[effect.caller] = self.now
                if isinstance(effect.outcome, Failed) and not self._has_failed(effect.key):
                    self.wrongly_failed.append(effect.key)
            elif isinstance(effect, BroadcastLoss):
                self._hand_on(name, effect)
            else:
                self._note(effect)

    def _has_failed(self, key: str) -> bool:
        """Whether a task of a job has failed as often as its queue allows, as the runners know."""
        tasks = [TaskId(key, 0, index) for index in range(self._requests[key].count)]
        return any(self.crashes.failed[task] >= self._queues[key].max_attempts for task in tasks)

    def _hand_on(self, name: str, effect: BroadcastLoss) -> None:
        for other, node in self.entries.items():
            if other != name and node.moves:
                dispatcher = self.dispatchers[other]
                self._act_entry(other, dispatcher.handle_loss_update(self.now, effect.update, name))

    def _tell_speeds(self) -> None:
        for name, node in self.entries.items():
            news = self.dispatchers[name].speeds.take_changes() if node.moves else None
            for other, theirs in self.entries.items():
                if other != name and theirs.moves:
                    self._hear_speeds(other, news, name)

    def _hear_speeds(self, name: str, news: SpeedUpdate | None, source: str) -> None:
        if news is not None:
            dispatcher = self.dispatchers[name]
            self._act_entry(name, dispatcher.handle_speed_update(self.now, news, source))

    def _note(self, log: object) -> None:
        self.events.append((self.now, log.event, log.submission))  # type: ignore[attr-defined]

    def _carry_out_late(self) -> None:
        due = [order for order in self._late_orders if order[0] <= self.now]
        for order in due:
            self._late_orders.remove(order)
            _, name, call, start = order
            if self.runners[name].up:
                self._start(name, call, start)
