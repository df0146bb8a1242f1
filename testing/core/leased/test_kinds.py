"""A fleet whose hosts are of several kinds: what entries know of them when something changes."""

from random import Random

import pytest
from leasedfleet import Fleet
from leasedrunner import Runner
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.wire import KindSpeed, SpeedNews

FAST, SLOW = 0.7, 1.7


def become(runner: Runner, kind: str) -> None:
    """Make a runner one of a kind."""
    runner.kind = kind
    runner.labels = (kind, "rack")
    runner.speed = 1 / (SLOW if kind == "b" else FAST)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=2, targets=6)
    for number, runner in enumerate(fleet.runners.values()):
        become(runner, "aab"[number % 3])
    fleet.settle()
    return fleet


def work(fleet: Fleet, seconds: float, prefix: str) -> dict[int, tuple[float, float]]:
    """Hand in jobs of four tasks by turns; return when each came, and its length."""
    rng = Random(3)
    jobs = {}
    entries = sorted(entry for entry, node in fleet.entries.items() if node.moves)
    for number in range(round(seconds / 0.1)):
        length = rng.uniform(0.1, 0.3)
        entry = entries[number % len(entries)]
        key = f"{prefix}{number}"
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


def test_both_entries_learn_how_much_slower_a_kind_is(fleet: Fleet) -> None:
    work(fleet, 15.0, "j")
    for entry in fleet.entries:
        assert ratio(fleet, entry) == pytest.approx(SLOW / FAST, rel=0.15)


def test_jobs_end_in_time_once_kinds_are_known(fleet: Fleet) -> None:
    work(fleet, 10.0, "learn")
    jobs = work(fleet, 10.0, "j")
    in_time = [
        isinstance(fleet.answers.get(caller), Completed)
        and fleet.answered_at[caller] - came <= 1.6 * length + 0.06
        for caller, (came, length) in jobs.items()
    ]
    assert sum(in_time) / len(in_time) > 0.95


def test_an_entry_that_starts_again_knows_the_kinds_from_its_peers(fleet: Fleet) -> None:
    work(fleet, 15.0, "j")
    fleet.kill("e0")
    fleet.run(1.0)
    fleet.start("e0")
    assert ratio(fleet, "e0") == pytest.approx(SLOW / FAST, rel=0.15)
    fleet.settle()
    assert {t.kind_factor for t in fleet.dispatchers["e0"].targets()} == {
        fleet.dispatchers["e0"].speeds.factor("svc", kind) for kind in "ab"
    }


def test_a_new_life_of_another_kind_at_the_same_address_counts_as_that_kind(fleet: Fleet) -> None:
    work(fleet, 15.0, "j")
    runner = fleet.runners["t0"]
    runner.crash()
    fleet.run(1.5)
    become(runner, "b")
    runner.restart()
    fleet.run(1.5)
    for dispatcher in fleet.dispatchers.values():
        record = next(t for t in dispatcher.targets() if t.name == "t0")
        assert record.slowness == pytest.approx(dispatcher.speeds.factor("svc", "b"))


def test_an_entrys_nonsense_is_outweighed_by_four_hundred_jobs(fleet: Fleet) -> None:
    nonsense = SpeedNews([KindSpeed("svc", "a", 10**9, 10**9), KindSpeed("svc", "b", 1, 10**9)])
    fleet.dispatchers["e0"].handle_speed_update(fleet.now, nonsense, "e1")
    fleet.kill("e1")
    work(fleet, 40.0, "j")
    assert ratio(fleet, "e0") > 1.25
    assert all(isinstance(answer, Completed) for answer in list(fleet.answers.values())[-100:])


def test_jobs_are_served_while_a_whole_kind_is_slow_and_after(fleet: Fleet) -> None:
    work(fleet, 10.0, "before")
    slow = [runner for runner in fleet.runners.values() if runner.kind == "b"]
    for runner in slow:
        runner.speed /= 2
    work(fleet, 5.0, "during")
    for runner in slow:
        runner.speed *= 2
    jobs = work(fleet, 15.0, "after")
    assert all(isinstance(fleet.answers.get(caller), Completed) for caller in list(jobs)[-100:])
    assert ratio(fleet, "e0") == pytest.approx(SLOW / FAST, rel=0.3)


def test_a_job_waits_for_a_fast_runner_that_serves_it_in_time(fleet: Fleet) -> None:
    work(fleet, 15.0, "learn")
    fleet.submit("e0", "fill", count=32, length=0.25)
    fleet.run(0.03)
    came = fleet.now
    caller = fleet.submit("e0", "next", count=2, length=0.32)
    fleet.run(2.0)
    assert isinstance(fleet.answers[caller], Completed)
    assert fleet.answered_at[caller] - came <= 1.6 * 0.32 + 0.06
    slow = [runner for runner in fleet.runners.values() if runner.kind == "b"]
    assert not any(task.job == "next" for runner in slow for task in runner.starts)


def test_a_job_that_only_slow_runners_have_room_for_is_placed_if_it_is_in_time_there(
    fleet: Fleet,
) -> None:
    work(fleet, 15.0, "learn")
    fleet.submit("e0", "fill", count=32, length=3.0, deadline=20.0)
    fleet.run(0.03)
    caller = fleet.submit("e0", "next", count=1, length=0.05)
    fleet.run(1.0)
    assert isinstance(fleet.answers[caller], Completed)
