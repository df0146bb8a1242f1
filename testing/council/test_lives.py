"""Which life answers is told by an answer that says so, not by any answer."""

import asyncio

import pytest
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
        assert await Runner(standin.address).lives("i-0") is not True

    asyncio.run(asyncio.wait_for(scene(), 20))
