"""Ends that belong to an earlier try of a job."""

from random import Random

from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.dispatcher import Dispatcher
from paddleshunt_core.leased.jobs import JobRequest
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import (
    Assign,
    End,
    Ended,
    Frame,
    Health,
    Hello,
    RunId,
    RunnerReport,
    RunnerState,
    TaskId,
)

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
REQUEST = JobRequest("job", "spec", 1, Resources(1000, 10), 0.4, 4.0)
WHOLE = Resources(8000, 8000)


def report(free: Resources) -> RunnerReport:
    return RunnerReport("svc", "i", RunnerState.READY, Health.GOOD, WHOLE, free)


def test_an_end_from_another_target_than_the_runs_own_is_ignored() -> None:
    dispatcher = Dispatcher(lease_times(Bounds()), "hall", Random(1))
    for name, free in (("t0", Resources(500, 8000)), ("t1", WHOLE)):
        dispatcher.handle_hello(1.0, Hello(name, "life", False, "hall", "", 0, 0))
        dispatcher.handle_frame(1.0, name, Frame(1, 0, 1000, 1000, [report(free)]))
    dispatcher.submit(1.0, 1, REQUEST, QUEUE)
    sent = dispatcher.session("t1")
    assert sent is not None
    assert [type(body) for body in sent.frame(1000).bodies] == [Assign]
    stale = Ended([(RunId(TaskId("job", 0, 0), 1), End.STOPPED)])
    dispatcher.handle_frame(1.01, "t0", Frame(2, 0, 1010, 1010, [stale, report(WHOLE)]))
    for name in ("t0", "t1"):
        session = dispatcher.session(name)
        assert session is not None
        assert not [b for b in session.frame(1020).bodies if isinstance(b, Assign)]


def test_runs_lost_with_a_target_are_not_taken_for_those_of_a_later_try() -> None:
    times = lease_times(Bounds())
    dispatcher = Dispatcher(times, "hall", Random(1))
    for name, free in (("t0", WHOLE), ("t1", Resources(500, 8000))):
        dispatcher.handle_hello(1.0, Hello(name, "life", False, "hall", "", 0, 0))
        dispatcher.handle_frame(1.0, name, Frame(1, 0, 1000, 1000, [report(free)]))
    dispatcher.submit(1.0, 1, REQUEST, QUEUE)
    now = 1.0
    while now < 1.0 + times.session + 0.2:
        now += 0.1
        dispatcher.handle_frame(now, "t1", Frame(2, 0, int(now * 1000), 0, []))
        dispatcher.tick(now)
    dispatcher.caller_left(now, 1)
    dispatcher.handle_frame(now, "t1", Frame(2, 0, int(now * 1000), 0, [report(WHOLE)]))
    dispatcher.submit(now, 2, REQUEST, QUEUE)
    session = dispatcher.session("t1")
    assert session is not None
    assert [type(b) for b in session.frame(int(now * 1000)).bodies] == [Assign]
    dispatcher.handle_hello(now + 0.1, Hello("t0", "life", False, "hall", "", 0, 0))
    dispatcher.handle_frame(now + 0.1, "t0", Frame(1, 0, 9000, 9000, [report(WHOLE)]))
    for name in ("t0", "t1"):
        again = dispatcher.session(name)
        assert again is not None
        assert not [b for b in again.frame(9100).bodies if isinstance(b, Assign)]
