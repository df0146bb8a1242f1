"""A run that is done while nobody hears it, before its runner ends: it was not at work at the end.

Seen in the soak of the real programs: of one job a run was done some milliseconds before its runner
was taken down by another task; the last look had shown it at work, and another life answered later.
With one more runner that ended under it, the job was told to have failed.
"""

import pytest
from leasedfleet import Fleet
from leasedrunner import Runner


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=1, targets=6)
    fleet.settle()
    return fleet


def end_unheard(fleet: Fleet) -> None:
    """Let a run be done while its runner's answers are lost, and crash the runner at once."""
    runner = wait_for_work(fleet)
    runner.mute = True
    fleet.run(0.1)
    assert not runner.running
    runner.crash()
    runner.crashed_at = fleet.now
    runner.mute = False


def wait_for_work(fleet: Fleet) -> Runner:
    """Let time pass until a run is nearly done; return its runner."""
    for _ in range(400):
        fleet.step()
        for runner in fleet.runners.values():
            if any(task.done > 0.25 for task in runner.running.values()):
                return runner
    raise AssertionError("nothing ran")


def test_a_job_whose_runs_were_done_before_their_runners_ended_has_not_failed(
    fleet: Fleet,
) -> None:
    fleet.submit("e0", "job", count=1, length=0.3, deadline=20.0)
    for _ in range(2):
        end_unheard(fleet)
    fleet.run(5.0)
    # The fleet checks that nobody is told failed for this.
    fleet.submit("e0", "job", count=1, length=0.3)
    fleet.run(0.1)
