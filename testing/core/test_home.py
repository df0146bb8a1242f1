"""Rules of the home that the scenarios don't cover."""

from random import Random

import pytest
from paddleshunt_core.effects import Effect, Send
from paddleshunt_core.home import Home, HomeLimits
from paddleshunt_core.ids import Incarnation, mint
from paddleshunt_core.links import FULL_SECONDS
from paddleshunt_core.messages import (
    Absent,
    Answer,
    Assign,
    Body,
    Inquire,
    Load,
    PeerInfo,
    Query,
    Report,
    Running,
    Submit,
    TaskRefs,
    TaskResult,
)
from paddleshunt_core.outcomes import Complete, NotAccepted, NotRun, Outcome, Unknown
from paddleshunt_core.placement import Placement

ME = Incarnation("home", "1")
ENTRY = Incarnation("entry", "1")
GATE = Incarnation("gate", "1")
NOW = 500.0


@pytest.fixture
def home(rng: Random) -> Home:
    return make_home(rng, HomeLimits())


def make_home(rng: Random, limits: HomeLimits) -> Home:
    home = Home(ME, limits, Placement("hall", rng))
    home.update_peers(NOW, [PeerInfo(GATE, "g", "hall", 0, Load(slots=2))], set())
    return home


def submit(rng: Random, tasks: int = 2, *, minted: float = NOW, home: Incarnation = ME) -> Submit:
    name = mint(home, int(minted * 1000), rng)
    return Submit(name, "results", False, 10_000, b"d", [b"%d" % i for i in range(tasks)])


def bodies(effects: list[Effect]) -> list[Body]:
    return [effect.body for effect in effects if isinstance(effect, Send)]


def outcome(effects: list[Effect]) -> Outcome:
    (answer,) = [body for body in bodies(effects) if isinstance(body, Answer)]
    return answer.outcome


def report(number: int, seen: int, **lists: object) -> Report:
    empty: dict[str, object] = {"results": [], "refused": [], "running": [], "queued": []}
    return Report(
        number=number,
        seen_seq=seen,
        answers=0,
        clock_ms=0,
        load=Load(slots=2),
        leaving=False,
        **(empty | lists),  # type: ignore[arg-type]
    )


def test_one_message_carries_all_tasks_for_a_target(home: Home, rng: Random) -> None:
    home.submit(NOW, ENTRY, "e", submit(rng, 3))
    (assign,) = bodies(home.flush(NOW))
    assert isinstance(assign, Assign)
    assert [task.index for task in assign.batches[0].tasks] == [0, 1, 2]


def test_answer_has_results_in_the_order_of_the_tasks(home: Home, rng: Random) -> None:
    message = submit(rng, 2)
    home.submit(NOW, ENTRY, "e", message)
    home.flush(NOW)
    name = message.submission
    second = report(1, 9, results=[TaskResult(name, 1, True, b"one")])
    assert bodies(home.report(NOW, GATE, second)) == []
    first = report(2, 9, results=[TaskResult(name, 0, True, b"zero")])
    assert outcome(home.report(NOW, GATE, first)) == Complete([b"zero", b"one"])


def test_repeated_report_changes_nothing(home: Home, rng: Random) -> None:
    message = submit(rng, 2)
    home.submit(NOW, ENTRY, "e", message)
    home.flush(NOW)
    refused = report(1, 9, refused=[TaskRefs(message.submission, [0])])
    home.report(NOW, GATE, refused)
    home.report(NOW, GATE, refused)
    assert home.describe()["waiting_tasks"] == 1


def test_refusal_of_an_earlier_message_does_not_requeue_a_task_sent_later(
    home: Home, rng: Random
) -> None:
    message = submit(rng, 1)
    home.submit(NOW, ENTRY, "e", message)
    (assign,) = bodies(home.flush(NOW))
    assert isinstance(assign, Assign)
    old = report(1, assign.seq - 1, refused=[TaskRefs(message.submission, [0])])
    home.report(NOW, GATE, old)
    assert home.describe()["waiting_tasks"] == 0


def test_missing_report_causes_an_inquiry(home: Home, rng: Random) -> None:
    home.submit(NOW, ENTRY, "e", submit(rng, 1))
    home.flush(NOW)
    (inquiry,) = bodies(home.report(NOW, GATE, report(2, 9)))
    assert isinstance(inquiry, Inquire)
    assert not inquiry.revoke


@pytest.mark.parametrize(
    ("minted", "kind"),
    [
        pytest.param(NOW - 121.0, Unknown, id="too old"),
        pytest.param(NOW + 6.0, NotAccepted, id="in the future"),
    ],
)
def test_id_outside_its_window_is_not_accepted(
    home: Home, rng: Random, minted: float, kind: type[Outcome]
) -> None:
    message = submit(rng, minted=minted)
    assert isinstance(outcome(home.submit(NOW, ENTRY, "e", message)), kind)
    assert home.jobs == 0


def test_id_of_another_home_is_not_accepted(home: Home, rng: Random) -> None:
    message = submit(rng, home=Incarnation("home", "0"))
    assert isinstance(outcome(home.submit(NOW, ENTRY, "e", message)), NotAccepted)


def test_outcomes_are_kept_until_the_id_window_has_passed(home: Home, rng: Random) -> None:
    message = submit(rng)
    home.leaving = True
    assert isinstance(outcome(home.submit(NOW, ENTRY, "e", message)), NotRun)
    home.tick(NOW + 120.0)
    home.leaving = False
    again = home.submit(NOW + 120.0, ENTRY, "e", message)
    assert isinstance(outcome(again), NotRun)
    home.tick(NOW + 126.0)
    assert home.describe()["closed_ids"] == 0
    assert isinstance(outcome(home.submit(NOW + 126.0, ENTRY, "e", message)), Unknown)


def test_number_of_ids_is_bounded(rng: Random) -> None:
    home = make_home(rng, HomeLimits(max_records=2))
    for _ in range(2):
        home.submit(NOW, ENTRY, "e", submit(rng, 1))
    assert isinstance(outcome(home.submit(NOW, ENTRY, "e", submit(rng, 1))), NotAccepted)


def test_query_is_answered_with_absent_or_running(home: Home, rng: Random) -> None:
    message = submit(rng)
    name = message.submission
    assert bodies(home.query(NOW, ENTRY, "e", Query(name))) == [Absent(name, b"")]
    home.submit(NOW, ENTRY, "e", message)
    assert bodies(home.query(NOW, ENTRY, "e", Query(name))) == [Running(name, b"")]


def test_tasks_of_an_unsent_message_are_placed_again(home: Home, rng: Random) -> None:
    home.submit(NOW, ENTRY, "e", submit(rng, 2))
    (assign,) = bodies(home.flush(NOW))
    home.undelivered(NOW, GATE, assign)
    assert home.describe()["waiting_tasks"] == 2
    assert home.flush(NOW) == []
    (again,) = bodies(home.flush(NOW + FULL_SECONDS))
    assert isinstance(again, Assign)


def test_lost_target_makes_the_job_unknown_and_revokes_the_rest(rng: Random) -> None:
    home = make_home(rng, HomeLimits())
    second = Incarnation("gate-2", "1")
    peers = [PeerInfo(g, g.host, "hall", 0, Load(slots=1)) for g in (GATE, second)]
    home.update_peers(NOW, peers, set())
    home.submit(NOW, ENTRY, "e", submit(rng, 2))
    home.flush(NOW)
    effects = home.target_ended(NOW, GATE)
    assert isinstance(outcome(effects), Unknown)
    (revoke,) = [body for body in bodies(effects) if isinstance(body, Inquire)]
    assert revoke.revoke
