"""Tasks that crash each runner that starts them: how often one is tried, at what cost to others."""

from leasedfleet import Fleet
from paddleshunt_core.leased.outcomes import Failed


def test_a_task_that_crashes_its_runners_is_given_up_and_its_job_failed() -> None:
    fleet = Fleet(entries=2, targets=8)
    fleet.settle()
    caller = fleet.submit_crashing("e0", "bad", count=2, deadline=6.0)
    fleet.run(6.5)
    assert isinstance(fleet.answers[caller], Failed)


def test_a_crashing_job_that_is_sent_to_one_entry_after_another_is_not_begun_anew() -> None:
    fleet = Fleet(entries=3, targets=12)
    fleet.settle()
    for entry in ("e0", "e1", "e2"):
        fleet.submit_crashing(entry, "bad", count=1, deadline=2.0)
        fleet.run(0.9)
        fleet.kill(entry)
        fleet.run(1.3)
