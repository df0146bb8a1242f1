from random import Random

import pytest
from paddleshunt_core.allotments import Allotment, Holder, divide, share_of
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Share
from paddleshunt_core.table import Row

A, B = Incarnation("a", "1"), Incarnation("b", "1")


def row(running: int, in_flight: int | None = None) -> Row:
    return Row("results", "hall", 1, running, running if in_flight is None else in_flight)


def holders(revision: int, *names: Incarnation) -> list[Holder]:
    return [Holder(name, revision, leaving=False) for name in names]


def none_ended(_incarnation: Incarnation) -> bool:
    return False


def divided(
    limits: Row, current: Allotment | None, holding: list[Holder], *ended: Incarnation
) -> Allotment:
    following = divide(limits, current, holding, lambda incarnation: incarnation in ended)
    assert following is not None
    return following


def running(allotment: Allotment) -> dict[str, int]:
    return {part.host: part.running for part in allotment.parts}


def test_limit_is_divided_with_its_remainder() -> None:
    first = divided(row(5), None, holders(0, A, B))
    assert running(first) == {"a": 3, "b": 2}
    assert divide(row(5), first, holders(1, A, B), none_ended) is None


def test_share_is_raised_only_after_another_holder_adopted_its_lower_one() -> None:
    alone = divided(row(4), None, holders(0, A))
    lowered = divided(row(4), alone, holders(1, A, B))
    assert running(lowered) == {"a": 2, "b": 0}
    assert divide(row(4), lowered, holders(1, A, B), none_ended) is None
    raised = divided(row(4), lowered, holders(2, A, B))
    assert running(raised) == {"a": 2, "b": 2}


def test_silent_holder_keeps_its_share() -> None:
    both = divided(row(4), None, holders(0, A, B))
    lowered = divided(row(4), both, holders(1, A))
    assert divide(row(4), lowered, holders(2, A), none_ended) is None
    freed = divided(row(4), lowered, holders(2, A), B)
    assert running(freed) == {"a": 4}


def test_newer_incarnation_gets_the_part_with_its_held_amounts() -> None:
    both = divided(row(4), None, holders(0, A, B))
    restarted = Incarnation("a", "2")
    assert share_of(both, restarted) is None
    assert share_of(both, A) == Share(1, 2, 2)
    following = divided(row(4), both, holders(1, restarted, B), A)
    assert {part.incarnation for part in following.parts} == {restarted, B}
    assert running(following) == {"a": 2, "b": 2}
    assert share_of(following, restarted) == Share(2, 2, 2)


def test_leaving_target_loses_its_share() -> None:
    both = divided(row(4), None, holders(0, A, B))
    holding = [Holder(A, 1, leaving=True), Holder(B, 1, leaving=False)]
    assert running(divided(row(4), both, holding)) == {"a": 0, "b": 2}


@pytest.mark.parametrize("seed", range(20))
def test_held_amounts_never_exceed_the_limit(seed: int) -> None:
    rng = Random(seed)
    names = [Incarnation(f"t{n}", "1") for n in range(5)]
    adopted = dict.fromkeys(names, 0)
    current: Allotment | None = None
    limit = 7
    for _ in range(200):
        present = [name for name in names if rng.random() < 0.7]
        holding = [Holder(name, adopted[name], rng.random() < 0.2) for name in present]
        following = divide(row(limit, limit + 2), current, holding, none_ended)
        current = following or current
        assert current is not None or not holding
        if current is None:
            continue
        assert sum(part.held_running for part in current.parts) <= limit
        assert sum(part.held_in_flight for part in current.parts) <= limit + 2
        for name in present:
            if rng.random() < 0.5:
                adopted[name] = current.revision
