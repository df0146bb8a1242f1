"""Frames that are typed as they should be, with figures and names that nothing has."""

from random import Random

import msgspec
import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.resources import MOST_AMOUNT, Resources
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import (
    Assign,
    Body,
    CatalogVersion,
    Decline,
    End,
    Ended,
    Entries,
    EntryAddress,
    EntryChanges,
    EvacuationNews,
    Frame,
    Health,
    LossId,
    RunId,
    RunnerLost,
    RunnerReport,
    RunnerReturned,
    RunnerState,
    Stop,
    TaskId,
    Want,
)

FRAMES = 20
"""Odd frames that each side hears in one scene."""


class Odd:
    """Draws bodies."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def number(self) -> int:
        far = [-1, 2**53, 2**63, 2**64 - 1, -(2**63)]
        return self._rng.choice([*far, *range(5)])

    def text(self) -> str:
        return self._rng.choice(["", "job", "t0", "e0", "x" * 300, "\x00", "é"])

    def amount(self) -> Resources:
        near = [0, 1, 1000, -1, MOST_AMOUNT, -MOST_AMOUNT]
        return Resources(*(self._rng.choice(near) for _ in range(3)))

    def task(self) -> TaskId:
        return TaskId(self._rng.choice(["job", self.text()]), 0, self.number())

    def run(self) -> RunId:
        return RunId(self.task(), self._rng.choice([1, self.number()]))

    def body(self) -> Body:
        n, text, amount, rng = self.number, self.text, self.amount, self._rng
        bodies: list[Body] = [
            Assign(text(), n(), text(), amount(), n(), n(), [(n(), n()), (n(), n())]),
            Stop([self.run()]),
            Want(amount(), n()),
            Decline(),
            Ended([(self.run(), rng.choice(list(End)))]),
            RunnerReport(
                text(),
                text(),
                rng.choice(list(RunnerState)),
                rng.choice(list(Health)),
                amount(),
                amount(),
                (text(),),
            ),
            Entries([EntryAddress(text(), text())]),
            EntryChanges([EntryAddress(text(), text())], [text()]),
            CatalogVersion(n()),
            EvacuationNews(EvacuatedHalls(n(), (text(),))),
            RunnerLost(LossId(text(), n()), [self.task()]),
            RunnerReturned(LossId(text(), n())),
        ]
        return rng.choice(bodies)

    def frame(self, now_ms: int, session: Session | None) -> Frame:
        first = session.received + 1 if session is not None else 1
        frame = Frame(first, 0, now_ms, self._rng.choice([now_ms, self.number()]), [self.body()])
        return msgspec.msgpack.decode(msgspec.msgpack.encode(frame), type=Frame)


@pytest.mark.parametrize("seed", range(30))
def test_whatever_a_frame_says_is_borne_and_what_is_said_of_it_can_be_sent(seed: int) -> None:
    odd = Odd(Random(seed))
    fleet = Fleet(1, 2)
    fleet.settle()
    fleet.submit("e0", "job", count=3, length=1.0)
    fleet.run(0.1)
    dispatcher, worker = fleet.dispatchers["e0"], fleet.workers["t0"]
    now_ms = int(fleet.now * 1000)
    for _ in range(FRAMES):
        dispatcher.handle_frame(fleet.now, "t0", odd.frame(now_ms, dispatcher.session("t0")))
        dispatcher.place_waiting(fleet.now)
        dispatcher.tick(fleet.now)
        worker.heard(fleet.now, "e0", odd.frame(now_ms, worker.session("e0")))
        worker.tick(fleet.now)
        worker.prepare_frames(fleet.now)
        for session in (dispatcher.session("t0"), worker.session("e0")):
            if session is not None:
                msgspec.msgpack.encode(session.frame(now_ms))


@pytest.mark.parametrize("amount", [MOST_AMOUNT + 1, -MOST_AMOUNT - 1, 2**63, 2**64 - 1])
def test_an_amount_that_sums_could_not_be_sent_of_is_no_message(amount: int) -> None:
    raw = msgspec.msgpack.encode(Frame(1, 0, 0, 0, [Want(Resources(amount), 5)]))
    with pytest.raises(msgspec.ValidationError, match="Expected `int`"):
        msgspec.msgpack.decode(raw, type=Frame)


@pytest.mark.parametrize("end", list(End))
def test_an_end_of_a_task_that_a_job_does_not_have_ends_no_other(end: End) -> None:
    fleet = Fleet(1, 1)
    fleet.settle()
    caller = fleet.submit("e0", "job", count=3, length=0.3)
    fleet.run(0.1)
    session = fleet.dispatchers["e0"].session("t0")
    assert session is not None
    ends = [(RunId(TaskId("job", 0, index), 1), end) for index in (-1, -3, 3, 2**63)]
    now_ms = int(fleet.now * 1000)
    frame = Frame(session.received + 1, 0, now_ms, now_ms, [Ended(ends)])
    fleet.dispatchers["e0"].handle_frame(fleet.now, "t0", frame)
    session.received -= 1
    fleet.run(1.0)
    assert fleet.answers[caller] == Completed()
