"""Only an answer that identifies its incarnation confirms that it is running."""

import asyncio

import pytest
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_council.runner import RunnerClient
from standins import RunnerStandIn


@pytest.mark.parametrize("status", [429, 500, 502, 503])
def test_answer_of_a_failing_runner_confirms_no_incarnation(status: int) -> None:
    """A wrong confirmation of a late heartbeat would end the current incarnation and its runs."""

    class FailingRunner(RunnerStandIn):
        def answer(
            self, path: str, asked: dict[str, object], headers: dict[str, str]
        ) -> tuple[int, object] | None:
            return status, {}

    async def scene() -> None:
        standin = FailingRunner()
        await standin.start()
        assert (
            await RunnerClient(standin.address).is_current_incarnation(RunnerIncarnation("i-0"))
            is not True
        )

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize(
    ("asked", "answered", "expected"),
    [
        (RunnerIncarnation("i-1", 17), 17, True),
        (RunnerIncarnation("i-1", 17), 16, False),
        (RunnerIncarnation("i-1", 17), None, None),
        (RunnerIncarnation("i-1"), 17, True),
        (RunnerIncarnation("i-2", 17), 17, False),
    ],
    ids=["same", "other_start", "start_not_answered", "start_not_asked", "other_id"],
)
def test_current_incarnation_is_identified_by_its_start_time(
    asked: RunnerIncarnation, answered: int | None, expected: bool | None
) -> None:
    async def scene() -> None:
        standin = RunnerStandIn()
        standin.born = answered
        await standin.start()
        runner = RunnerClient(standin.address)
        runner.expect(RunnerIncarnation("i-1", 5))
        assert await runner.is_current_incarnation(asked) is expected

    asyncio.run(asyncio.wait_for(scene(), 20))
