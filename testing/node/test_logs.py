import logging

import pytest
from paddleshunt_node import logs


def test_event_is_one_line_of_pairs(capsys: pytest.CaptureFixture[str]) -> None:
    logs.set_up("info")
    logs.event("task_started", submission="abc", index=3, reason='a "b"\nc')
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert line.startswith("time=20")
    assert line.endswith(
        'level=INFO event=task_started submission=abc index=3 reason="a \\"b\\"\\nc"\n'
    )


def test_events_below_the_level_are_not_written(capsys: pytest.CaptureFixture[str]) -> None:
    logs.set_up("error")
    logs.event("quiet")
    assert capsys.readouterr().err == ""
    logging.getLogger("paddleshunt").handlers.clear()
