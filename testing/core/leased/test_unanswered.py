"""Sound jobs whose runners lose what they are asked for a while, and live on.

Seen: for six seconds most orders and looks had no answer and some were carried out late, at all
targets. Jobs were answered as failed though no task of theirs had failed and no runner had ended.
How: a runner that gave no answer until its lease was over was told as lost by the same word as one
that had crashed; two such words under a task, or one beside lost runs, ended its job as failed.
Cause: an answer that named what the entry did not know. A runner that can't be reached may have
crashed or not; whether its life has ended shows when another one answers in its place, or it does.
"""

from collections.abc import Callable

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.outcomes import GivenUp
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
