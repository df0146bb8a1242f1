"""What lost runners show of queues: second losses that are no chance, and what only looks so."""

import pytest
from paddleshunt_core.leased.suspicion import MOST_KEPT, WINDOW_SECONDS, Suspicions
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned, RunnerSilent, TaskId

AGAIN = 0.7
TARGETS = 11

Work = dict[str, tuple[str, int]]


def silent(runner: str, work: Work) -> RunnerSilent:
    """Return word of a runner; `work` gives queue and milliseconds of each job's one task."""
    tasks = [TaskId(job, 0, 0) for job in work]
    queues = [queue for queue, _ in work.values()]
    return RunnerSilent(LossId(runner, 1000), tasks, queues, [ms for _, ms in work.values()])


def told(*losses: tuple[float, Work]) -> Suspicions:
    suspicions = Suspicions(AGAIN)
    for number, (at, work) in enumerate(losses):
        assert suspicions.learn(at, silent(f"i-{number}", work))
    return suspicions


FIRST: Work = {"bad": ("short", 10), "beside": ("long", 400), "other": ("usual", 90)}
SECOND: Work = {"bad": ("short", 10), "sound": ("long", 300)}


def test_a_task_that_meets_two_lost_runners_soon_after_its_starts_shows_its_queue() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.lost_again() == {"short"}
    assert suspicions.lost_again(LossId("i-1", 1000)) == {"short"}
    evidence = suspicions.evidence(1.9, "short", 0.0, TARGETS, ())
    assert evidence is not None
    assert (evidence.second_losses, evidence.lives) == (1, 2)


@pytest.mark.parametrize("queue", ["long", "usual"])
def test_what_was_beside_it_once_shows_nothing(queue: str) -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.evidence(1.9, queue, 0.0, TARGETS, ()) is None


def test_runners_that_fall_silent_together_have_one_cause() -> None:
    suspicions = told((1.0, FIRST), (1.1, SECOND))
    assert suspicions.evidence(1.1, "short", 0.0, TARGETS, ()) is None


def test_a_runner_with_second_losses_of_several_queues_shows_none() -> None:
    suspicions = told((1.0, FIRST), (1.9, {"bad": ("short", 10), "beside": ("long", 10)}))
    assert suspicions.evidence(1.9, "short", 0.0, TARGETS, ()) is None
    assert suspicions.evidence(1.9, "long", 0.0, TARGETS, ()) is None


def test_a_long_task_that_meets_two_of_many_lost_runners_may_do_so_by_chance() -> None:
    losses = [(1.0 + n, {"long": ("long", 900), f"n{n}": ("usual", 50)}) for n in (0, 4)]
    others = [(1.5 + n, {f"m{n}": ("long", 800)}) for n in range(8)]
    suspicions = told(*sorted([*losses, *others], key=lambda each: each[0]))
    assert suspicions.evidence(9.9, "long", 0.0, TARGETS, ()) is None


def test_a_queue_that_is_absent_from_the_other_losses_is_not_their_cause() -> None:
    others: list[tuple[float, Work]] = [(2.5 + n, {f"m{n}": ("usual", 80)}) for n in range(3)]
    suspicions = told((1.0, FIRST), (1.9, SECOND), *others)
    assert suspicions.evidence(5.0, "short", 0.0, TARGETS, ()) is None


def test_runners_that_another_queue_explains_show_nothing() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.evidence(1.9, "short", 0.0, TARGETS, {"long"}) is None


def test_only_what_came_later_counts_after_a_release() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.evidence(2.0, "short", 1.5, TARGETS, ()) is None


def test_a_runner_that_answers_again_shows_nothing_whichever_word_comes_first() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.learn(2.0, RunnerReturned(LossId("i-1", 1000)))
    assert suspicions.evidence(2.0, "short", 0.0, TARGETS, ()) is None
    assert not suspicions.learn(2.1, silent("i-1", SECOND))


def test_a_loss_that_is_confirmed_is_no_news() -> None:
    suspicions = told((1.0, FIRST))
    lost = RunnerLost(LossId("i-0", 1000), [TaskId("bad", 0, 0)], ["short"], [10])
    assert not suspicions.learn(1.7, lost)


def test_a_loss_counts_from_when_its_teller_learned_of_it() -> None:
    suspicions = Suspicions(AGAIN)
    tasks = [TaskId("bad", 0, 0)]
    for number, ago in ((0, 3000), (1, 2100)):
        lost = RunnerLost(LossId(f"i-{number}", 1), tasks, ["short"], [10], ago)
        assert suspicions.learn(20.0, lost)
    assert suspicions.evidence(20.0, "short", 0.0, TARGETS, ()) is not None
    assert suspicions.last("short", 0.0) == pytest.approx(17.9)


def test_a_loss_that_is_too_old_to_be_evidence_is_no_news() -> None:
    """Losses are told again for longer than they are evidence."""
    suspicions = Suspicions(AGAIN)
    old = RunnerLost(LossId("i-0", 1), [TaskId("bad", 0, 0)], ["short"], [10], 15_000)
    assert not suspicions.learn(20.0, old)
    assert not suspicions


def test_evidence_is_forgotten_after_a_while() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    later = 1.0 + WINDOW_SECONDS + 0.1
    assert suspicions.evidence(later, "short", 0.0, TARGETS, ()) is None
    assert not suspicions.met(TaskId("beside", 0, 0))


def test_no_more_than_a_bound_is_kept() -> None:
    suspicions = told(*((1.0, {f"j{n}": ("short", 10)}) for n in range(MOST_KEPT + 1)))
    assert not suspicions.met(TaskId("j0", 0, 0))
    assert suspicions.met(TaskId("j1", 0, 0))
