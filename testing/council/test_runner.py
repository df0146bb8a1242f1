"""Calls to the runner, against its stand-in."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_core.leased.bounds import CLOCK_DRIFT
from paddleshunt_core.leased.orders import (
    FinishedRun,
    Poll,
    PollAnswer,
    RunEnd,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunId, TaskId
from paddleshunt_council.runner import Runner
from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange, Response
from paddleshunt_node.aio.ports import OtherLife, Superseded
from standins import RunnerStandIn

RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 7), 2)
NAME = "5c0e7a21d94b36f8.0.0.7"
FIRST_LOOK = Poll(0, None, 0.0)


def always() -> bool:
    return True


def order(seconds: float = 0.5) -> StartRun:
    """Return an order whose lease ends so many seconds from now."""
    now = time.monotonic()
    return StartRun(RUN, "spec", now + seconds, "e", now)


def play(scene: Callable[[Runner, RunnerStandIn], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = RunnerStandIn()
        await standin.start()
        await scene(Runner(standin.address), standin)

    asyncio.run(asyncio.wait_for(run(), 20))


def test_nothing_is_started_before_the_clock_is_known() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        assert await runner.start(order(), always) is StartAnswer.NOT_SENT
        assert standin.calls == []

    play(scene)


def test_a_start_carries_name_token_and_a_deadline_on_the_runners_clock() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        asked_at = time.monotonic()
        await runner.look(FIRST_LOOK)
        given = order(0.5)
        assert await runner.start(given, always) is StartAnswer.STARTED
        path, asked = standin.calls[-1]
        assert path == "/paddleshunt/run-start"
        assert (asked["task"], asked["run"], asked["spec"]) == (NAME, 2, "spec")
        assert asked["fencing_token"] == 5000
        # The runner's clock was 5000 at some moment between the look and the order.
        left = (given.until - asked_at) * 1000
        elapsed = (time.monotonic() - asked_at) * 1000
        deadline = int(str(asked["deadline_ms"]))
        assert 5000 + left - elapsed - 1 <= deadline <= 5000 + left

    play(scene)


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (409, "room", StartAnswer.NO_ROOM),
        (409, "old", StartAnswer.STALE),
        (409, "late", StartAnswer.LATE),
        (409, "fence", StartAnswer.FENCED),
        (429, "", StartAnswer.UNHEALTHY),
        (503, "", StartAnswer.UNHEALTHY),
        (400, "", StartAnswer.INVALID),
    ],
)
def test_answers_to_a_start(status: int, reason: str, answer: StartAnswer) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        standin.status, standin.reason = status, reason
        assert await runner.start(order(), always) is answer

    play(scene)


def test_a_start_without_an_answer_is_unknown() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        standin.silent = True
        assert await runner.start(order(), always) is StartAnswer.UNKNOWN
        assert not await runner.stop(StopRun(RUN))
        assert await runner.look(FIRST_LOOK) is None

    play(scene)


def test_a_look_reads_both_lists() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.running = [[NAME, 2, "", 41, 3], ["other", 1, "", 0, 0]]
        standin.finished = [[58, NAME, 1, "done", ""], [59, NAME, 1, "lapsed", ""]]
        answer = await runner.look(Poll(57, None, 0.0))
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(RUN, 41)]
        first = RunId(RUN.task, 1)
        assert answer.finished == [
            FinishedRun(58, first, RunEnd.DONE),
            FinishedRun(59, first, RunEnd.LAPSED),
        ]
        assert standin.calls[-1][1]["last_seen"] == 57

    play(scene)


def test_another_life_is_told_apart() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        runner.expect(RunnerIncarnation("i-1"))
        assert isinstance(await runner.look(FIRST_LOOK), PollAnswer)
        standin.life = "i-2"
        assert isinstance(await runner.look(FIRST_LOOK), OtherLife)
        assert await runner.start(order(), always) is StartAnswer.OTHER_INCARNATION

    play(scene)


def test_a_new_life_has_a_clock_of_its_own() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        runner.expect(RunnerIncarnation("i-2"))
        assert await runner.start(order(), always) is StartAnswer.NOT_SENT

    play(scene)


def test_the_token_rises_with_each_life_of_an_id() -> None:
    """What was ordered of the last life and comes late must be refused by the next one."""

    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        tokens = []
        lives = [("i-1", 20), ("i-1", 10), ("i-2", 30), ("i-1", 40)]
        for name, born in lives:
            standin.life, standin.born = name, born
            runner.expect(RunnerIncarnation(name, born))
            await runner.look(FIRST_LOOK)
            await runner.look(FIRST_LOOK)
            tokens.append(standin.calls[-1][1]["fencing_token"])
        assert tokens == [5000, 5001, 5000, 5002]

    play(scene)


def test_the_token_rises_for_a_life_that_tells_its_start_after_one_that_told_none() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        tokens = []
        for born in (0, 20):
            runner.expect(RunnerIncarnation("i-1", born))
            await runner.look(FIRST_LOOK)
            await runner.look(FIRST_LOOK)
            tokens.append(standin.calls[-1][1]["fencing_token"])
        assert tokens == [5000, 5001]

    play(scene)


def test_a_life_that_tells_its_start_later_is_the_same() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        runner.expect(RunnerIncarnation("i-1"))
        await runner.look(FIRST_LOOK)
        runner.rename(RunnerIncarnation("i-1", 20))
        assert await runner.start(order(), always) is StartAnswer.STARTED
        assert standin.calls[-1][1]["fencing_token"] == 5000

    play(scene)


def test_lists_say_whose_they_are() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.born = 17
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.born == 17

    play(scene)


@pytest.mark.parametrize("silent", [False, True], ids=["answered", "unanswered"])
def test_a_look_says_nothing_once_another_life_is_meant(silent: bool) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.silent = silent
        look = asyncio.ensure_future(runner.look(FIRST_LOOK))
        await asyncio.sleep(0)
        runner.expect(RunnerIncarnation("i-1"))
        assert await look == Superseded()

    play(scene)


def test_an_order_whose_lease_is_over_is_not_sent() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        assert await runner.start(order(-0.01), always) is StartAnswer.EXPIRED
        assert [path for path, _ in standin.calls] == ["/paddleshunt/hold"]

    play(scene)


def test_a_look_whose_lease_is_over_renews_nothing() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        await runner.look(Poll(0, time.monotonic() - 0.2, 0.0))
        assert int(str(standin.calls[-1][1]["deadline_ms"])) < standin.clock

    play(scene)


def deadline_after(standin: RunnerStandIn) -> int:
    """Return the deadline of the last order to start."""
    starts = [asked for path, asked in standin.calls if path.endswith("/run-start")]
    return int(str(starts[-1]["deadline_ms"]))


def test_the_runners_clock_is_taken_to_have_run_slow_since_it_was_read() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        # The clock was read at some moment of the look: on a busy machine long before it returns.
        asked_at = time.monotonic()
        await runner.look(FIRST_LOOK)
        await asyncio.sleep(0.5)
        given = order(0.3)
        await runner.start(given, always)
        slow = 5000 + (given.decided - asked_at) * 1000 * (1 - CLOCK_DRIFT)
        assert deadline_after(standin) <= slow + 300 + 1

    play(scene)


def test_a_clock_that_was_read_late_does_not_set_the_estimate_back() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        await asyncio.sleep(0.2)
        standin.clock = 4000
        await runner.look(FIRST_LOOK)
        await runner.start(order(0.3), always)
        assert deadline_after(standin) >= 5400

    play(scene)


def test_an_answer_that_the_pages_do_not_name_leaves_the_start_in_doubt() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        standin.status = 500
        assert await runner.start(order(), always) is StartAnswer.UNKNOWN

    play(scene)


class FencedRunner(RunnerStandIn):
    """A runner that keeps the highest token, which is far ahead of its clock."""

    highest = 700_000

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        token = int(str(asked["fencing_token"]))
        if token < self.highest:
            return 409, {"clock_ms": self.clock, "reason": "fence"}
        self.highest = token
        return super().answer(path, asked, headers)


def test_a_token_ahead_of_the_runners_clock_is_passed_in_a_few_looks() -> None:
    async def scene() -> None:
        standin = FencedRunner()
        await standin.start()
        runner = Runner(standin.address)
        answers = [await runner.look(FIRST_LOOK) for _ in range(12)]
        assert isinstance(answers[-1], PollAnswer)
        assert await runner.start(order(), always) is StartAnswer.STARTED
        assert standin.highest < 2 * 700_000

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_an_order_that_is_withdrawn_before_it_leaves_is_not_sent() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        calls = len(standin.calls)
        assert await runner.start(order(), lambda: False) is StartAnswer.WITHDRAWN
        assert len(standin.calls) == calls
        assert await runner.start(order(), always) is StartAnswer.STARTED

    play(scene)


@pytest.mark.parametrize("seconds", [0.2, 1.0, 4.0, 10.0])
def test_the_runners_clock_may_have_stood_still_while_this_host_was_suspended(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A deadline that counts on the time for which it may not have run would come too late."""
    read = clock.now

    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        monkeypatch.setattr(clock, "now", lambda: read() + seconds)
        now = clock.now()
        given = StartRun(RUN, "spec", now + 0.5, "e", now)
        assert await runner.start(given, always) is StartAnswer.STARTED
        assert int(str(standin.calls[-1][1]["deadline_ms"])) <= 5000 + 500 + 100

    play(scene)


