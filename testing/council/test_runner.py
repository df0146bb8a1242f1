"""Tests of the runner client against a stand-in of the runner."""

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
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunId, TaskId
from paddleshunt_council.runner import RunnerClient
from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange, Response
from paddleshunt_node.aio.ports import OtherIncarnation, Superseded
from standins import RunnerStandIn

RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 7), 2)
NAME = "5c0e7a21d94b36f8.0.0.7"
FIRST_POLL = Poll(0, None, 0.0)


def always() -> bool:
    return True


def start_order(seconds: float = 0.5) -> StartRun:
    """Return an order whose lease ends in `seconds`."""
    now = time.monotonic()
    return StartRun(RUN, "spec", now + seconds, "e", now)


def run_scene(scene: Callable[[RunnerClient, RunnerStandIn], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = RunnerStandIn()
        await standin.start()
        await scene(RunnerClient(standin.address), standin)

    asyncio.run(asyncio.wait_for(run(), 20))


def test_no_start_before_the_clock_is_known() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        assert await runner.start(start_order(), always) is StartAnswer.NOT_SENT
        assert standin.calls == []

    run_scene(scene)


def test_start_sends_name_token_and_deadline_on_runner_clock() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        asked_at = time.monotonic()
        await runner.poll(FIRST_POLL)
        start = start_order(0.5)
        assert await runner.start(start, always) is StartAnswer.STARTED
        path, body = standin.calls[-1]
        assert path == "/paddleshunt/run-start"
        assert (body["task"], body["run"], body["spec"]) == (NAME, 2, "spec")
        assert body["fencing_token"] == 5000
        # The runner's clock was 5000 at some time between the poll and the start.
        left = (start.until - asked_at) * 1000
        elapsed = (time.monotonic() - asked_at) * 1000
        deadline = int(str(body["deadline_ms"]))
        assert 5000 + left - elapsed - 1 <= deadline <= 5000 + left

    run_scene(scene)


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
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        standin.status, standin.reason = status, reason
        assert await runner.start(start_order(), always) is answer

    run_scene(scene)


def test_a_start_without_an_answer_is_unknown() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        standin.silent = True
        assert await runner.start(start_order(), always) is StartAnswer.UNKNOWN
        assert not await runner.stop(StopRun(RUN))
        assert await runner.poll(FIRST_POLL) is None

    run_scene(scene)


def test_poll_reads_running_and_finished_runs() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.running = [[NAME, 2, "", 41, 3], ["other", 1, "", 0, 0]]
        standin.finished = [[58, NAME, 1, "done", ""], [59, NAME, 1, "lapsed", ""]]
        answer = await runner.poll(Poll(57, None, 0.0))
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(RUN, 41)]
        first = RunId(RUN.task, 1)
        assert answer.finished == [
            FinishedRun(58, first, RunEnd.DONE),
            FinishedRun(59, first, RunEnd.LAPSED),
        ]
        assert standin.calls[-1][1]["last_seen"] == 57

    run_scene(scene)


def test_another_incarnation_is_detected() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        runner.expect(RunnerIncarnation("i-1"))
        assert isinstance(await runner.poll(FIRST_POLL), PollAnswer)
        standin.life = "i-2"
        assert isinstance(await runner.poll(FIRST_POLL), OtherIncarnation)
        assert await runner.start(start_order(), always) is StartAnswer.OTHER_INCARNATION

    run_scene(scene)


def test_new_incarnation_resets_the_clock() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        runner.expect(RunnerIncarnation("i-2"))
        assert await runner.start(start_order(), always) is StartAnswer.NOT_SENT

    run_scene(scene)


def test_token_rises_with_each_incarnation_of_an_id() -> None:
    """The next incarnation must reject late orders to the last one."""

    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        tokens = []
        incarnations = [("i-1", 20), ("i-1", 10), ("i-2", 30), ("i-1", 40)]
        for name, born in incarnations:
            standin.life, standin.born = name, born
            runner.expect(RunnerIncarnation(name, born))
            await runner.poll(FIRST_POLL)
            await runner.poll(FIRST_POLL)
            tokens.append(standin.calls[-1][1]["fencing_token"])
        assert tokens == [5000, 5001, 5000, 5002]

    run_scene(scene)


def test_token_rises_when_the_next_incarnation_has_a_start_time() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        tokens = []
        for born in (0, 20):
            runner.expect(RunnerIncarnation("i-1", born))
            await runner.poll(FIRST_POLL)
            await runner.poll(FIRST_POLL)
            tokens.append(standin.calls[-1][1]["fencing_token"])
        assert tokens == [5000, 5001]

    run_scene(scene)


def test_refined_identity_keeps_clock_and_token() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        runner.expect(RunnerIncarnation("i-1"))
        await runner.poll(FIRST_POLL)
        runner.refine_identity(RunnerIncarnation("i-1", 20))
        assert await runner.start(start_order(), always) is StartAnswer.STARTED
        assert standin.calls[-1][1]["fencing_token"] == 5000

    run_scene(scene)


def test_poll_answer_has_the_start_time() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.born = 17
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.born == 17

    run_scene(scene)


@pytest.mark.parametrize("silent", [False, True], ids=["answered", "unanswered"])
def test_poll_is_superseded_by_a_new_expected_incarnation(silent: bool) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.silent = silent
        poll = asyncio.ensure_future(runner.poll(FIRST_POLL))
        await asyncio.sleep(0)
        runner.expect(RunnerIncarnation("i-1"))
        assert await poll == Superseded()

    run_scene(scene)


def test_start_with_expired_lease_is_not_sent() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        assert await runner.start(start_order(-0.01), always) is StartAnswer.EXPIRED
        assert [path for path, _ in standin.calls] == ["/paddleshunt/hold"]

    run_scene(scene)


def test_poll_with_expired_lease_does_not_renew() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        await runner.poll(Poll(0, time.monotonic() - 0.2, 0.0))
        assert int(str(standin.calls[-1][1]["deadline_ms"])) < standin.clock

    run_scene(scene)


def last_start_deadline(standin: RunnerStandIn) -> int:
    """Return the deadline of the last start that was sent."""
    starts = [body for path, body in standin.calls if path.endswith("/run-start")]
    return int(str(starts[-1]["deadline_ms"]))


def test_clock_estimate_allows_for_a_slow_runner_clock() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        # The runner reads its clock during the poll, on a busy host long before the poll returns.
        asked_at = time.monotonic()
        await runner.poll(FIRST_POLL)
        await asyncio.sleep(0.5)
        start = start_order(0.3)
        await runner.start(start, always)
        slow = 5000 + (start.decided - asked_at) * 1000 * (1 - CLOCK_DRIFT)
        assert last_start_deadline(standin) <= slow + 300 + 1

    run_scene(scene)


def test_late_clock_reading_does_not_set_the_estimate_back() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        await asyncio.sleep(0.2)
        standin.clock = 4000
        await runner.poll(FIRST_POLL)
        await runner.start(start_order(0.3), always)
        assert last_start_deadline(standin) >= 5400

    run_scene(scene)


def test_undocumented_status_leaves_the_start_unknown() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        standin.status = 500
        assert await runner.start(start_order(), always) is StartAnswer.UNKNOWN

    run_scene(scene)


class FencedRunner(RunnerStandIn):
    """A runner that has accepted a token far ahead of its clock, and rejects lower ones."""

    highest = 700_000

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        token = int(str(asked["fencing_token"]))
        if token < self.highest:
            return 409, {"clock_ms": self.clock, "reason": "fence"}
        self.highest = token
        return super().answer(path, asked, headers)


def test_a_few_polls_exceed_a_token_ahead_of_the_runner_clock() -> None:
    async def scene() -> None:
        standin = FencedRunner()
        await standin.start()
        runner = RunnerClient(standin.address)
        answers = [await runner.poll(FIRST_POLL) for _ in range(12)]
        assert isinstance(answers[-1], PollAnswer)
        assert await runner.start(start_order(), always) is StartAnswer.STARTED
        assert standin.highest < 2 * 700_000

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_withdrawn_start_is_not_sent() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        calls = len(standin.calls)
        assert await runner.start(start_order(), lambda: False) is StartAnswer.WITHDRAWN
        assert len(standin.calls) == calls
        assert await runner.start(start_order(), always) is StartAnswer.STARTED

    run_scene(scene)


@pytest.mark.parametrize("seconds", [0.2, 1.0, 4.0, 10.0])
def test_clock_estimate_ignores_time_while_the_host_was_suspended(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A deadline that counts the suspended time is too late if the runner's clock stopped too."""
    read = clock.now

    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        await runner.poll(FIRST_POLL)
        monkeypatch.setattr(clock, "now", lambda: read() + seconds)
        now = clock.now()
        start = StartRun(RUN, "spec", now + 0.5, "e", now)
        assert await runner.start(start, always) is StartAnswer.STARTED
        assert int(str(standin.calls[-1][1]["deadline_ms"])) <= 5000 + 500 + 100

    run_scene(scene)


INVALID_ROWS: dict[str, list[object]] = {
    "short": [NAME],
    "empty": [],
    "no-list": 5,  # type: ignore[dict-item]
    "run-of-another-type": [NAME, "x", "", 41],
    "negative-run": [NAME, -2, "", 41],
    "name-of-another-type": [[], 2, "", 41],
}
OTHER_RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 8), 1)
OTHER_ROW: list[object] = ["5c0e7a21d94b36f8.0.0.8", 1, "", 5]


