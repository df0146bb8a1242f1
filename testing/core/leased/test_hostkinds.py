"""Fleets with several kinds of hosts: learning their speeds, and changes of a host's kind."""

from random import Random

import pytest
from leasedfleet import Fleet
from leasedrunner import Runner
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.wire import KindSpeed, SpeedUpdate

FAST, SLOW = 0.7, 1.7


def set_kind(runner: Runner, kind: str) -> None:
    """Change a runner's kind."""
    runner.kind = kind
    runner.labels = (kind, "rack")
    runner.speed = 1 / (SLOW if kind == "b" else FAST)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=2, targets=6)
    for number, runner in enumerate(fleet.runners.values()):
        set_kind(runner, "aab"[number % 3])
    fleet.settle()
    return fleet


def submit_jobs(fleet: Fleet, seconds: float, key_prefix: str) -> dict[int, tuple[float, float]]:
    """Submit jobs of four tasks to the entries in turn; return each job's submission and length."""
    rng = Random(3)
    jobs = {}
    entries = sorted(entry for entry, node in fleet.entries.items() if node.moves)
    for number in range(round(seconds / 0.1)):
        length = rng.uniform(0.1, 0.3)
        entry = entries[number % len(entries)]
        key = f"{key_prefix}{number}"
        caller = fleet.submit(
            entry, key, count=4, length=length, estimate=length * rng.uniform(0.7, 1.5)
        )
        jobs[caller] = (fleet.now, length)
        fleet.run(0.1)
    fleet.run(1.0)
    return jobs


def ratio(fleet: Fleet, entry: str) -> float:
    speeds = fleet.dispatchers[entry].speeds
    return speeds.factor("svc", "b") / speeds.factor("svc", "a")


def test_both_entries_learn_the_slowness_of_a_kind(fleet: Fleet) -> None:
    submit_jobs(fleet, 15.0, "j")
    for entry in fleet.entries:
        assert ratio(fleet, entry) == pytest.approx(SLOW / FAST, rel=0.15)


def test_jobs_meet_their_objective_once_kinds_are_known(fleet: Fleet) -> None:
    submit_jobs(fleet, 10.0, "learn")
    jobs = submit_jobs(fleet, 10.0, "j")
    in_time = [
        isinstance(fleet.answers.get(caller), Completed)
        and fleet.answered_at[caller] - submitted_at <= 1.6 * length + 0.06
        for caller, (submitted_at, length) in jobs.items()
    ]
    assert sum(in_time) / len(in_time) > 0.95


def test_a_restarted_entry_gets_the_factors_from_its_peers(fleet: Fleet) -> None:
    submit_jobs(fleet, 15.0, "j")
    fleet.kill("e0")
    fleet.run(1.0)
    fleet.start("e0")
    assert ratio(fleet, "e0") == pytest.approx(SLOW / FAST, rel=0.15)
    fleet.settle()
    assert {t.kind_factor for t in fleet.dispatchers["e0"].targets()} == {
        fleet.dispatchers["e0"].speeds.factor("svc", kind) for kind in "ab"
    }


def test_a_new_incarnation_of_another_kind_gets_that_kinds_factor(fleet: Fleet) -> None:
    submit_jobs(fleet, 15.0, "j")
    runner = fleet.runners["t0"]
    runner.crash()
    fleet.run(1.5)
    set_kind(runner, "b")
    runner.restart()
    fleet.run(1.5)
    for dispatcher in fleet.dispatchers.values():
        record = next(t for t in dispatcher.targets() if t.name == "t0")
        assert record.slowness == pytest.approx(dispatcher.speeds.factor("svc", "b"))


def test_completions_outweigh_nonsense_from_an_entry(fleet: Fleet) -> None:
    nonsense = SpeedUpdate([KindSpeed("svc", "a", 10**9, 10**9), KindSpeed("svc", "b", 1, 10**9)])
    fleet.dispatchers["e0"].handle_speed_update(fleet.now, nonsense, "e1")
    fleet.kill("e1")
    submit_jobs(fleet, 40.0, "j")
    assert ratio(fleet, "e0") > 1.25
    assert all(isinstance(answer, Completed) for answer in list(fleet.answers.values())[-100:])


def test_jobs_are_served_while_a_whole_kind_is_slow_and_after(fleet: Fleet) -> None:
    submit_jobs(fleet, 10.0, "before")
    slow = [runner for runner in fleet.runners.values() if runner.kind == "b"]
    for runner in slow:
        runner.speed /= 2
    submit_jobs(fleet, 5.0, "during")
    for runner in slow:
        runner.speed *= 2
    jobs = submit_jobs(fleet, 15.0, "after")
    assert all(isinstance(fleet.answers.get(caller), Completed) for caller in list(jobs)[-100:])
    assert ratio(fleet, "e0") == pytest.approx(SLOW / FAST, rel=0.3)


def test_a_job_waits_for_a_fast_runner_that_completes_it_in_time(fleet: Fleet) -> None:
    submit_jobs(fleet, 15.0, "learn")
    fleet.submit("e0", "fill", count=32, length=0.25)
    fleet.run(0.03)
    submitted_at = fleet.now
    caller = fleet.submit("e0", "next", count=2, length=0.32)
    fleet.run(2.0)
    assert isinstance(fleet.answers[caller], Completed)
    assert fleet.answered_at[caller] - submitted_at <= 1.6 * 0.32 + 0.06
    slow = [runner for runner in fleet.runners.values() if runner.kind == "b"]
    assert not any(task.job == "next" for runner in slow for task in runner.starts)


def test_a_job_runs_on_a_slow_runner_if_it_is_in_time_there(
    fleet: Fleet,
) -> None:
    submit_jobs(fleet, 15.0, "learn")
    fleet.submit("e0", "fill", count=32, length=3.0, deadline=20.0)
    fleet.run(0.03)
    caller = fleet.submit("e0", "next", count=1, length=0.05)
    fleet.run(1.0)
    assert isinstance(fleet.answers[caller], Completed)
