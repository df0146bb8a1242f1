"""Which life answers is told by an answer that says so, not by any answer."""

import asyncio

import pytest
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_council.runner import Runner
from standins import RunnerStandIn


@pytest.mark.parametrize("status", [429, 500, 502, 503])
def test_an_answer_of_a_failing_runner_confirms_no_life(status: int) -> None:
    """Confirmed, a late heartbeat of an unknown life ends the known one, with all that it runs."""

    class Failing(RunnerStandIn):
        def answer(
            self, path: str, asked: dict[str, object], headers: dict[str, str]
        ) -> tuple[int, object] | None:
            return status, {}

    async def scene() -> None:
        standin = Failing()
        await standin.start()
        assert await Runner(standin.address).is_current_incarnation(RunnerLife("i-0")) is not True

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize(
    ("asked", "answered", "expected"),
    [
        (RunnerLife("i-1", 17), 17, True),
        (RunnerLife("i-1", 17), 16, False),
        (RunnerLife("i-1", 17), None, None),
        (RunnerLife("i-1"), 17, True),
        (RunnerLife("i-2", 17), 17, False),
    ],
    ids=["same", "other_start", "start_not_said", "start_not_asked", "other_id"],
)
def test_the_runner_says_which_life_of_an_id_it_is(
    asked: RunnerLife, answered: int | None, expected: bool | None
) -> None:
    async def scene() -> None:
        standin = RunnerStandIn()
        standin.born = answered
        await standin.start()
        runner = Runner(standin.address)
        runner.expect(RunnerLife("i-1", 5))
        assert await runner.is_current_incarnation(asked) is expected

    asyncio.run(asyncio.wait_for(scene(), 20))
