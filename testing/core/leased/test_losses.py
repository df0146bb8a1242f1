"""The history of lost runners: bounded, and corrected when one answers again."""

import pytest
from msgspec.structs import replace
from paddleshunt_core.leased.losses import (
    MAX_LOSSES,
    MAX_RETURNED,
    RETENTION_SECONDS,
    LossHistory,
)
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import LossId, RunnerLost, TaskId

TASK = TaskId("job", 0, 0)
OTHER = TaskId("other", 0, 3)


def lost(runner: str, *tasks: TaskId, silent_ms: int = 1000) -> RunnerLost:
    return RunnerLost(LossId(runner, silent_ms), list(tasks))


@pytest.fixture
def history() -> LossHistory:
    history = LossHistory()
    assert history.learn(1.0, lost("i-1", TASK, OTHER))
    return history


def test_runners_lost_with_a_task_are_returned(history: LossHistory) -> None:
    history.learn(2.0, lost("i-2", TASK))
    assert history.runners(TASK) == [RunnerIncarnation("i-1"), RunnerIncarnation("i-2")]
    assert history.runners(OTHER) == [RunnerIncarnation("i-1")]
    assert history.runners(TaskId("job", 0, 1)) == []


def test_a_repeated_loss_message_counts_once(history: LossHistory) -> None:
    assert not history.learn(1.1, lost("i-1", TASK, OTHER))
    assert history.runners(TASK) == [RunnerIncarnation("i-1")]


@pytest.mark.parametrize("first_message", ["loss", "return"])
def test_a_returned_runner_does_not_count(first_message: str) -> None:
    history = LossHistory()
    if first_message == "loss":
        history.learn(1.0, lost("i-1", TASK))
    assert history.returned(1.1, LossId("i-1", 1000))
    assert not history.learn(1.2, lost("i-1", TASK))
    assert history.runners(TASK) == []
    assert not history.returned(1.1, LossId("i-1", 1000))


def test_a_returned_runner_may_be_lost_later(history: LossHistory) -> None:
    history.returned(1.1, LossId("i-1", 1000))
    assert history.learn(3.0, lost("i-1", TASK, silent_ms=3000))
    assert history.runners(TASK) == [RunnerIncarnation("i-1")]


def test_a_loss_expires(history: LossHistory) -> None:
    history.learn(2.0, lost("i-2", TASK))
    known = replace(lost("i-2", TASK), ago_ms=round((RETENTION_SECONDS - 1.0) * 1000))
    assert history.export(1.0 + RETENTION_SECONDS) == [known]
    assert history.runners(TASK) == [RunnerIncarnation("i-2")]


def test_an_exported_loss_carries_its_age(history: LossHistory) -> None:
    (first,) = history.export(31.0)
    other = LossHistory()
    assert other.learn(100.0, first)
    assert other.export(110.0) == [replace(first, ago_ms=40_000)]
    assert other.export(100.0 - 30.0 + RETENTION_SECONDS) == []


def test_the_number_of_losses_is_bounded(history: LossHistory) -> None:
    for number in range(MAX_LOSSES):
        history.learn(2.0, lost(f"j-{number}", TaskId(f"job{number}", 0, 0)))
    assert len(history.export(2.0)) == MAX_LOSSES
    assert history.runners(TASK) == []


ENDED = replace(lost("i-1", TASK, OTHER), ended=[TASK])


@pytest.mark.parametrize(
    "messages", [[ENDED], [lost("i-1", TASK, OTHER), ENDED]], ids=["alone", "later"]
)
def test_an_ended_incarnation_is_distinguished_from_a_silent_one(
    messages: list[RunnerLost],
) -> None:
    history = LossHistory()
    assert history.ended(TASK) == []
    assert all(history.learn(1.0, message) for message in messages)
    assert history.ended(TASK) == [RunnerIncarnation("i-1")]
    assert history.ended(OTHER) == []
    assert history.runners(TASK) == history.runners(OTHER) == [RunnerIncarnation("i-1")]


def test_an_outdated_message_changes_nothing() -> None:
    history = LossHistory()
    history.learn(1.0, ENDED)
    assert not history.learn(1.1, lost("i-1", TASK, OTHER))
    assert not history.learn(1.1, ENDED)
    assert history.ended(TASK) == [RunnerIncarnation("i-1")]


def test_an_end_expires_with_its_loss(history: LossHistory) -> None:
    history.learn(4.0, ENDED)
    assert history.export(31.0) == [replace(ENDED, ago_ms=30_000)]
    assert history.export(1.0 + RETENTION_SECONDS) == []


def test_a_later_silence_voids_the_earlier_loss(
    history: LossHistory,
) -> None:
    assert history.learn(2.0, lost("i-1", OTHER, silent_ms=1900))
    assert history.runners(TASK) == []
    assert history.runners(OTHER) == [RunnerIncarnation("i-1")]
    assert not history.learn(2.1, lost("i-1", TASK, OTHER))
    assert history.runners(TASK) == []


def test_exported_losses_include_returns(history: LossHistory) -> None:
    history.returned(1.5, LossId("i-1", 1000))
    other = LossHistory()
    other.learn(2.0, lost("i-1", TASK, OTHER))
    for update in history.export(2.0):
        other.apply(2.0, update)
    assert other.runners(TASK) == []
    assert history.export(1.5 + RETENTION_SECONDS) == []


def test_the_number_of_returns_is_bounded() -> None:
    history = LossHistory()
    for number in range(MAX_RETURNED + 1):
        history.returned(1.0, LossId(f"i-{number}", 1000))
    assert len(history.export(1.0)) == MAX_RETURNED
