"""Every refusal is counted, and log lines about them are rate-limited."""

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

BAD = Refusal(InputKind.HEARTBEAT, "i-7", "odd")


def fields(logs: list[Log]) -> dict[str, str | int | float]:
    (log,) = logs
    assert log.event == "word_refused"
    return log.fields


def test_repeated_refusals_are_logged_once_per_interval_with_the_number_left_out() -> None:
    refusals = Refusals()
    assert fields(refusals.record(0.0, BAD))["left_out"] == 0
    for second in range(1, int(LINE_INTERVAL_SECONDS)):
        assert refusals.record(second, BAD) == []
    logged = fields(refusals.record(LINE_INTERVAL_SECONDS, BAD))
    assert logged == {
        "word": "heartbeat",
        "sender": "i-7",
        "problem": "odd",
        "left_out": int(LINE_INTERVAL_SECONDS) - 1,
    }
    assert refusals.record(LINE_INTERVAL_SECONDS + 1, BAD) == []


def test_each_sender_and_kind_has_its_own_rate_limit() -> None:
    refusals = Refusals()
    others = [
        BAD,
        Refusal(InputKind.HEARTBEAT, "i-8", "odd"),
        Refusal(InputKind.FRAME, "i-7", "odd"),
    ]
    assert [len(refusals.record(0.0, refusal)) for refusal in others] == [1, 1, 1]


def test_lines_of_one_kind_are_bounded_across_senders() -> None:
    refusals = Refusals()
    bad = [
        Refusal(InputKind.HEARTBEAT, f"i-{number}", "odd")
        for number in range(5 * MAX_LINES_PER_KIND)
    ]
    lines = [log for refusal in bad for log in refusals.record(1.0, refusal)]
    assert len(lines) == MAX_LINES_PER_KIND
    assert refusals.record(1.0, Refusal(InputKind.FRAME, "i-7", "odd")) != []
    logged = fields(refusals.record(1.0 + LINE_INTERVAL_SECONDS, bad[-1]))
    assert (logged["sender"], logged["left_out"]) == (bad[-1].sender, 4 * MAX_LINES_PER_KIND)


def test_the_number_of_tracked_senders_is_bounded() -> None:
    refusals = Refusals()
    for number in range(3 * MAX_SENDERS):
        now = number // MAX_LINES_PER_KIND * LINE_INTERVAL_SECONDS
        assert refusals.record(now, Refusal(InputKind.HEARTBEAT, f"i-{number}", "odd")) != []
    assert len(refusals._pairs) == MAX_SENDERS


def test_outside_text_is_escaped_and_truncated() -> None:
    logged = fields(
        Refusals().record(0.0, Refusal(InputKind.FRAME, "\u2028\n" + "x" * 9999, "\ud800\x00é"))
    )
    for text in (str(logged["sender"]), str(logged["problem"])):
        assert text.isascii() and text.isprintable() and len(text) <= MAX_TEXT_LENGTH
