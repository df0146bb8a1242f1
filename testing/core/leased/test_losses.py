"""What is remembered of lost runners: within bounds, and undone when one answers again."""

import pytest
from msgspec.structs import replace
from paddleshunt_core.leased.losses import KEEP_SECONDS, MOST_REMEMBERED, MOST_RETURNED, LossBook
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import LossId, RunnerLost, TaskId

TASK = TaskId("job", 0, 0)
OTHER = TaskId("other", 0, 3)


def lost(runner: str, *tasks: TaskId, silent_ms: int = 1000) -> RunnerLost:
    return RunnerLost(LossId(runner, silent_ms), list(tasks))


@pytest.fixture
def book() -> LossBook:
    book = LossBook()
    assert book.learn(1.0, lost("i-1", TASK, OTHER))
    return book


def test_the_runners_lost_under_a_task_are_named(book: LossBook) -> None:
    book.learn(2.0, lost("i-2", TASK))
    assert book.runners(TASK) == [RunnerIncarnation("i-1"), RunnerIncarnation("i-2")]
    assert book.runners(OTHER) == [RunnerIncarnation("i-1")]
    assert book.runners(TaskId("job", 0, 1)) == []


def test_a_loss_that_is_told_again_counts_once(book: LossBook) -> None:
    assert not book.learn(1.1, lost("i-1", TASK, OTHER))
    assert book.runners(TASK) == [RunnerIncarnation("i-1")]


@pytest.mark.parametrize("told_first", ["loss", "return"])
def test_a_runner_that_answers_again_counts_for_nothing(told_first: str) -> None:
    book = LossBook()
    if told_first == "loss":
        book.learn(1.0, lost("i-1", TASK))
    assert book.returned(1.1, LossId("i-1", 1000))
    assert not book.learn(1.2, lost("i-1", TASK))
    assert book.runners(TASK) == []
    assert not book.returned(1.1, LossId("i-1", 1000))


def test_a_runner_that_answered_again_may_be_lost_later(book: LossBook) -> None:
    book.returned(1.1, LossId("i-1", 1000))
    assert book.learn(3.0, lost("i-1", TASK, silent_ms=3000))
    assert book.runners(TASK) == [RunnerIncarnation("i-1")]


def test_a_loss_is_forgotten_after_a_while(book: LossBook) -> None:
    book.learn(2.0, lost("i-2", TASK))
    known = replace(lost("i-2", TASK), ago_ms=round((KEEP_SECONDS - 1.0) * 1000))
    assert book.all(1.0 + KEEP_SECONDS) == [known]
    assert book.runners(TASK) == [RunnerIncarnation("i-2")]


def test_what_is_handed_on_says_for_how_long_it_has_been_known(book: LossBook) -> None:
    (first,) = book.all(31.0)
    other = LossBook()
    assert other.learn(100.0, first)
    assert other.all(110.0) == [replace(first, ago_ms=40_000)]
    assert other.all(100.0 - 30.0 + KEEP_SECONDS) == []


def test_no_more_than_a_bound_is_remembered(book: LossBook) -> None:
    for number in range(MOST_REMEMBERED):
        book.learn(2.0, lost(f"j-{number}", TaskId(f"job{number}", 0, 0)))
    assert len(book.all(2.0)) == MOST_REMEMBERED
    assert book.runners(TASK) == []


ENDED = replace(lost("i-1", TASK, OTHER), ended=[TASK])


@pytest.mark.parametrize(
    "told", [[ENDED], [lost("i-1", TASK, OTHER), ENDED]], ids=["alone", "later"]
)
def test_a_life_that_is_known_to_have_ended_is_told_from_one_that_is_silent(
    told: list[RunnerLost],
) -> None:
    book = LossBook()
    assert book.ended(TASK) == []
    assert all(book.learn(1.0, word) for word in told)
    assert book.ended(TASK) == [RunnerIncarnation("i-1")]
    assert book.ended(OTHER) == []
    assert book.runners(TASK) == book.runners(OTHER) == [RunnerIncarnation("i-1")]


def test_an_older_word_does_not_undo_what_is_known() -> None:
    book = LossBook()
    book.learn(1.0, ENDED)
    assert not book.learn(1.1, lost("i-1", TASK, OTHER))
    assert not book.learn(1.1, ENDED)
    assert book.ended(TASK) == [RunnerIncarnation("i-1")]


def test_an_end_is_remembered_as_long_as_the_loss_before_it(book: LossBook) -> None:
    book.learn(4.0, ENDED)
    assert book.all(31.0) == [replace(ENDED, ago_ms=30_000)]
    assert book.all(1.0 + KEEP_SECONDS) == []


def test_a_life_that_falls_silent_again_has_answered_since_its_earlier_loss(book: LossBook) -> None:
    assert book.learn(2.0, lost("i-1", OTHER, silent_ms=1900))
    assert book.runners(TASK) == []
    assert book.runners(OTHER) == [RunnerIncarnation("i-1")]
    assert not book.learn(2.1, lost("i-1", TASK, OTHER))
    assert book.runners(TASK) == []


def test_what_is_handed_on_says_who_answered_again(book: LossBook) -> None:
    book.returned(1.5, LossId("i-1", 1000))
    other = LossBook()
    other.learn(2.0, lost("i-1", TASK, OTHER))
    for news in book.all(2.0):
        other.follow(2.0, news)
    assert other.runners(TASK) == []
    assert book.all(1.5 + KEEP_SECONDS) == []


def test_no_more_answers_than_a_bound_are_remembered() -> None:
    book = LossBook()
    for number in range(MOST_RETURNED + 1):
        book.returned(1.0, LossId(f"i-{number}", 1000))
    assert len(book.all(1.0)) == MOST_RETURNED
