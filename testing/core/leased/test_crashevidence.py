"""What lost runners show of queues: second losses that are no chance, and what only looks so."""

import pytest
from paddleshunt_core.leased.crashevidence import (
    MOST_KEPT,
    MOST_RETURNED,
    RETURN_WAIT_LEASES,
    WINDOW_SECONDS,
    CrashEvidence,
)
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned, RunnerSilent, TaskId

AGAIN = 0.7
TARGETS = 11

Work = dict[str, tuple[str, int]]


def silent(runner: str, work: Work, since: int = 1000) -> RunnerSilent:
    """Return word of a runner; `work` gives queue and milliseconds of each job's one task."""
    tasks = [TaskId(job, 0, 0) for job in work]
    queues = [queue for queue, _ in work.values()]
    return RunnerSilent(LossId(runner, since), tasks, queues, [ms for _, ms in work.values()])


def returned(runner: str, since: int = 1000) -> RunnerReturned:
    return RunnerReturned(LossId(runner, since))


def told(*losses: tuple[float, Work]) -> CrashEvidence:
    suspicions = CrashEvidence(AGAIN)
    for number, (at, work) in enumerate(losses):
        assert suspicions.learn(at, silent(f"i-{number}", work))
    return suspicions


FIRST: Work = {"bad": ("short", 10), "beside": ("long", 400), "other": ("usual", 90)}
SECOND: Work = {"bad": ("short", 10), "sound": ("long", 300)}


def test_a_task_that_meets_two_lost_runners_soon_after_its_starts_shows_its_queue() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    assert suspicions.lost_again() == {"short"}
    assert suspicions.lost_again({LossId("i-1", 1000)}) == {"short"}
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
    suspicions = CrashEvidence(AGAIN)
    tasks = [TaskId("bad", 0, 0)]
    for number, ago in ((0, 3000), (1, 2100)):
        lost = RunnerLost(LossId(f"i-{number}", 1), tasks, ["short"], [10], ago)
        assert suspicions.learn(20.0, lost)
    assert suspicions.evidence(20.0, "short", 16.99, TARGETS, ()) is not None
    assert suspicions.evidence(20.0, "short", 17.01, TARGETS, ()) is None
    for at, counts in ((17.9 + WINDOW_SECONDS - 0.01, True), (17.9 + WINDOW_SECONDS + 0.01, False)):
        assert suspicions.evidence(at, "short", 0.0, TARGETS, ()) is None
        assert suspicions.met(tasks[0]) is counts


def test_a_loss_that_is_too_old_to_be_evidence_is_no_news() -> None:
    """Losses are told again for longer than they are evidence."""
    suspicions = CrashEvidence(AGAIN)
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


def test_evidence_names_the_losses_that_it_is_made_of() -> None:
    suspicions = told((1.0, FIRST), (1.5, {"alone": ("short", 80)}), (1.9, SECOND))
    evidence = suspicions.evidence(1.9, "short", 0.0, TARGETS, ())
    assert evidence is not None
    assert {loss.runner for loss in evidence.losses} == {"i-0", "i-2"}


def told_returns(count: int, at: float = 0.5) -> CrashEvidence:
    """Return what is known after so many other lives were silent for a moment."""
    suspicions = CrashEvidence(AGAIN)
    for number in range(count):
        assert suspicions.learn(at, silent(f"back-{number}", {"other": ("usual", 90)}))
        assert suspicions.learn(at, returned(f"back-{number}"))
    assert suspicions.ripe(at) == set()
    return suspicions


def test_while_most_silences_end_one_is_evidence_only_once_it_has_lasted_longer() -> None:
    suspicions = told_returns(2)
    for number, (at, work) in enumerate(((1.0, FIRST), (1.9, SECOND))):
        assert suspicions.learn(at, silent(f"i-{number}", work))
        assert suspicions.ripe(at) == set()
        assert suspicions.ripens
    late = 1.9 + RETURN_WAIT_LEASES * AGAIN
    assert suspicions.ripe(late - 0.01) == {LossId("i-0", 1000)}
    assert suspicions.evidence(late - 0.01, "short", 0.0, TARGETS, ()) is None
    assert suspicions.ripe(late + 0.01) == {LossId("i-1", 1000)}
    assert suspicions.evidence(late + 0.01, "short", 0.0, TARGETS, ()) is not None
    assert not suspicions.ripens


