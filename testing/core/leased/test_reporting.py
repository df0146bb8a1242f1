"""Which free resources a target reports to each entry while several entries wait for them.

If all entries were offered the resources that one ended run frees, each would send a task, and all
but one would be rejected.
"""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrylink import MIN_REPORT_INTERVAL
from paddleshunt_core.leased.offers import OFFER_SECONDS
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import Assign, Body, Frame, Hello, ResourceRequest, RunnerReport
from paddleshunt_core.leased.worker import Worker

TIMES = lease_times(Bounds())
TASK = Resources(2500, 10)
ENTRIES = ("e0", "e1", "e2")


class Target:
    """A worker in session with three entries, whose runner has capacity for six tasks."""

    def __init__(self, busy: int) -> None:
        self.now = 1.0
        self.worker = Worker(TIMES)
        capacity = Resources(6 * TASK.processor, 1000)
        status = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", capacity, False, None)
        self.worker.heartbeat_received(0.9, status)
        self.worker.poll_answered(0.95, PollAnswer(0.92, [], []))
        self.numbers = dict.fromkeys(ENTRIES, 1)
        for number, entry in enumerate(ENTRIES):
            self.worker.greeting_answered(
                1.0, Hello(entry, "life", True, "hall", "", number + 1, 0), 1.0
            )
        self.offered: dict[str, Resources] = {}
        if busy:
            runs = [(index, 1) for index in range(busy)]
            self.receive("e0", Assign("busy", 0, "spec", TASK, 400, 4000, runs))
        self.send_reports()

    def receive(self, entry: str, body: Body) -> None:
        stamp = int(self.now * 1000)
        self.worker.frame_received(
            self.now, entry, Frame(self.numbers[entry], 0, stamp, stamp, [body])
        )
        self.numbers[entry] += 1

    def request(self, entry: str, need: Resources, within_ms: int) -> None:
        self.receive(entry, ResourceRequest(need, within_ms))

    def send_reports(self) -> None:
        """Send the reports that are due, and record the resources last reported to each entry."""
        self.worker.prepare_frames(self.now)
        for entry in ENTRIES:
            frame = self.worker.next_frame(self.now, entry, heartbeat_allowed=False)
            for body in frame.bodies if frame else []:
                if isinstance(body, RunnerReport):
                    self.offered[entry] = body.free

    def advance(self, seconds: float) -> None:
        self.now += seconds


@pytest.mark.parametrize("busy", [0, 3, 5], ids=["idle", "half-full", "nearly-full"])
def test_uncontended_resources_are_offered_to_all(busy: int) -> None:
    target = Target(busy)
    free = Resources((6 - busy) * TASK.processor, 1000 - 10 * busy)
    assert target.offered == dict.fromkeys(ENTRIES, free)


@pytest.mark.parametrize("busy", [4, 5], ids=["two-tasks", "one-task"])
def test_contended_resources_are_offered_to_the_most_urgent_entry_only(busy: int) -> None:
    """A third of the runner counts as plenty, but does not suffice for three waiting tasks."""
    target = Target(busy)
    target.advance(MIN_REPORT_INTERVAL / 10)
    for within, entry in enumerate(ENTRIES, start=1):
        target.request(entry, TASK, 100 * within)
    target.send_reports()
    assert target.offered["e0"] != NO_RESOURCES
    assert [target.offered[entry] for entry in ENTRIES[1:]] == [NO_RESOURCES, NO_RESOURCES]


def test_resources_that_suffice_for_all_requests_are_offered_to_all() -> None:
    target = Target(busy=3)
    before = dict(target.offered)
    for entry in ENTRIES:
        target.request(entry, TASK, 100)
    target.send_reports()
    assert target.offered == before


def test_an_entry_is_informed_at_once_that_its_offer_ended() -> None:
    target = Target(busy=4)
    target.advance(TIMES.heartbeat)
    target.request("e1", TASK, 200)
    target.request("e2", TASK, 300)
    target.request("e0", TASK, 400)
    target.send_reports()
    assert target.offered["e1"] != NO_RESOURCES
    target.advance(OFFER_SECONDS + 0.001)
    target.send_reports()
    assert target.offered["e2"] != NO_RESOURCES
    assert target.offered["e1"] == NO_RESOURCES
