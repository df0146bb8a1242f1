"""Words on lost runners in any order, twice or not at all, against what became of the runners."""

from collections.abc import Iterable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, new_job
from paddleshunt_core.leased.losses import LossBook
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.retries import (
    ENDED_RUNNERS,
    LOST_RUNNERS,
    SILENT_RUNNERS,
    Retries,
)
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerLost, RunnerReturned, TaskId

LIVES = 4
TASKS = [TaskId("job", 0, index) for index in range(3)]
QUEUE = Queue("q", "host", "/q/", "svc")
EXAMPLES = 500

State = dict[TaskId, tuple[set[RunnerLife], set[RunnerLife]]]
"""Of each task the lives that count as lost under it, and those known to have ended so."""


@dataclass(frozen=True)
class Life:
    """What became of one life: when it fell silent, with what at work, and how that ended."""

    name: RunnerLife
    silences: list[tuple[int, list[TaskId]]]
    """It answered again after each but the last."""
    answered: bool
    """Whether it answered after the last as well."""
    ended: list[TaskId] | None
    """What it was known to have had at work as it ended in the last silence; None if it lives."""

    def words(self) -> list[LossUpdate]:
        """Return all that its target says of it."""
        said: list[LossUpdate] = []
        last = len(self.silences) - 1
        for number, (silent_ms, tasks) in enumerate(self.silences):
            loss = LossId.for_incarnation(self.name, silent_ms)
            said.append(RunnerLost(loss, tasks))
            if number < last or self.answered:
                said.append(RunnerReturned(loss))
            elif self.ended is not None:
                said.append(RunnerLost(loss, tasks, ended=self.ended))
        return said


def named(number: int) -> RunnerLife:
    """Return the name of a life: each second one bears an id again, with a clock set back."""
    return RunnerLife(f"i-{number // 2}", 1000 - number)


@st.composite
def lives(draw: st.DrawFn) -> list[Life]:
    found = []
    for number in range(LIVES):
        moments = sorted(draw(st.sets(st.integers(0, 20), min_size=1, max_size=3)))
        at_work = st.lists(st.sampled_from(TASKS), unique=True, min_size=1)
        silences = [(moment, draw(at_work)) for moment in moments]
        answered = draw(st.booleans())
        known = [task for task in silences[-1][1] if draw(st.booleans())]
        ended = known if not answered and draw(st.booleans()) else None
        found.append(Life(named(number), silences, answered, ended))
    return found


@st.composite
def heard(draw: st.DrawFn) -> tuple[list[Life], list[LossUpdate]]:
    """Give lives, and those of the words on them that come, in any order, some of them twice."""
    truth = draw(lives())
    said = [word for incarnation in truth for word in incarnation.words()]
    return truth, draw(st.lists(st.sampled_from(said), max_size=2 * len(said)))


def told(words: Iterable[LossUpdate]) -> LossBook:
    book = LossBook()
    for word in words:
        book.follow(1.0, word)
    return book


def state(book: LossBook) -> State:
    return {task: (set(book.runners(task)), set(book.ended(task))) for task in TASKS}


def expected(words: Iterable[LossUpdate]) -> State:
    """Work out what counts: of each life its latest silence, if no answer after it was told of."""
    state: State = {task: (set(), set()) for task in TASKS}
    by_life: dict[RunnerLife, list[LossUpdate]] = {}
    for word in words:
        by_life.setdefault(word.loss.incarnation, []).append(word)
    for incarnation, about in by_life.items():
        answered = [word.loss.silent_ms for word in about if isinstance(word, RunnerReturned)]
        last = max(word.loss.silent_ms for word in about)
        if last in answered:
            continue
        for word in about:
            if isinstance(word, RunnerLost) and word.loss.silent_ms == last:
                for task in word.tasks:
                    state[task][0].add(incarnation)
                for task in word.ended:
                    state[task][1].add(incarnation)
    return state


def new_record() -> JobRecord:
    request = JobRequest("job", "spec", len(TASKS), Resources(1000), 0.4, 4.0)
    return new_job(1, request, QUEUE, 0.0)


@settings(max_examples=EXAMPLES, deadline=None)
@given(heard())
def test_of_each_life_the_latest_silence_counts_whatever_the_order(
    case: tuple[list[Life], list[LossUpdate]],
) -> None:
    _, words = case
    book = told(words)
    assert state(book) == expected(words)
    for task in TASKS:
        assert len(book.runners(task)) == len(set(book.runners(task)))


@settings(max_examples=EXAMPLES, deadline=None)
@given(heard(), st.randoms(use_true_random=False))
def test_the_same_words_in_another_order_leave_the_same_state(
    case: tuple[list[Life], list[LossUpdate]], rng: object
) -> None:
    _, words = case
    other = [*words]
    rng.shuffle(other)  # type: ignore[attr-defined]
    assert state(told(words)) == state(told(other))


@settings(max_examples=EXAMPLES, deadline=None)
@given(heard())
def test_a_loss_that_its_life_outlived_never_stands_once_a_later_word_was_heard(
    case: tuple[list[Life], list[LossUpdate]],
) -> None:
    truth, words = case
    book = told(words)
    for incarnation in truth:
        about = [word for word in words if word.loss.incarnation == incarnation.name]
        moment, tasks = incarnation.silences[-1]
        if RunnerReturned(LossId.for_incarnation(incarnation.name, moment)) in about:
            tasks = []
        elif not any(word.loss.silent_ms == moment for word in about):
            continue
        counted = [task for task in TASKS if incarnation.name in book.runners(task)]
        assert set(counted) <= set(tasks)


@settings(max_examples=EXAMPLES, deadline=None)
@given(heard())
def test_a_job_is_told_of_ended_runners_only_if_enough_lives_ended_under_its_tasks(
    case: tuple[list[Life], list[LossUpdate]],
) -> None:
    truth, words = case
    retries = Retries()
    for word in words:
        retries.learn(1.0, word, "t")
    known = [
        [
            incarnation
            for incarnation in truth
            if task in (incarnation.ended or ()) and says_ended(words, incarnation)
        ]
        for task in TASKS
    ]
    outcome = retries.outcome(1.0, new_record())
    counts = any(len(runners) >= LOST_RUNNERS for runners, _ in expected(words).values())
    assert (outcome is None) != counts
    if outcome == GivenUp(ENDED_RUNNERS):
        assert any(len(ended) >= LOST_RUNNERS for ended in known)
    elif outcome is not None:
        assert outcome == GivenUp(SILENT_RUNNERS)


def says_ended(words: list[LossUpdate], incarnation: Life) -> bool:
    return any(
        isinstance(w, RunnerLost) and w.ended and w.loss.incarnation == incarnation.name
        for w in words
    )


@settings(max_examples=EXAMPLES, deadline=None)
@given(heard(), st.integers(0, 20))
def test_what_two_books_hand_on_together_is_what_one_would_know(
    case: tuple[list[Life], list[LossUpdate]], cut: int
) -> None:
    _, words = case
    halves = told(words[:cut]), told(words[cut:])
    third = told(news for book in halves for news in book.all(1.0))
    assert state(third) == state(told(words))


@pytest.mark.parametrize("word", [RunnerLost(LossId("i-1", 5), [TASKS[0]], ended=[TASKS[0]])])
def test_a_newer_silence_of_a_life_drops_all_of_its_earlier_one(word: RunnerLost) -> None:
    """It can't have ended then; two such words of one life would have different tellers."""
    book = told([word, RunnerLost(LossId("i-1", 6), [TASKS[1]])])
    assert state(book)[TASKS[0]] == (set(), set())