ODD_ROWS: dict[str, list[object]] = {
    "short": [NAME],
    "empty": [],
    "no-list": 5,  # type: ignore[dict-item]
    "run-of-another-type": [NAME, "x", "", 41],
    "negative-run": [NAME, -2, "", 41],
    "name-of-another-type": [[], 2, "", 41],
}
OTHER = RunId(TaskId("5c0e7a21d94b36f8", 0, 8), 1)
OTHER_ROW: list[object] = ["5c0e7a21d94b36f8.0.0.8", 1, "", 5]


@pytest.mark.parametrize("row", ODD_ROWS.values(), ids=ODD_ROWS.keys())
def test_an_odd_row_hides_no_other_and_is_not_taken_for_a_run_that_is_gone(
    row: list[object],
) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.running = [row, OTHER_ROW]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(OTHER, 5)]
        assert answer.partial

    play(scene)


@pytest.mark.parametrize(
    "row",
    [[NAME, 2, "", 10**30], [NAME, 2], [NAME, 2, None, "x"]],
    ids=["huge-percent", "short", "other-types"],
)
def test_a_run_is_shown_if_no_more_than_its_name_can_be_read(row: list[object]) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.running = [row, OTHER_ROW]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(RunId(RUN.task, 2), 0), RunningRun(OTHER, 5)]
        assert not answer.partial

    play(scene)


