"""A target process that pauses between a poll's answer and its handling must lose no run."""

import time
from collections.abc import Callable

import pytest
from councilsystem import System, play
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import Poll, PollAnswer, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_node.aio.ports import OtherIncarnation, RunnerPort, Superseded

BOUNDS = Bounds()
KEY = "5c0e7a21d94b36f8"


class DelayedPollPort:
    """A runner port that pauses the whole process after a poll, once all runs have started."""

    def __init__(self, port: RunnerPort, seconds: float) -> None:
        self._port = port
        self.seconds = seconds
        self._started_runs = 0

    def expect(self, incarnation: RunnerIncarnation | None) -> None:
        self._port.expect(incarnation)

    def refine_identity(self, incarnation: RunnerIncarnation) -> None:
        self._port.refine_identity(incarnation)

    def supersede(self) -> None:
        self._port.supersede()

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        answer = await self._port.start(order, may_send)
        self._started_runs += answer is StartAnswer.STARTED
        return answer

    async def stop(self, order: StopRun) -> bool:
        return await self._port.stop(order)

    async def poll(self, poll: Poll) -> PollAnswer | OtherIncarnation | Superseded | None:
        answer = await self._port.poll(poll)
        if self._started_runs == 3 and isinstance(answer, PollAnswer) and len(answer.running) == 3:
            seconds, self.seconds = self.seconds, 0.0
            time.sleep(seconds)
        return answer


@pytest.mark.parametrize("seconds", [0.15, 0.2])
def test_pause_before_a_poll_answer_is_read_stops_no_run(seconds: float) -> None:
    assert seconds > lease_times(BOUNDS).heartbeat
    ports: list[DelayedPollPort] = []

    def delayed(port: RunnerPort) -> RunnerPort:
        ports.append(DelayedPollPort(port, seconds))
        return ports[0]

    async def scene(system: System) -> None:
        await system.open()
        assert (await system.submit(KEY, 600)).status == 200
        assert ports[0].seconds == 0.0
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3

    play(scene, System(BOUNDS, delayed))
