"""Runs that succeed unreported just before their runner crashes must not make their job fail."""

import pytest
from leasedfleet import Fleet
from leasedrunner import Runner


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=1, targets=6)
    fleet.settle()
    return fleet


def complete_unreported(fleet: Fleet) -> None:
    """Let a run complete while its runner's answers are lost, and crash the runner at once."""
    runner = wait_for_work(fleet)
    runner.mute = True
    fleet.run(0.1)
    assert not runner.running
    runner.crash()
    runner.crashed_at = fleet.now
    runner.mute = False


def wait_for_work(fleet: Fleet) -> Runner:
    """Run the fleet until a run is nearly done; return its runner."""
    for _ in range(400):
        fleet.step()
        for runner in fleet.runners.values():
            if any(task.done > 0.25 for task in runner.running.values()):
                return runner
    raise AssertionError("no run came near its end within 400 steps")


def test_a_job_whose_runs_completed_before_their_runners_crashed_has_not_failed(
    fleet: Fleet,
) -> None:
    fleet.submit("e0", "job", count=1, length=0.3, deadline=20.0)
    for _ in range(2):
        complete_unreported(fleet)
    fleet.run(5.0)
    # The fleet itself checks that no job is answered as failed without failed tasks.
    fleet.submit("e0", "job", count=1, length=0.3)
    fleet.run(0.1)
