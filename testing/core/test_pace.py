from paddleshunt_core.pace import Pace


def test_pace_counts_ends_only_while_tasks_wait() -> None:
    pace = Pace()
    for number in range(20):
        pace.ended(number * 0.1)
    assert pace.rate(2.0) is None
    pace.waiting(2.0, any_task=True)
    assert pace.rate(2.4) is None
    for number in range(10):
        pace.ended(2.0 + number * 0.1)
    assert pace.rate(3.0) == 10.0
    pace.waiting(3.0, any_task=False)
    assert pace.rate(3.1) is None


def test_no_ends_at_all_is_a_slow_pace() -> None:
    pace = Pace()
    pace.waiting(0.0, any_task=True)
    assert pace.rate(2.0) == 0.5
