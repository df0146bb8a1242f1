import pytest
from paddleshunt_core.effects import Effect, Send, Start
from paddleshunt_core.gate import MAX_STAMP_AGE, RETENTION_SECONDS, Gate, GateLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Assign, Inquire, Report, Share, Task, TaskBatch, TaskRefs

HOME = Incarnation("home", "1")
OTHER = Incarnation("other", "1")
NOW = 100.0


def assign(seq: int, *indexes: int, at: float = NOW, name: str = "s", acked: int = 0) -> Assign:
    tasks = [Task(index, b"%d" % index) for index in indexes]
    return Assign(seq, int(at * 1000), acked, [TaskBatch(name, "results", 10_000, tasks)])


def inquire(seq: int, *indexes: int, at: float = NOW, revoke: bool = False) -> Inquire:
    return Inquire(seq, int(at * 1000), 0, revoke, [TaskRefs("s", list(indexes))])


def started(effects: list[Effect]) -> list[int]:
    return [effect.index for effect in effects if isinstance(effect, Start)]


def report(gate: Gate, now: float = NOW) -> Report:
    (send,) = gate.flush(now)
    assert isinstance(send, Send)
    assert isinstance(send.body, Report)
    return send.body


@pytest.fixture
def gate() -> Gate:
    gate = Gate(GateLimits(slots=2, queue=1))
    gate.set_share(NOW, Share(1, 2, 3))
    return gate


def test_starts_within_slots_and_queues_within_limit(gate: Gate) -> None:
    assert started(gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2, 3))) == [0, 1]
    assert report(gate).refused == [TaskRefs("s", [3])]
    assert started(gate.finished(NOW, "s", 0, True, b"0")) == [2]


def test_without_a_share_nothing_starts() -> None:
    gate = Gate(GateLimits(slots=2))
    assert started(gate.assign(NOW, HOME, "h", assign(1, 0))) == []
    assert report(gate).refused == [TaskRefs("s", [0])]


def test_share_below_slots_limits_starts_and_queue(gate: Gate) -> None:
    gate.set_share(NOW, Share(2, 1, 1))
    assert started(gate.assign(NOW, HOME, "h", assign(1, 0, 1))) == [0]
    assert report(gate).refused == [TaskRefs("s", [1])]


def test_older_share_is_ignored(gate: Gate) -> None:
    gate.set_share(NOW, Share(5, 1, 1))
    gate.set_share(NOW, Share(4, 2, 2))
    assert gate.load.slots == 1


@pytest.mark.parametrize("seq", [1, 2], ids=["earlier", "same"])
def test_late_or_repeated_assign_starts_nothing(gate: Gate, seq: int) -> None:
    gate.assign(NOW, HOME, "h", assign(2, 0))
    assert started(gate.assign(NOW, HOME, "h", assign(seq, 1))) == []


def test_message_numbers_are_separate_for_each_home(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(9, 0))
    assert started(gate.assign(NOW, OTHER, "o", assign(1, 0, name="t"))) == [0]


def test_known_task_in_a_new_message_is_answered_from_the_record(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0))
    gate.finished(NOW, "s", 0, True, b"result")
    report(gate)
    assert started(gate.assign(NOW, HOME, "h", assign(2, 0))) == []
    assert report(gate).results[0].payload == b"result"


def test_revoked_task_never_starts_even_if_its_message_arrives_later(gate: Gate) -> None:
    gate.inquire(NOW, HOME, "h", inquire(2, 0, revoke=True))
    assert report(gate).refused == [TaskRefs("s", [0])]
    assert started(gate.assign(NOW, HOME, "h", assign(1, 0))) == []


def test_revoke_refuses_a_queued_task_and_keeps_a_running_one(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2))
    gate.inquire(NOW, HOME, "h", inquire(2, 1, 2, revoke=True))
    state = report(gate)
    assert state.running == [TaskRefs("s", [1])]
    assert state.refused == [TaskRefs("s", [2])]
    assert started(gate.finished(NOW, "s", 0, True, b"")) == []


def test_inquiry_repeats_a_result_until_it_is_acknowledged(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0))
    gate.finished(NOW, "s", 0, True, b"result")
    first = report(gate)
    gate.inquire(NOW, HOME, "h", inquire(2, 0))
    again = report(gate)
    assert again.results == first.results
    assert again.answers == 2
    gate.assign(NOW, HOME, "h", assign(3, acked=again.number))
    assert gate.describe()["records"] == 0


@pytest.mark.parametrize("age", [MAX_STAMP_AGE + 1, -60.0], ids=["old", "from the future"])
def test_stale_assign_is_refused(gate: Gate, age: float) -> None:
    assert started(gate.assign(NOW, HOME, "h", assign(1, 0, at=NOW - age))) == []
    assert report(gate).refused == [TaskRefs("s", [0])]


def test_leaving_returns_the_queue_and_refuses_new_tasks(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2))
    gate.leave()
    state = report(gate)
    assert state.leaving
    assert state.refused == [TaskRefs("s", [2])]
    assert started(gate.assign(NOW, HOME, "h", assign(2, 3))) == []
    gate.finished(NOW, "s", 0, True, b"")
    gate.finished(NOW, "s", 1, True, b"")
    assert gate.idle


def test_result_beyond_the_kept_bytes_is_reported_as_lost() -> None:
    gate = Gate(GateLimits(slots=2, result_bytes=10))
    gate.set_share(NOW, Share(1, 2, 2))
    gate.assign(NOW, HOME, "h", assign(1, 0, 1))
    for index in (0, 1):
        gate.finished(NOW, "s", index, True, b"x" * 8)
    report(gate)
    gate.inquire(NOW, HOME, "h", inquire(2, 0, 1))
    assert {r.index: r.ok for r in report(gate).results} == {0: None, 1: True}


def test_expired_queued_task_is_refused(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2))
    gate.tick(NOW + 11)
    assert TaskRefs("s", [2]) in report(gate).refused


def test_refused_home_is_notified_of_free_capacity(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2))
    gate.assign(NOW, OTHER, "o", assign(1, 0, name="t"))
    gate.flush(NOW)
    gate.finished(NOW, "s", 0, True, b"")
    notified = [send.to for send in gate.flush(NOW) if isinstance(send, Send)]
    assert notified == [HOME, OTHER]


def test_queued_tasks_of_an_ended_home_are_dropped(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0, 1, 2))
    gate.home_ended(NOW, HOME)
    assert gate.load.queued == 0
    assert gate.load.running == 2


def test_forgotten_home_keeps_its_report_numbers(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0))
    gate.finished(NOW, "s", 0, True, b"")
    first = report(gate).number
    later = NOW + 2 * RETENTION_SECONDS + 20
    gate.tick(later)
    assert gate.describe()["channels"] == 0
    gate.assign(later, HOME, "h", assign(2, 1, at=later))
    gate.finished(later, "s", 1, True, b"")
    assert report(gate, later).number > first


def test_task_that_never_reached_the_runner_is_refused(gate: Gate) -> None:
    gate.assign(NOW, HOME, "h", assign(1, 0))
    gate.not_started(NOW, "s", 0)
    assert report(gate).refused == [TaskRefs("s", [0])]
    assert gate.idle