@pytest.mark.parametrize("row", INVALID_ROWS.values(), ids=INVALID_ROWS.keys())
def test_invalid_row_makes_the_answer_partial_and_keeps_the_others(
    row: list[object],
) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.running = [row, OTHER_ROW]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(OTHER_RUN, 5)]
        assert answer.partial

    run_scene(scene)


@pytest.mark.parametrize(
    "row",
    [[NAME, 2, "", 10**30], [NAME, 2], [NAME, 2, None, "x"]],
    ids=["huge-percent", "short", "other-types"],
)
def test_row_with_only_a_valid_run_is_listed(row: list[object]) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.running = [row, OTHER_ROW]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.running == [RunningRun(RunId(RUN.task, 2), 0), RunningRun(OTHER_RUN, 5)]
        assert not answer.partial

    run_scene(scene)


@pytest.mark.parametrize(
    ("row", "listed"),
    [([60], 60), ([60, [], 1, "done"], 60), ([58], 59), (["x", NAME, 1, "done"], 59)],
    ids=["short", "name", "earlier", "no-number"],
)
def test_unreadable_end_counts_by_its_number(row: list[object], listed: int) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.finished = [[59, NAME, 1, "done", ""], row]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert (answer.listed, answer.partial, answer.unread_end) == (listed, True, True)

    run_scene(scene)


