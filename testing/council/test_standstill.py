"""Issue 23: a target stands still after it has decided on a start, before the call leaves."""

import time
from collections.abc import Callable

from councilsystem import System, play, until_true
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import Look, LookAnswer, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_node.aio.ports import OtherIncarnation, RunnerPort, Superseded

BOUNDS = Bounds()
TIMES = lease_times(BOUNDS)
KEY = "5c0e7a21d94b36f8"

ROUNDING_MS = 2
"""Milliseconds by which two roundings of clocks may differ."""


class StillOnce:
    """A runner's port in front of which the whole process stands still, once."""

    def __init__(self, port: RunnerPort, seconds: float) -> None:
        self._port = port
        self._seconds = seconds
        self.orders: list[StartRun] = []
        self.answers: list[StartAnswer] = []

    def expect(self, life: RunnerLife | None) -> None:
        self._port.expect(life)

    def refine_identity(self, life: RunnerLife) -> None:
        self._port.refine_identity(life)

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

    async def poll(self, poll: Look) -> LookAnswer | OtherIncarnation | Superseded | None:
        return await self._port.poll(poll)


def test_an_order_that_left_late_brings_no_lease_beyond_its_decision() -> None:
    ports: list[StillOnce] = []

    def still(port: RunnerPort) -> RunnerPort:
        ports.append(StillOnce(port, TIMES.session_end + 0.1))
        return ports[0]

    async def scene(system: System) -> None:
        await system.open()
        await system.submit(KEY, 100, wait=4.0)
        await until_true(lambda: len(ports[0].answers) >= 3)
        decided = {(order.run.task.index, order.run.number): order for order in ports[0].orders}
        calls = [asked for path, asked in system.runner.calls if path.endswith("/run-start")]
        for asked in calls:
            index = int(str(asked["task"]).rpartition(".")[2])
            order = decided[index, int(str(asked["run"]))]
            latest = (order.decided + TIMES.hold) * 1000 + ROUNDING_MS
            assert int(str(asked["deadline_ms"])) <= latest

    play(scene, System(BOUNDS, still))
