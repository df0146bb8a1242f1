"""First assignments to idle targets, which must confirm that they live before they start tasks."""

import pytest
from leasedfleet import STEP, Fleet
from paddleshunt_core.events import Log
from paddleshunt_core.leased.livenesschecks import CONFIRMATION_SECONDS
from paddleshunt_core.leased.outcomes import AnswerJob, Completed, GivenUp


@pytest.fixture
def fleet() -> Fleet:
    """A fleet of two targets whose sessions are idle and whose leases have lapsed."""
    fleet = Fleet(entries=1, targets=2)
    fleet.settle()
    while not all(_is_lapsed(fleet, name) for name in fleet.targets):
        fleet.step()
    return fleet


def _is_lapsed(fleet: Fleet, target: str) -> bool:
    session = fleet.dispatchers["e0"].session(target)
    assert session is not None
    return fleet.now > session.renewed_ms / 1000 + fleet.times.echo_expiry


def starts(fleet: Fleet) -> dict[str, int]:
    return {name: sum(runner.starts.values()) for name, runner in fleet.runners.items()}


def target_with_task(fleet: Fleet) -> str:
    """Return the name of the target that the only task has been sent to."""
    (name,) = [t.name for t in fleet.dispatchers["e0"].targets() if t.placed]
    return name


def test_the_first_task_of_an_idle_target_starts_after_one_round_trip(fleet: Fleet) -> None:
    caller = fleet.submit("e0", "job", count=1, length=0.2)
    fleet.run(4 * STEP)
    assert sum(starts(fleet).values()) == 1
    fleet.run(0.3)
    assert fleet.answers[caller] == Completed()


def test_nothing_starts_before_the_entry_has_echoed(fleet: Fleet) -> None:
    """The entry's frames reach the target, but the target's frames are lost."""
    fleet.submit("e0", "job", count=1, length=0.2)
    for name in fleet.targets:
        fleet.cut(name, "e0")
    fleet.run(CONFIRMATION_SECONDS)
    assert sum(starts(fleet).values()) == 0


def test_a_dead_idle_target_delays_a_task_no_longer_than_the_confirmation_timeout(
    fleet: Fleet,
) -> None:
    caller = fleet.submit("e0", "job", count=1, length=0.2)
    dead = target_with_task(fleet)
    fleet.freeze(dead)
    fleet.run(CONFIRMATION_SECONDS + 0.2 + 5 * STEP)
    assert fleet.answers[caller] == Completed()
    assert starts(fleet)[dead] == 0
    assert fleet.ends("task_returned") == ["job"]


def test_an_unconfirmed_target_is_assigned_nothing_until_it_sends_a_message(fleet: Fleet) -> None:
    fleet.submit("e0", "job", count=1, length=0.1)
    dead = target_with_task(fleet)
    fleet.freeze(dead)
    fleet.run(0.1)
    for number in range(5):
        fleet.submit("e0", f"next{number}", count=2, length=0.1)
        fleet.step()
        (record,) = [t for t in fleet.dispatchers["e0"].targets() if t.name == dead]
        assert not record.placed
    fleet.thaw(dead)
    fleet.run(1.0)
    callers = [fleet.submit("e0", f"more{number}", count=6, length=0.2) for number in range(2)]
    fleet.run(0.5)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * 2
    assert starts(fleet)[dead] > 0


def test_a_late_target_starts_no_withdrawn_task(fleet: Fleet) -> None:
    """The entry's frames are delayed until the task runs elsewhere, and then all arrive at once."""
    caller = fleet.submit("e0", "job", count=1, length=0.6)
    late = target_with_task(fleet)
    fleet.cut("e0", late)
    fleet.run(CONFIRMATION_SECONDS + 3 * STEP)
    fleet.heal()
    fleet.run(0.4)
    assert starts(fleet)[late] == 0
    assert sum(starts(fleet).values()) == 1
    fleet.run(0.5)
    assert fleet.answers[caller] == Completed()


def test_a_withdrawn_run_does_not_count_as_a_retry(fleet: Fleet) -> None:
    """A job whose tasks never started may still be refused."""
    for name in fleet.targets:
        fleet.freeze(name)
    fleet.submit("e0", "job", count=1, length=0.2)
    fleet.run(2 * (CONFIRMATION_SECONDS + 3 * STEP))
    (job,) = fleet.dispatchers["e0"]._jobs.all()
    assert not job.may_have_started
    assert job.tasks[0].retries == job.tasks[0].losses == 0


def test_a_run_that_may_have_started_is_not_withdrawn() -> None:
    """Right after an echo a target starts tasks at once, even if its replies are lost."""
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    while not _is_lapsed(fleet, "t0"):
        fleet.step()
    session = fleet.dispatchers["e0"].session("t0")
    assert session is not None
    before = session.renewed_ms
    while session.renewed_ms == before:
        fleet.step()
    fleet.submit("e0", "job", count=1, length=3.0)
    fleet.step()
    fleet.cut("t0", "e0")
    fleet.run(0.2)
    assert fleet.ends("target_unanswered") == []
    assert len(fleet.runners["t0"].running) == 1


def test_idle_sessions_send_one_frame_each_way_per_heartbeat() -> None:
    fleet = Fleet(entries=4, targets=4)
    fleet.settle()
    fleet.run(1.0)
    before = fleet.frames
    fleet.run(10.0)
    beats = 10.0 / fleet.times.idle_heartbeat
    assert fleet.frames - before <= 1.2 * 2 * beats * 16
    assert fleet.ends("session_ended") == []


def test_a_session_with_a_placed_run_is_kept_alive_until_the_run_ends(fleet: Fleet) -> None:
    caller = fleet.submit("e0", "job", count=1, length=5.0, deadline=9.0)
    fleet.run(5.3)
    assert fleet.answers[caller] == Completed()
    assert sum(starts(fleet).values()) == 1


def test_idle_sessions_do_not_end(fleet: Fleet) -> None:
    fleet.run(20.0)
    assert fleet.ends("session_ended") == []
    assert fleet.ends("session_opened").count("") == 4


@pytest.mark.parametrize("killed", ["entry", "target"])
def test_an_idle_session_ends_after_its_timeout_if_either_process_dies(
    fleet: Fleet, killed: str
) -> None:
    fleet.kill("e0" if killed == "entry" else "t0")
    fleet.run(fleet.times.idle_session + 0.2)
    if killed == "entry":
        assert all(not worker.session_names() for worker in fleet.workers.values())
    else:
        assert fleet.dispatchers["e0"].session("t0") is None


@pytest.mark.parametrize("method", ["check_confirmations", "place_new_jobs", "place_waiting"])
def test_an_entry_places_nothing_after_a_pause_of_its_process(fleet: Fleet, method: str) -> None:
    """Its callers may have resubmitted their jobs elsewhere."""
    dispatcher = fleet.dispatchers["e0"]
    caller = fleet.submit("e0", "job", count=1)
    fleet.step()
    late = fleet.now + fleet.times.session + 0.01
    effects = getattr(dispatcher, method)(late)
    assert [e.outcome for e in effects if isinstance(e, AnswerJob)] == [GivenUp("stood_still")]
    assert not [e for e in effects if isinstance(e, Log) and e.event == "job_placed"]
    assert [e.caller for e in effects if isinstance(e, AnswerJob)] == [caller]
