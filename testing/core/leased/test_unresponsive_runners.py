"""Sound jobs whose runners lose what they are asked for a while, and live on.

Seen: for six seconds most orders and looks had no answer and some were carried out late, at all
targets. Jobs were answered as failed though no task of theirs had failed and no runner had ended.
How: a runner that gave no answer until its lease was over was told as lost by the same word as one
that had crashed; two such words under a task, or one beside lost runs, ended its job as failed.
Cause: an answer that named what the entry did not know. A runner that can't be reached may have
crashed or not; whether its life has ended shows when another one answers in its place, or it does.
"""

from collections.abc import Callable
from random import Random

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.outcomes import Completed, GivenUp
from paddleshunt_core.leased.wire import TaskId

JOB = TaskId("job", 0, 0)


def busy_runner(fleet: Fleet, *others: str) -> str:
    """Return the runner that has something at work, beside the `others`."""
    names = [name for name, runner in fleet.runners.items() if runner.running]
    (name,) = [name for name in names if name not in others]
    return name


def silence(fleet: Fleet, *others: str) -> str:
    """Let the runner that is at work, beside the `others`, fall silent; return its name."""
    name = busy_runner(fleet, *others)
    fleet.runners[name].mute = True
    return name


def lose_session(fleet: Fleet, *others: str) -> str:
    """Cut the target of that runner off from the entry; return its name."""
    name = busy_runner(fleet, *others)
    fleet.cut(name, "e0")
    fleet.cut("e0", name)
    return name


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=1, targets=6)
    fleet.settle()
    return fleet


@pytest.mark.parametrize(
    "losses",
    [[silence, silence], [silence, lose_session, lose_session]],
    ids=["two_silent_runners", "one_beside_two_lost_sessions"],
)
def test_a_job_whose_runners_give_no_answer_has_an_unknown_outcome(
    losses: list[Callable[..., str]], fleet: Fleet
) -> None:
    caller = fleet.submit("e0", "job", count=1, length=3.0, deadline=20.0)
    fleet.run(0.3)
    names: list[str] = []
    for lose in losses:
        names.append(lose(fleet, *names))
        fleet.run(1.3)
    assert isinstance(fleet.answers[caller], GivenUp)
    starts = sum(runner.starts[JOB] for runner in fleet.runners.values())
    assert starts == len(losses), "it may have taken each of them down: it is not tried again"


def test_a_job_handed_in_again_runs_once_its_runners_answer(fleet: Fleet) -> None:
    fleet.submit("e0", "job", count=1, length=3.0, deadline=20.0)
    fleet.run(0.3)
    names: list[str] = []
    for _ in range(2):
        names.append(silence(fleet, *names))
        fleet.run(1.3)
    undecided = fleet.submit("e0", "job", count=1, length=0.3)
    assert isinstance(fleet.answers[undecided], GivenUp)
    for name in names:
        fleet.runners[name].mute = False
    fleet.run(0.1)
    decided = fleet.submit("e0", "job", count=1, length=0.3)
    fleet.run(1.0)
    assert fleet.answers[decided] == Completed()


def test_silences_of_one_life_count_as_one_runner(fleet: Fleet) -> None:
    """It answered between them, so what was at work at the first one did not take it down."""
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    caller = fleet.submit("e0", "job", count=1, length=0.6, deadline=20.0)
    for _ in range(2):
        fleet.run(0.3)
        fleet.runners["t0"].mute = True
        fleet.run(1.3)
        fleet.runners["t0"].mute = False
        fleet.run(0.2)
    fleet.run(3.0)
    assert fleet.answers[caller] == Completed()


class Trouble:
    """Sound jobs while most runners lose a share of what they are asked, for seconds."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = Fleet(entries=3, targets=8)
        self.fleet.settle()
        self.jobs = 0

    def run(self, seconds: float, silent: float, late: float) -> None:
        """Let time pass; each 0.1 s `silent` and `late` are the shares of runners that are so."""
        for _ in range(round(seconds / 0.1)):
            for runner in self.fleet.runners.values():
                runner.mute = self.rng.random() < silent
                runner.late = self.rng.uniform(2.0, 12.0) if self.rng.random() < late else None
            for _ in range(2):
                self._submit()
            self.fleet.run(0.1)

    def _submit(self) -> None:
        entry = self.rng.choice([*self.fleet.entries])
        count, length = self.rng.randint(1, 6), self.rng.choice([0.1, 0.3, 0.9])
        self.fleet.submit(entry, f"job{self.jobs}", count=count, length=length)
        self.jobs += 1


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("silent", "late"), [(0.8, 0.0), (0.7, 0.8)], ids=["mute", "late"])
def test_no_sound_job_is_told_to_have_failed_while_answers_are_lost(
    seed: int, silent: float, late: float
) -> None:
    trouble = Trouble(seed)
    trouble.run(6.0, silent, late)
    trouble.run(2.0, 0.0, 0.0)
    done = [answer for answer in trouble.fleet.answers.values() if answer == Completed()]
    assert done, "work goes on"
