import pytest
from paddleshunt_core.calls import Calls
from paddleshunt_core.effects import Effect, Reply, Send
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Absent, Answer, Query, Running, Submit
from paddleshunt_core.outcomes import Complete, Conflict, NotAccepted, Unknown

HOME = Incarnation("home", "1")
SUBMIT = Submit("s", "results", False, 5000, b"d", [b"1"])


@pytest.fixture
def calls() -> Calls:
    calls = Calls()
    calls.submit(0.0, 1, HOME, "h", SUBMIT)
    return calls


def never(_incarnation: Incarnation) -> bool:
    return False


def replied(effects: list[Effect]) -> dict[int, object]:
    return {
        e.caller: e.body.outcome
        for e in effects
        if isinstance(e, Reply) and isinstance(e.body, Answer)
    }


def sent(effects: list[Effect]) -> list[object]:
    return [effect.body for effect in effects if isinstance(effect, Send)]


def test_second_caller_waits_with_the_first(calls: Calls) -> None:
    assert calls.submit(0.1, 2, HOME, "h", SUBMIT) == []
    done = Complete([b"1"])
    assert replied(calls.answered(Answer("s", b"d", done))) == {1: done, 2: done}
    assert len(calls) == 0


def test_answer_for_another_body_leaves_the_first_waiting(calls: Calls) -> None:
    other = Submit("s", "results", False, 5000, b"other", [b"2"])
    calls.submit(0.1, 2, HOME, "h", other)
    conflict = Conflict("")
    assert replied(calls.answered(Answer("s", b"other", conflict))) == {2: conflict}
    assert len(calls) == 1


def test_silent_home_is_queried_and_gets_the_submission_again_if_absent(calls: Calls) -> None:
    assert sent(calls.tick(1.1, never)) == [Query("s", b"d")]
    (resent,) = sent(calls.absent(1.2, Absent("s", b"d")))
    assert isinstance(resent, Submit)
    assert resent.deadline_ms == 3800
    assert resent.tasks == SUBMIT.tasks


def test_home_of_a_running_submission_is_queried_less_often(calls: Calls) -> None:
    calls.running(1.0, Running("s", b"d"))
    assert sent(calls.tick(2.9, never)) == []
    assert sent(calls.tick(3.1, never)) == [Query("s", b"d")]


@pytest.mark.parametrize(
    ("now", "ended"),
    [pytest.param(0.5, True, id="home ended"), pytest.param(6.1, False, id="deadline passed")],
)
def test_submission_at_a_lost_home_is_unknown(calls: Calls, now: float, ended: bool) -> None:
    (outcome,) = replied(calls.tick(now, lambda incarnation: ended)).values()
    assert isinstance(outcome, Unknown)


def test_undelivered_submission_is_not_accepted(calls: Calls) -> None:
    (outcome,) = replied(calls.undelivered(HOME, SUBMIT)).values()
    assert isinstance(outcome, NotAccepted)


def test_look_up_is_answered_with_the_state(calls: Calls) -> None:
    calls.look_up(0.0, 2, HOME, "h", "s")
    (reply,) = calls.running(0.1, Running("s", b""))
    assert reply == Reply(2, Running("s", b""))
