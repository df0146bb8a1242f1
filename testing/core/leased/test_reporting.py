"""What a target shows each entry of its room while several entries wait for it.

The load: a burst fills all runners, every entry has jobs that wait, and each run that ends frees
room for one or two tasks. Entries that all see the same room send each a task, and all but one
come back.
"""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrylink import REPORT_SECONDS
from paddleshunt_core.leased.offers import OFFER_SECONDS
from paddleshunt_core.leased.orders import LookAnswer, RunnerAccount
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import Assign, Body, Frame, Hello, ResourceRequest, RunnerReport
from paddleshunt_core.leased.worker import Worker

TIMES = lease_times(Bounds())
TASK = Resources(2500, 10)
ENTRIES = ("e0", "e1", "e2")


class Target:
    """A worker in session with three entries, whose runner has room for six tasks."""

    def __init__(self, busy: int) -> None:
        self.now = 1.0
        self.worker = Worker(TIMES)
        room = Resources(6 * TASK.processor, 1000)
        account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", room, False, None)
        self.worker.runner_spoke(0.9, account)
        self.worker.looked(0.95, LookAnswer(0.92, [], []))
        self.numbers = dict.fromkeys(ENTRIES, 1)
        for number, entry in enumerate(ENTRIES):
            self.worker.opened(1.0, Hello(entry, "life", True, "hall", "", number + 1, 0), 1.0)
        self.shown: dict[str, Resources] = {}
        if busy:
            runs = [(index, 1) for index in range(busy)]
            self.hear("e0", Assign("busy", 0, "spec", TASK, 400, 4000, runs))
        self.tell()

    def hear(self, entry: str, body: Body) -> None:
        stamp = int(self.now * 1000)
        self.worker.heard(self.now, entry, Frame(self.numbers[entry], 0, stamp, stamp, [body]))
        self.numbers[entry] += 1

    def want(self, entry: str, need: Resources, within_ms: int) -> None:
        self.hear(entry, ResourceRequest(need, within_ms))

    def tell(self) -> None:
        """Let reports leave that are due, and note what each entry is shown by its last one."""
        self.worker.prepare_frames(self.now)
        for entry in ENTRIES:
            frame = self.worker.next_frame(self.now, entry, beat=False)
            for body in frame.bodies if frame else []:
                if isinstance(body, RunnerReport):
                    self.shown[entry] = body.free

    def passes(self, seconds: float) -> None:
        self.now += seconds


@pytest.mark.parametrize("busy", [0, 3, 5], ids=["idle", "half-full", "nearly-full"])
def test_room_that_nobody_waits_for_is_shown_to_all(busy: int) -> None:
    target = Target(busy)
    free = Resources((6 - busy) * TASK.processor, 1000 - 10 * busy)
    assert target.shown == dict.fromkeys(ENTRIES, free)


@pytest.mark.parametrize("busy", [4, 5], ids=["two-tasks", "one-task"])
def test_room_that_several_entries_wait_for_is_shown_to_the_most_urgent_alone(busy: int) -> None:
    """Two tasks' room is a third of the runner: it looks like plenty, but not for three."""
    target = Target(busy)
    target.passes(REPORT_SECONDS / 10)
    for within, entry in enumerate(ENTRIES, start=1):
        target.want(entry, TASK, 100 * within)
    target.tell()
    assert target.shown["e0"] != NOTHING
    assert [target.shown[entry] for entry in ENTRIES[1:]] == [NOTHING, NOTHING]


def test_room_that_is_enough_for_all_that_wait_is_shown_to_all() -> None:
    target = Target(busy=3)
    before = dict(target.shown)
    for entry in ENTRIES:
        target.want(entry, TASK, 100)
    target.tell()
    assert target.shown == before


def test_an_entry_is_told_at_once_that_room_is_not_for_it_any_more() -> None:
    target = Target(busy=4)
    target.passes(TIMES.heartbeat)
    target.want("e1", TASK, 200)
    target.want("e2", TASK, 300)
    target.want("e0", TASK, 400)
    target.tell()
    assert target.shown["e1"] != NOTHING
    target.passes(OFFER_SECONDS + 0.001)
    target.tell()
    assert target.shown["e2"] != NOTHING
    assert target.shown["e1"] == NOTHING
