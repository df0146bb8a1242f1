"""Evidence against queues from lost runners, and losses that prove nothing."""

import pytest
from paddleshunt_core.leased.crashevidence import (
    MAX_LOSSES,
    MAX_RETURNED,
    RETURN_WAIT_LEASES,
    WINDOW_SECONDS,
    CrashEvidence,
)
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned, RunnerSilent, TaskId

RESTART_SECONDS = 0.7
TARGETS = 11

RunTimes = dict[str, tuple[str, int]]


def silent(runner: str, work: RunTimes, since: int = 1000) -> RunnerSilent:
    """Return a silence; `work` gives the queue and run time in ms of each job's single task."""
    tasks = [TaskId(job, 0, 0) for job in work]
    queues = [queue for queue, _ in work.values()]
    return RunnerSilent(LossId(runner, since), tasks, queues, [ms for _, ms in work.values()])


def returned(runner: str, since: int = 1000) -> RunnerReturned:
    return RunnerReturned(LossId(runner, since))


def evidence_of(*losses: tuple[float, RunTimes]) -> CrashEvidence:
    evidence_log = CrashEvidence(RESTART_SECONDS)
    for number, (at, work) in enumerate(losses):
        assert evidence_log.learn(at, silent(f"i-{number}", work))
    return evidence_log


FIRST: RunTimes = {"bad": ("short", 10), "beside": ("long", 400), "other": ("usual", 90)}
SECOND: RunTimes = {"bad": ("short", 10), "sound": ("long", 300)}


def test_a_task_on_two_lost_runners_soon_after_its_starts_is_evidence() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    assert evidence_log.queues_with_repeat_losses() == {"short"}
    assert evidence_log.queues_with_repeat_losses({LossId("i-1", 1000)}) == {"short"}
    evidence = evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ())
    assert evidence is not None
    assert (evidence.repeat_losses, evidence.silent_runners) == (1, 2)


@pytest.mark.parametrize("queue", ["long", "usual"])
def test_a_task_beside_it_once_is_no_evidence(queue: str) -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    assert evidence_log.evidence_against(1.9, queue, 0.0, TARGETS, ()) is None


def test_runners_that_fall_silent_together_have_one_cause() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.1, SECOND))
    assert evidence_log.evidence_against(1.1, "short", 0.0, TARGETS, ()) is None


def test_repeat_losses_of_several_queues_on_one_runner_are_no_evidence() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, {"bad": ("short", 10), "beside": ("long", 10)}))
    assert evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ()) is None
    assert evidence_log.evidence_against(1.9, "long", 0.0, TARGETS, ()) is None


def test_a_long_task_on_two_of_many_lost_runners_may_be_chance() -> None:
    losses = [(1.0 + n, {"long": ("long", 900), f"n{n}": ("usual", 50)}) for n in (0, 4)]
    others = [(1.5 + n, {f"m{n}": ("long", 800)}) for n in range(8)]
    evidence_log = evidence_of(*sorted([*losses, *others], key=lambda each: each[0]))
    assert evidence_log.evidence_against(9.9, "long", 0.0, TARGETS, ()) is None


def test_a_queue_absent_from_the_other_losses_is_not_their_cause() -> None:
    others: list[tuple[float, RunTimes]] = [(2.5 + n, {f"m{n}": ("usual", 80)}) for n in range(3)]
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND), *others)
    assert evidence_log.evidence_against(5.0, "short", 0.0, TARGETS, ()) is None


def test_losses_that_another_queue_explains_are_no_evidence() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    assert evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, {"long"}) is None


def test_only_later_losses_count_after_a_release() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    assert evidence_log.evidence_against(2.0, "short", 1.5, TARGETS, ()) is None


def test_a_returned_runner_is_no_evidence_in_either_message_order() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    assert evidence_log.learn(2.0, RunnerReturned(LossId("i-1", 1000)))
    assert evidence_log.evidence_against(2.0, "short", 0.0, TARGETS, ()) is None
    assert not evidence_log.learn(2.1, silent("i-1", SECOND))


def test_a_confirmed_loss_is_not_new() -> None:
    evidence_log = evidence_of((1.0, FIRST))
    lost = RunnerLost(LossId("i-0", 1000), [TaskId("bad", 0, 0)], ["short"], [10])
    assert not evidence_log.learn(1.7, lost)