@pytest.mark.parametrize(
    ("row", "listed"),
    [([60], 60), ([60, [], 1, "done"], 60), ([58], 59), (["x", NAME, 1, "done"], 59)],
    ids=["short", "name", "earlier", "no-number"],
)
def test_an_end_is_taken_note_of_if_its_number_can_be_read(row: list[object], listed: int) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.finished = [[59, NAME, 1, "done", ""], row]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert (answer.listed, answer.partial, answer.unread_end) == (listed, True, True)

    play(scene)


def test_an_end_whose_kind_can_not_be_read_is_an_end() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.finished = [[58, NAME, 1, ["done"]]]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(58, RunId(RUN.task, 1), RunEnd.STOPPED)]
        assert (answer.listed, answer.partial, answer.unread_end) == (58, False, False)

    play(scene)


@pytest.mark.parametrize(
    "row",
    [[58], [], ["x", NAME, 1, "done"], [-1, NAME, 1, "done"], [58, NAME, None, "done"]],
    ids=["short", "empty", "number", "negative", "run"],
)
def test_an_odd_end_hides_no_other(row: list[object]) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.finished = [row, [59, NAME, 1, "done", ""]]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(59, RunId(RUN.task, 1), RunEnd.DONE)]
        assert answer.partial

    play(scene)


