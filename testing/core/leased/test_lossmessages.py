"""Loss messages reordered, duplicated or dropped, checked against the true course of events."""

from collections.abc import Iterable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, new_job
from paddleshunt_core.leased.losses import LossHistory
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.retries import (
    ENDED_RUNNERS,
    MAX_LOST_RUNNERS,
    SILENT_RUNNERS,
    Retries,
)
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerLost, RunnerReturned, TaskId

INCARNATIONS = 4
TASKS = [TaskId("job", 0, index) for index in range(3)]
QUEUE = Queue("q", "host", "/q/", "svc")
EXAMPLES = 500

State = dict[TaskId, tuple[set[RunnerIncarnation], set[RunnerIncarnation]]]
"""By task: the incarnations lost while they ran it, and those known to have ended then."""


@dataclass(frozen=True)
class IncarnationHistory:
    """The true history of one incarnation: its silences, the tasks running, and its end."""

    name: RunnerIncarnation
    silences: list[tuple[int, list[TaskId]]]
    """Start and running tasks of each silence; all but the last ended by an answer."""
    answered: bool
    """Whether the last silence ended by an answer too."""
    ended: list[TaskId] | None
    """Tasks known to have run when it ended during the last silence; None if it still lives."""

    def messages(self) -> list[LossUpdate]:
        """Return all messages that its target sends on it."""
        messages_sent: list[LossUpdate] = []
        last = len(self.silences) - 1
        for number, (silent_ms, tasks) in enumerate(self.silences):
            loss = LossId.for_incarnation(self.name, silent_ms)
            messages_sent.append(RunnerLost(loss, tasks))
            if number < last or self.answered:
                messages_sent.append(RunnerReturned(loss))
            elif self.ended is not None:
                messages_sent.append(RunnerLost(loss, tasks, ended=self.ended))
        return messages_sent


def incarnation_number(number: int) -> RunnerIncarnation:
    """Return an incarnation; every second one reuses an id, with a clock set back."""
    return RunnerIncarnation(f"i-{number // 2}", 1000 - number)


@st.composite
def histories(draw: st.DrawFn) -> list[IncarnationHistory]:
    found = []
    for number in range(INCARNATIONS):
        moments = sorted(draw(st.sets(st.integers(0, 20), min_size=1, max_size=3)))
        at_work = st.lists(st.sampled_from(TASKS), unique=True, min_size=1)
        silences = [(moment, draw(at_work)) for moment in moments]
        answered = draw(st.booleans())
        known = [task for task in silences[-1][1] if draw(st.booleans())]
        ended = known if not answered and draw(st.booleans()) else None
        found.append(IncarnationHistory(incarnation_number(number), silences, answered, ended))
    return found


@st.composite
def delivered(draw: st.DrawFn) -> tuple[list[IncarnationHistory], list[LossUpdate]]:
    """Draw histories, and messages on them in any order, with gaps and duplicates."""
    truth = draw(histories())
    messages_sent = [message for incarnation in truth for message in incarnation.messages()]
    return truth, draw(st.lists(st.sampled_from(messages_sent), max_size=2 * len(messages_sent)))


def history_of(messages: Iterable[LossUpdate]) -> LossHistory:
    history = LossHistory()
    for message in messages:
        history.apply(1.0, message)
    return history


def state(history: LossHistory) -> State:
    return {task: (set(history.runners(task)), set(history.ended(task))) for task in TASKS}


def expected(messages: Iterable[LossUpdate]) -> State:
    """Return the losses that must count: each incarnation's latest silence, unless it returned."""
    state: State = {task: (set(), set()) for task in TASKS}
    by_incarnation: dict[RunnerIncarnation, list[LossUpdate]] = {}
    for message in messages:
        by_incarnation.setdefault(message.loss.incarnation, []).append(message)
    for incarnation, own in by_incarnation.items():
        answered = [
            message.loss.silent_ms for message in own if isinstance(message, RunnerReturned)
        ]
        last = max(message.loss.silent_ms for message in own)
        if last in answered:
            continue
        for message in own:
            if isinstance(message, RunnerLost) and message.loss.silent_ms == last:
                for task in message.tasks:
                    state[task][0].add(incarnation)
                for task in message.ended:
                    state[task][1].add(incarnation)
    return state


