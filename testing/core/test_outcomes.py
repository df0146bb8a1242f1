import pytest
from paddleshunt_core.outcomes import (
    Complete,
    Conflict,
    Failed,
    NotAccepted,
    NotRun,
    Outcome,
    Safe,
    Unknown,
    safe_to_ask,
)


@pytest.mark.parametrize(
    ("outcome", "once", "again"),
    [
        pytest.param(Complete([]), Safe.SAME_ID, Safe.SAME_ID, id="complete"),
        pytest.param(NotRun("", 0), Safe.NEW_ID, Safe.NEW_ID, id="not_run"),
        pytest.param(NotAccepted("", 0), Safe.SAME_ID, Safe.SAME_ID, id="not_accepted"),
        pytest.param(Conflict(""), Safe.SAME_ID, Safe.SAME_ID, id="conflict"),
        pytest.param(Failed("", [], [], []), Safe.SAME_ID, Safe.EITHER, id="failed"),
        pytest.param(Unknown(""), Safe.SAME_ID, Safe.EITHER, id="unknown"),
    ],
)
def test_a_new_id_is_advised_only_where_nothing_can_run_twice(
    outcome: Outcome, once: Safe, again: Safe
) -> None:
    assert safe_to_ask(outcome, repeatable=False) is once
    assert safe_to_ask(outcome, repeatable=True) is again