@pytest.mark.parametrize("name", ["a.b.c.d", "a.0.0.-1", "a.0.0.1_0", "a.0.0." + "9" * 5000, "..."])
def test_a_name_that_no_order_of_ours_gave_is_passed_over(name: str) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.running = [[name, 1, "", 5], OTHER_ROW]
        standin.finished = [[7, name, 1, "done", ""]]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert (answer.running, answer.finished) == ([RunningRun(OTHER, 5)], [])
        assert (answer.partial, answer.listed) == (False, 7)

    play(scene)


BODIES = {
    "cut": b'{"clock_ms":5000,"running":[["5c0e7a21d94b36f8.0.0.8",1,"",5',
    "no-bytes": b"",
    "no-lists": b'{"clock_ms":5000}',
    "one-list": b'{"clock_ms":5000,"running":[]}',
    "no-list": b'{"clock_ms":5000,"running":5,"finished":[]}',
    "null": b'{"clock_ms":5000,"running":null,"finished":null}',
    "another-type": b"[]",
    "deep": b'{"clock_ms":5000,"finished":[],"running":' + b"[" * 100_000,
}


class RawRunner(RunnerStandIn):
    """A runner whose answers are bytes."""

    body = b""

    def handle(self, exchange: Exchange) -> None:
        exchange.respond(Response(200, self.body, "application/json"))


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES.keys())
def test_an_answer_without_its_lists_does_not_say_that_nothing_runs(body: bytes) -> None:
    async def scene() -> None:
        standin = RawRunner()
        standin.body = body
        await standin.start()
        refused: list[Refusal] = []
        runner = Runner(standin.address, refused.append)
        runner.expect(RunnerIncarnation("i-1"))
        assert await runner.look(FIRST_LOOK) is None
        assert {(one.word, one.sender) for one in refused} == {(Word.RUNNER_ANSWER, "i-1")}

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize("clock_ms", [-5, 10**30, "5000", [], 1.5])
def test_a_clock_that_can_not_be_read_is_not_gone_by(clock_ms: object) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.clock = clock_ms  # type: ignore[assignment]
        assert isinstance(await runner.look(FIRST_LOOK), PollAnswer)
        assert await runner.start(order(), always) is StartAnswer.NOT_SENT
        standin.clock = 5000
        await runner.look(FIRST_LOOK)
        assert await runner.start(order(), always) is StartAnswer.STARTED

    play(scene)


def test_an_end_that_is_not_named_is_an_end() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.finished = [[58, NAME, 1, "evaporated", ""]]
        answer = await runner.look(FIRST_LOOK)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(58, RunId(RUN.task, 1), RunEnd.STOPPED)]

    play(scene)


def test_what_a_removed_target_ordered_is_below_the_token_of_the_next_one() -> None:
    """So a start that the runner carries out late, after the next target has met it, is none."""

    async def scene() -> None:
        standin = FencedRunner()
        await standin.start()
        removed, following = Runner(standin.address), Runner(standin.address)
        while not isinstance(await removed.look(FIRST_LOOK), PollAnswer):
            pass
        await removed.start(order(), always)
        late = standin.calls[-1][1]
        standin.clock += 1
        while not isinstance(await following.look(FIRST_LOOK), PollAnswer):
            pass
        assert standin.answer("/paddleshunt/run-start", late, {}) == (
            409,
            {"clock_ms": standin.clock, "reason": "fence"},
        )
        assert await following.start(order(), always) is StartAnswer.STARTED

    asyncio.run(asyncio.wait_for(scene(), 20))