def test_a_loss_counts_from_when_its_sender_learned_of_it() -> None:
    evidence_log = CrashEvidence(RESTART_SECONDS)
    tasks = [TaskId("bad", 0, 0)]
    for number, ago in ((0, 3000), (1, 2100)):
        lost = RunnerLost(LossId(f"i-{number}", 1), tasks, ["short"], [10], ago)
        assert evidence_log.learn(20.0, lost)
    assert evidence_log.evidence_against(20.0, "short", 16.99, TARGETS, ()) is not None
    assert evidence_log.evidence_against(20.0, "short", 17.01, TARGETS, ()) is None
    for at, counts in ((17.9 + WINDOW_SECONDS - 0.01, True), (17.9 + WINDOW_SECONDS + 0.01, False)):
        assert evidence_log.evidence_against(at, "short", 0.0, TARGETS, ()) is None
        assert evidence_log.was_on_lost_runner(tasks[0]) is counts


def test_a_loss_too_old_to_be_evidence_is_not_new() -> None:
    """Losses are reported for longer than they count as evidence."""
    evidence_log = CrashEvidence(RESTART_SECONDS)
    old = RunnerLost(LossId("i-0", 1), [TaskId("bad", 0, 0)], ["short"], [10], 15_000)
    assert not evidence_log.learn(20.0, old)
    assert not evidence_log


def test_evidence_expires() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    later = 1.0 + WINDOW_SECONDS + 0.1
    assert evidence_log.evidence_against(later, "short", 0.0, TARGETS, ()) is None
    assert not evidence_log.was_on_lost_runner(TaskId("beside", 0, 0))


def test_the_number_of_losses_is_bounded() -> None:
    evidence_log = evidence_of(*((1.0, {f"j{n}": ("short", 10)}) for n in range(MAX_LOSSES + 1)))
    assert not evidence_log.was_on_lost_runner(TaskId("j0", 0, 0))
    assert evidence_log.was_on_lost_runner(TaskId("j1", 0, 0))


def test_evidence_names_the_losses_behind_it() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.5, {"alone": ("short", 80)}), (1.9, SECOND))
    evidence = evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ())
    assert evidence is not None
    assert {loss.runner for loss in evidence.losses} == {"i-0", "i-2"}


def evidence_of_returns(count: int, at: float = 0.5) -> CrashEvidence:
    """Return evidence after `count` incarnations were silent and answered again."""
    evidence_log = CrashEvidence(RESTART_SECONDS)
    for number in range(count):
        assert evidence_log.learn(at, silent(f"back-{number}", {"other": ("usual", 90)}))
        assert evidence_log.learn(at, returned(f"back-{number}"))
    assert evidence_log.take_new_evidence(at) == set()
    return evidence_log


def test_while_most_runners_return_only_a_long_silence_is_evidence() -> None:
    evidence_log = evidence_of_returns(2)
    for number, (at, work) in enumerate(((1.0, FIRST), (1.9, SECOND))):
        assert evidence_log.learn(at, silent(f"i-{number}", work))
        assert evidence_log.take_new_evidence(at) == set()
        assert evidence_log.may_gain_evidence
    late = 1.9 + RETURN_WAIT_LEASES * RESTART_SECONDS
    assert evidence_log.take_new_evidence(late - 0.01) == {LossId("i-0", 1000)}
    assert evidence_log.evidence_against(late - 0.01, "short", 0.0, TARGETS, ()) is None
    assert evidence_log.take_new_evidence(late + 0.01) == {LossId("i-1", 1000)}
    assert evidence_log.evidence_against(late + 0.01, "short", 0.0, TARGETS, ()) is not None
    assert not evidence_log.may_gain_evidence


def test_an_ended_incarnation_is_evidence_at_once_even_if_others_return() -> None:
    evidence_log = evidence_of_returns(2)
    evidence_log.learn(1.0, silent("i-0", FIRST))
    evidence_log.learn(1.9, silent("i-1", SECOND))
    for number, work in enumerate((FIRST, SECOND)):
        tasks = [TaskId(job, 0, 0) for job in work]
        queues, worked = zip(*work.values(), strict=True)
        loss = LossId(f"i-{number}", 1000)
        lost = RunnerLost(loss, tasks, list(queues), list(worked))
        assert not evidence_log.learn(2.0, lost)
        ended = RunnerLost(loss, tasks, list(queues), list(worked), ended=tasks)
        assert evidence_log.learn(2.1, ended)
        assert not evidence_log.learn(2.2, ended)
        assert evidence_log.take_new_evidence(2.2) == {loss}
    assert evidence_log.evidence_against(2.2, "short", 0.0, TARGETS, ()) is not None