def test_a_life_that_is_known_to_have_ended_is_evidence_at_once_whatever_others_do() -> None:
    suspicions = told_returns(2)
    suspicions.learn(1.0, silent("i-0", FIRST))
    suspicions.learn(1.9, silent("i-1", SECOND))
    for number, work in enumerate((FIRST, SECOND)):
        tasks = [TaskId(job, 0, 0) for job in work]
        queues, worked = zip(*work.values(), strict=True)
        loss = LossId(f"i-{number}", 1000)
        lost = RunnerLost(loss, tasks, list(queues), list(worked))
        assert not suspicions.learn(2.0, lost)
        ended = RunnerLost(loss, tasks, list(queues), list(worked), ended=tasks)
        assert suspicions.learn(2.1, ended)
        assert not suspicions.learn(2.2, ended)
        assert suspicions.ripe(2.2) == {loss}
    assert suspicions.evidence(2.2, "short", 0.0, TARGETS, ()) is not None


def test_one_life_that_answers_again_delays_no_evidence_of_others() -> None:
    suspicions = told_returns(1)
    suspicions.learn(1.0, silent("i-0", FIRST))
    suspicions.learn(1.9, silent("i-1", SECOND))
    assert suspicions.ripe(1.9) == {LossId("i-0", 1000), LossId("i-1", 1000)}
    assert suspicions.evidence(1.9, "short", 0.0, TARGETS, ()) is not None


def test_a_life_that_was_silent_often_counts_once_among_those_that_answer_again() -> None:
    suspicions = CrashEvidence(AGAIN)
    for since in (100, 200, 300):
        suspicions.learn(0.5, silent("back", {"other": ("usual", 90)}, since))
        suspicions.learn(0.5, returned("back", since))
    suspicions.learn(1.0, silent("i-0", FIRST))
    suspicions.learn(1.9, silent("i-1", SECOND))
    assert suspicions.evidence(1.9, "short", 0.0, TARGETS, ()) is not None


def test_a_life_that_came_back_lately_may_do_so_again() -> None:
    """Others were lost meanwhile, so most silences don't end."""
    suspicions = told((1.0, FIRST), (1.2, {"alone": ("short", 80)}))
    suspicions.learn(1.3, silent("back", {"alone": ("short", 80)}, 100))
    suspicions.learn(1.4, returned("back", 100))
    suspicions.learn(1.9, silent("back", SECOND, 200))
    assert suspicions.evidence(1.9, "short", 0.0, TARGETS, ()) is None
    assert (
        suspicions.evidence(2.0 + RETURN_WAIT_LEASES * AGAIN, "short", 0.0, TARGETS, ()) is not None
    )


def test_lives_that_came_back_are_no_base_rate_for_ever() -> None:
    suspicions = told_returns(8)
    at = 0.5 + WINDOW_SECONDS + 0.1
    suspicions.learn(at, silent("i-0", FIRST))
    suspicions.learn(at + 0.9, silent("i-1", SECOND))
    assert suspicions.evidence(at + 0.9, "short", 0.0, TARGETS, ()) is not None


def test_a_life_that_is_silent_anew_has_answered_meanwhile() -> None:
    """Its word that it answered is late, or never comes."""
    suspicions = told((1.0, FIRST))
    suspicions.learn(1.9, silent("i-1", SECOND, 1000))
    assert suspicions.learn(2.5, silent("i-1", {"new": ("usual", 90)}, 2000))
    assert suspicions.evidence(2.5, "short", 0.0, TARGETS, ()) is None
    assert not suspicions.learn(2.6, returned("i-1", 1000))
    assert not suspicions.learn(2.7, silent("i-1", SECOND, 1000))
    assert suspicions.met(TaskId("new", 0, 0))


def test_an_old_word_of_a_silence_is_not_followed_however_many_lives_have_come_back() -> None:
    suspicions = CrashEvidence(AGAIN)
    for number in range(MOST_RETURNED - 1):
        suspicions.learn(1.0, returned(f"back-{number}"))
    assert not suspicions.learn(1.1, silent("back-0", FIRST, 900))


def test_a_loss_is_doubtful_as_its_life_or_most_others_answer_again() -> None:
    suspicions = told((1.0, FIRST), (1.9, SECOND))
    losses = {LossId("i-0", 1000), LossId("i-1", 1000)}
    assert suspicions.doubtful(1.9, losses) == set()
    suspicions.learn(2.0, returned("i-0"))
    assert suspicions.doubtful(2.0, losses) == losses
    later = 1.9 + RETURN_WAIT_LEASES * AGAIN
    assert suspicions.doubtful(later, losses) == {LossId("i-0", 1000)}
    assert suspicions.doubtful(1.9 + WINDOW_SECONDS + 0.1, losses) == {LossId("i-0", 1000)}
