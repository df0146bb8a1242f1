"""A target process that pauses between its decision to start a task and the call."""

import time
from collections.abc import Callable

from councilsystem import System, play, until_true
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import Poll, PollAnswer, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_node.aio.ports import OtherIncarnation, RunnerPort, Superseded

BOUNDS = Bounds()
TIMES = lease_times(BOUNDS)
KEY = "5c0e7a21d94b36f8"

ROUNDING_MS = 2
"""Milliseconds of difference that two rounded clock values may have."""


class PausingPort:
    """A runner port that pauses the whole process before the first start."""

    def __init__(self, port: RunnerPort, seconds: float) -> None:
        self._port = port
        self._seconds = seconds
        self.orders: list[StartRun] = []
        self.answers: list[StartAnswer] = []

    def expect(self, incarnation: RunnerIncarnation | None) -> None:
        self._port.expect(incarnation)

    def refine_identity(self, incarnation: RunnerIncarnation) -> None:
        self._port.refine_identity(incarnation)

    def supersede(self) -> None:
        self._port.supersede()

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        self.orders.append(order)
        seconds, self._seconds = self._seconds, 0.0
        time.sleep(seconds)
        answer = await self._port.start(order, may_send)
        self.answers.append(answer)
        return answer

    async def stop(self, order: StopRun) -> bool:
        return await self._port.stop(order)

    async def poll(self, poll: Poll) -> PollAnswer | OtherIncarnation | Superseded | None:
        return await self._port.poll(poll)


def test_delayed_start_gets_no_lease_beyond_its_decision() -> None:
    ports: list[PausingPort] = []

    def pausing(port: RunnerPort) -> RunnerPort:
        ports.append(PausingPort(port, TIMES.session_expiry + 0.1))
        return ports[0]

    async def scene(system: System) -> None:
        await system.open()
        await system.submit(KEY, 100, wait=4.0)
        await until_true(lambda: len(ports[0].answers) >= 3)
        decided = {(order.run.task.index, order.run.number): order for order in ports[0].orders}
        calls = [body for path, body in system.runner.calls if path.endswith("/run-start")]
        for body in calls:
            index = int(str(body["task"]).rpartition(".")[2])
            order = decided[index, int(str(body["run"]))]
            latest = (order.decided + TIMES.hold) * 1000 + ROUNDING_MS
            assert int(str(body["deadline_ms"])) <= latest

    play(scene, System(BOUNDS, pausing))