def test_one_return_delays_no_evidence_from_others() -> None:
    evidence_log = evidence_of_returns(1)
    evidence_log.learn(1.0, silent("i-0", FIRST))
    evidence_log.learn(1.9, silent("i-1", SECOND))
    assert evidence_log.take_new_evidence(1.9) == {LossId("i-0", 1000), LossId("i-1", 1000)}
    assert evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ()) is not None


def test_an_incarnation_that_returned_often_counts_once() -> None:
    evidence_log = CrashEvidence(RESTART_SECONDS)
    for since in (100, 200, 300):
        evidence_log.learn(0.5, silent("back", {"other": ("usual", 90)}, since))
        evidence_log.learn(0.5, returned("back", since))
    evidence_log.learn(1.0, silent("i-0", FIRST))
    evidence_log.learn(1.9, silent("i-1", SECOND))
    assert evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ()) is not None


def test_the_silence_of_a_lately_returned_incarnation_must_last_to_be_evidence() -> None:
    """Although most silences don't end, as others were lost meanwhile."""
    evidence_log = evidence_of((1.0, FIRST), (1.2, {"alone": ("short", 80)}))
    evidence_log.learn(1.3, silent("back", {"alone": ("short", 80)}, 100))
    evidence_log.learn(1.4, returned("back", 100))
    evidence_log.learn(1.9, silent("back", SECOND, 200))
    assert evidence_log.evidence_against(1.9, "short", 0.0, TARGETS, ()) is None
    assert (
        evidence_log.evidence_against(
            2.0 + RETURN_WAIT_LEASES * RESTART_SECONDS, "short", 0.0, TARGETS, ()
        )
        is not None
    )


def test_returns_count_within_the_window_only() -> None:
    evidence_log = evidence_of_returns(8)
    at = 0.5 + WINDOW_SECONDS + 0.1
    evidence_log.learn(at, silent("i-0", FIRST))
    evidence_log.learn(at + 0.9, silent("i-1", SECOND))
    assert evidence_log.evidence_against(at + 0.9, "short", 0.0, TARGETS, ()) is not None


def test_an_incarnation_that_is_silent_again_has_answered_in_between() -> None:
    """The message on its answer is late or lost."""
    evidence_log = evidence_of((1.0, FIRST))
    evidence_log.learn(1.9, silent("i-1", SECOND, 1000))
    assert evidence_log.learn(2.5, silent("i-1", {"new": ("usual", 90)}, 2000))
    assert evidence_log.evidence_against(2.5, "short", 0.0, TARGETS, ()) is None
    assert not evidence_log.learn(2.6, returned("i-1", 1000))
    assert not evidence_log.learn(2.7, silent("i-1", SECOND, 1000))
    assert evidence_log.was_on_lost_runner(TaskId("new", 0, 0))


def test_an_outdated_silence_is_ignored_however_many_have_returned() -> None:
    evidence_log = CrashEvidence(RESTART_SECONDS)
    for number in range(MAX_RETURNED - 1):
        evidence_log.learn(1.0, returned(f"back-{number}"))
    assert not evidence_log.learn(1.1, silent("back-0", FIRST, 900))


def test_a_loss_is_discounted_once_its_incarnation_or_most_others_return() -> None:
    evidence_log = evidence_of((1.0, FIRST), (1.9, SECOND))
    losses = {LossId("i-0", 1000), LossId("i-1", 1000)}
    assert evidence_log.discounted(1.9, losses) == set()
    evidence_log.learn(2.0, returned("i-0"))
    assert evidence_log.discounted(2.0, losses) == losses
    later = 1.9 + RETURN_WAIT_LEASES * RESTART_SECONDS
    assert evidence_log.discounted(later, losses) == {LossId("i-0", 1000)}
    assert evidence_log.discounted(1.9 + WINDOW_SECONDS + 0.1, losses) == {LossId("i-0", 1000)}
