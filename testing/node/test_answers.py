import json

import pytest
from paddleshunt_core.messages import Absent, Answer, Running
from paddleshunt_core.outcomes import Complete, Conflict, Failed, NotAccepted, NotRun, Unknown
from paddleshunt_node.answers import STATUSES, respond


def test_statuses_are_distinct() -> None:
    assert len(set(STATUSES.values())) == len(STATUSES)


@pytest.mark.parametrize(
    ("body", "status", "fields"),
    [
        (Answer("s", b"", Complete([b"1", b'"x"'])), 200, {"results": [1, "x"]}),
        (Answer("s", b"", Failed("r", [1], [0], [2])), 422, {"failed": [1], "not_started": [2]}),
        (Answer("s", b"", NotRun("r", 1500)), 429, {"outcome": "not_run", "ask_again": "new_id"}),
        (Answer("s", b"", NotAccepted("r", 0)), 503, {"ask_again": "same_id"}),
        (Answer("s", b"", Unknown("r")), 410, {"reason": "r", "ask_again": "same_id"}),
        (Answer("s", b"", Unknown("r"), True), 410, {"ask_again": "either"}),
        (Answer("s", b"", Conflict("r")), 409, {"outcome": "conflict"}),
        (Running("s", b""), 202, {"state": "running"}),
        (Absent("s", b""), 404, {"state": "not_submitted"}),
    ],
    ids=lambda value: type(getattr(value, "outcome", value)).__name__,
)
def test_response(body: Answer | Running | Absent, status: int, fields: dict[str, object]) -> None:
    response = respond(body)
    assert response.status == status
    found = json.loads(response.body)
    assert fields.items() <= found.items()
    assert found["id"] == "s"


def test_retry_after_is_whole_seconds_and_never_zero() -> None:
    assert respond(Answer("s", b"", NotRun("r", 1500))).headers["Retry-After"] == "2"
    assert respond(Answer("s", b"", NotRun("r", 0))).headers["Retry-After"] == "1"
