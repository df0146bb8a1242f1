import pytest
from paddleshunt_core.outcomes import (
    Complete,
    Conflict,
    Failed,
    NotAccepted,
    NotRun,
    Outcome,
    RetryAdvice,
    Unknown,
    retry_advice,
)


@pytest.mark.parametrize(
    ("outcome", "not_repeatable", "repeatable"),
    [
        pytest.param(Complete([]), RetryAdvice.SAME_ID, RetryAdvice.SAME_ID, id="complete"),
        pytest.param(NotRun("", 0), RetryAdvice.NEW_ID, RetryAdvice.NEW_ID, id="not_run"),
        pytest.param(
            NotAccepted("", 0), RetryAdvice.SAME_ID, RetryAdvice.SAME_ID, id="not_accepted"
        ),
        pytest.param(Conflict(""), RetryAdvice.SAME_ID, RetryAdvice.SAME_ID, id="conflict"),
        pytest.param(Failed("", [], [], []), RetryAdvice.SAME_ID, RetryAdvice.EITHER, id="failed"),
        pytest.param(Unknown(""), RetryAdvice.SAME_ID, RetryAdvice.EITHER, id="unknown"),
    ],
)
def test_a_new_id_is_advised_only_where_nothing_can_run_twice(
    outcome: Outcome, not_repeatable: RetryAdvice, repeatable: RetryAdvice
) -> None:
    assert retry_advice(outcome, repeatable=False) is not_repeatable
    assert retry_advice(outcome, repeatable=True) is repeatable
