"""Refusals are counted each and told at a bounded rate."""

from paddleshunt_core.events import Log
from paddleshunt_core.leased.refusals import (
    LINE_INTERVAL_SECONDS,
    MAX_LINES_PER_KIND,
    MAX_SENDERS,
    MAX_TEXT_LENGTH,
    InputKind,
    Refusal,
    Refusals,
)

ODD = Refusal(InputKind.HEARTBEAT, "i-7", "odd")


def fields(logs: list[Log]) -> dict[str, str | int | float]:
    (log,) = logs
    assert log.event == "word_refused"
    return log.fields


def test_a_writer_that_goes_on_is_told_of_now_and_then_with_how_many_there_were() -> None:
    refusals = Refusals()
    assert fields(refusals.record(0.0, ODD))["left_out"] == 0
    for second in range(1, int(LINE_INTERVAL_SECONDS)):
        assert refusals.record(second, ODD) == []
    told = fields(refusals.record(LINE_INTERVAL_SECONDS, ODD))
    assert told == {
        "word": "heartbeat",
        "sender": "i-7",
        "problem": "odd",
        "left_out": int(LINE_INTERVAL_SECONDS) - 1,
    }
    assert refusals.record(LINE_INTERVAL_SECONDS + 1, ODD) == []


def test_other_writers_and_kinds_have_lines_of_their_own() -> None:
    refusals = Refusals()
    others = [
        ODD,
        Refusal(InputKind.HEARTBEAT, "i-8", "odd"),
        Refusal(InputKind.FRAME, "i-7", "odd"),
    ]
    assert [len(refusals.record(0.0, refusal)) for refusal in others] == [1, 1, 1]


def test_writers_whose_names_change_have_a_bounded_number_of_lines() -> None:
    refusals = Refusals()
    odd = [
        Refusal(InputKind.HEARTBEAT, f"i-{number}", "odd")
        for number in range(5 * MAX_LINES_PER_KIND)
    ]
    lines = [log for one in odd for log in refusals.record(1.0, one)]
    assert len(lines) == MAX_LINES_PER_KIND
    assert refusals.record(1.0, Refusal(InputKind.FRAME, "i-7", "odd")) != []
    told = fields(refusals.record(1.0 + LINE_INTERVAL_SECONDS, odd[-1]))
    assert (told["sender"], told["left_out"]) == (odd[-1].sender, 4 * MAX_LINES_PER_KIND)


def test_writers_that_are_many_are_not_all_remembered() -> None:
    refusals = Refusals()
    for number in range(3 * MAX_SENDERS):
        now = number // MAX_LINES_PER_KIND * LINE_INTERVAL_SECONDS
        assert refusals.record(now, Refusal(InputKind.HEARTBEAT, f"i-{number}", "odd")) != []
    assert len(refusals._told) == MAX_SENDERS


def test_what_comes_from_outside_stands_in_one_short_line() -> None:
    told = fields(
        Refusals().record(0.0, Refusal(InputKind.FRAME, "\u2028\n" + "x" * 9999, "\ud800\x00é"))
    )
    for text in (str(told["sender"]), str(told["problem"])):
        assert text.isascii() and text.isprintable() and len(text) <= MAX_TEXT_LENGTH