def test_end_of_invalid_type_counts_as_stopped() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.finished = [[58, NAME, 1, ["done"]]]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(58, RunId(RUN.task, 1), RunEnd.STOPPED)]
        assert (answer.listed, answer.partial, answer.unread_end) == (58, False, False)

    run_scene(scene)


@pytest.mark.parametrize(
    "row",
    [[58], [], ["x", NAME, 1, "done"], [-1, NAME, 1, "done"], [58, NAME, None, "done"]],
    ids=["short", "empty", "number", "negative", "run"],
)
def test_invalid_end_keeps_the_others(row: list[object]) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.finished = [row, [59, NAME, 1, "done", ""]]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(59, RunId(RUN.task, 1), RunEnd.DONE)]
        assert answer.partial

    run_scene(scene)


@pytest.mark.parametrize("name", ["a.b.c.d", "a.0.0.-1", "a.0.0.1_0", "a.0.0." + "9" * 5000, "..."])
def test_foreign_task_names_are_ignored(name: str) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.running = [[name, 1, "", 5], OTHER_ROW]
        standin.finished = [[7, name, 1, "done", ""]]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert (answer.running, answer.finished) == ([RunningRun(OTHER_RUN, 5)], [])
        assert (answer.partial, answer.listed) == (False, 7)

    run_scene(scene)


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
    """A runner that answers each call with `body`."""

    body = b""

    def handle(self, exchange: Exchange) -> None:
        exchange.respond(Response(200, self.body, "application/json"))


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES.keys())
def test_answer_without_lists_is_refused(body: bytes) -> None:
    async def scene() -> None:
        standin = RawRunner()
        standin.body = body
        await standin.start()
        refused: list[Refusal] = []
        runner = RunnerClient(standin.address, refused.append)
        runner.expect(RunnerIncarnation("i-1"))
        assert await runner.poll(FIRST_POLL) is None
        assert {(one.kind, one.sender) for one in refused} == {(InputKind.RUNNER_ANSWER, "i-1")}

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize("clock_ms", [-5, 10**30, "5000", [], 1.5])
def test_invalid_clock_is_ignored(clock_ms: object) -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.clock = clock_ms  # type: ignore[assignment]
        assert isinstance(await runner.poll(FIRST_POLL), PollAnswer)
        assert await runner.start(start_order(), always) is StartAnswer.NOT_SENT
        standin.clock = 5000
        await runner.poll(FIRST_POLL)
        assert await runner.start(start_order(), always) is StartAnswer.STARTED

    run_scene(scene)


def test_unknown_end_counts_as_stopped() -> None:
    async def scene(runner: RunnerClient, standin: RunnerStandIn) -> None:
        standin.finished = [[58, NAME, 1, "evaporated", ""]]
        answer = await runner.poll(FIRST_POLL)
        assert isinstance(answer, PollAnswer)
        assert answer.finished == [FinishedRun(58, RunId(RUN.task, 1), RunEnd.STOPPED)]

    run_scene(scene)


def test_next_target_outbids_the_token_of_a_removed_target() -> None:
    """The runner then rejects a late start of the removed target."""

    async def scene() -> None:
        standin = FencedRunner()
        await standin.start()
        removed, following = RunnerClient(standin.address), RunnerClient(standin.address)
        while not isinstance(await removed.poll(FIRST_POLL), PollAnswer):
            pass
        await removed.start(start_order(), always)
        late = standin.calls[-1][1]
        standin.clock += 1
        while not isinstance(await following.poll(FIRST_POLL), PollAnswer):
            pass
        assert standin.answer("/paddleshunt/run-start", late, {}) == (
            409,
            {"clock_ms": standin.clock, "reason": "fence"},
        )
        assert await following.start(start_order(), always) is StartAnswer.STARTED

    asyncio.run(asyncio.wait_for(scene(), 20))