def new_record() -> JobRecord:
    request = JobRequest("job", "spec", len(TASKS), Resources(1000), 0.4, 4.0)
    return new_job(1, request, QUEUE, 0.0)


@settings(max_examples=EXAMPLES, deadline=None)
@given(delivered())
def test_the_latest_silence_of_each_incarnation_counts_in_any_order(
    case: tuple[list[IncarnationHistory], list[LossUpdate]],
) -> None:
    _, messages = case
    history = history_of(messages)
    assert state(history) == expected(messages)
    for task in TASKS:
        assert len(history.runners(task)) == len(set(history.runners(task)))


@settings(max_examples=EXAMPLES, deadline=None)
@given(delivered(), st.randoms(use_true_random=False))
def test_the_order_of_messages_does_not_change_the_state(
    case: tuple[list[IncarnationHistory], list[LossUpdate]], rng: object
) -> None:
    _, messages = case
    other = [*messages]
    rng.shuffle(other)  # type: ignore[attr-defined]
    assert state(history_of(messages)) == state(history_of(other))


@settings(max_examples=EXAMPLES, deadline=None)
@given(delivered())
def test_a_loss_that_was_survived_never_counts_after_a_later_message(
    case: tuple[list[IncarnationHistory], list[LossUpdate]],
) -> None:
    truth, messages = case
    history = history_of(messages)
    for incarnation in truth:
        own = [message for message in messages if message.loss.incarnation == incarnation.name]
        moment, tasks = incarnation.silences[-1]
        if RunnerReturned(LossId.for_incarnation(incarnation.name, moment)) in own:
            tasks = []
        elif not any(message.loss.silent_ms == moment for message in own):
            continue
        counted = [task for task in TASKS if incarnation.name in history.runners(task)]
        assert set(counted) <= set(tasks)


@settings(max_examples=EXAMPLES, deadline=None)
@given(delivered())
def test_ended_runners_are_reported_only_if_enough_ended_with_a_task(
    case: tuple[list[IncarnationHistory], list[LossUpdate]],
) -> None:
    truth, messages = case
    retries = Retries()
    for message in messages:
        retries.learn(1.0, message, "t")
    known = [
        [
            incarnation
            for incarnation in truth
            if task in (incarnation.ended or ()) and was_reported_ended(messages, incarnation)
        ]
        for task in TASKS
    ]
    outcome = retries.outcome(1.0, new_record())
    counts = any(len(runners) >= MAX_LOST_RUNNERS for runners, _ in expected(messages).values())
    assert (outcome is None) != counts
    if outcome == GivenUp(ENDED_RUNNERS):
        assert any(len(ended) >= MAX_LOST_RUNNERS for ended in known)
    elif outcome is not None:
        assert outcome == GivenUp(SILENT_RUNNERS)


def was_reported_ended(messages: list[LossUpdate], incarnation: IncarnationHistory) -> bool:
    return any(
        isinstance(w, RunnerLost) and w.ended and w.loss.incarnation == incarnation.name
        for w in messages
    )


@settings(max_examples=EXAMPLES, deadline=None)
@given(delivered(), st.integers(0, 20))
def test_the_exports_of_two_histories_add_up_to_one(
    case: tuple[list[IncarnationHistory], list[LossUpdate]], cut: int
) -> None:
    _, messages = case
    halves = history_of(messages[:cut]), history_of(messages[cut:])
    third = history_of(update for history in halves for update in history.export(1.0))
    assert state(third) == state(history_of(messages))


@pytest.mark.parametrize("message", [RunnerLost(LossId("i-1", 5), [TASKS[0]], ended=[TASKS[0]])])
def test_a_newer_silence_of_an_incarnation_voids_its_earlier_one(message: RunnerLost) -> None:
    """It can't have ended then; two such messages on one incarnation have different senders."""
    history = history_of([message, RunnerLost(LossId("i-1", 6), [TASKS[1]])])
    assert state(history)[TASKS[0]] == (set(), set())
