"""A target stands still after its runner has answered a look, before it takes the answer."""

import time
from collections.abc import Callable

import pytest
from councilsystem import System, play
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import Look, LookAnswer, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_node.aio.ports import OtherIncarnation, RunnerPort, Superseded

BOUNDS = Bounds()
KEY = "5c0e7a21d94b36f8"


class LateLook:
    """A runner's port behind which the whole process stands still, once all runs are at work."""

    def __init__(self, port: RunnerPort, seconds: float) -> None:
        self._port = port
        self.seconds = seconds
        self._started = 0

    def expect(self, life: RunnerLife | None) -> None:
        self._port.expect(life)

    def refine_identity(self, life: RunnerLife) -> None:
        self._port.refine_identity(life)

    def supersede(self) -> None:
        self._port.supersede()

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        answer = await self._port.start(order, may_send)
        self._started += answer is StartAnswer.STARTED
        return answer

    async def stop(self, order: StopRun) -> bool:
        return await self._port.stop(order)

    async def poll(self, poll: Look) -> LookAnswer | OtherIncarnation | Superseded | None:
        answer = await self._port.poll(poll)
        if self._started == 3 and isinstance(answer, LookAnswer) and len(answer.running) == 3:
            seconds, self.seconds = self.seconds, 0.0
            time.sleep(seconds)
        return answer


@pytest.mark.parametrize("seconds", [0.15, 0.2])
def test_a_stand_still_before_a_look_is_read_stops_no_run(seconds: float) -> None:
    assert seconds > lease_times(BOUNDS).heartbeat
    ports: list[LateLook] = []

    def late(port: RunnerPort) -> RunnerPort:
        ports.append(LateLook(port, seconds))
        return ports[0]

    async def scene(system: System) -> None:
        await system.open()
        assert (await system.submit(KEY, 600)).status == 200
        assert ports[0].seconds == 0.0
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3

    play(scene, System(BOUNDS, late))
