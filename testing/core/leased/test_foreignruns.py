"""Runs that this life of a target has not ordered: when it knows that none is there."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.foreignruns import ForeignRuns
from paddleshunt_core.leased.orders import FinishedRun, PollAnswer, RunEnd, RunningRun
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.wire import RunId, TaskId

TIMES = lease_times(Bounds())
RUN = RunId(TaskId("job", 0, 0), 1)
LISTED = [RunningRun(RUN, 5)]
LONGEST = TIMES.strayed + TIMES.overrun
"""Seconds for which what an earlier life has ordered may be at work."""


@pytest.fixture
def lease() -> RunnerLease:
    return RunnerLease(TIMES)


@pytest.fixture
def foreign(lease: RunnerLease) -> ForeignRuns:
    return ForeignRuns(TIMES, lease)


def test_a_full_list_without_any_shows_that_none_is_there(foreign: ForeignRuns) -> None:
    foreign.reset(10.0)
    foreign.update(PollAnswer(10.1, [], []), {})
    assert foreign.clean


def test_a_list_from_before_the_life_was_met_shows_nothing(foreign: ForeignRuns) -> None:
    foreign.reset(10.0)
    foreign.update(PollAnswer(9.9, [], []), {})
    assert not foreign.clean


def test_one_that_is_listed_is_foreign_until_it_has_ended(foreign: ForeignRuns) -> None:
    foreign.update(PollAnswer(1.0, LISTED, []), {})
    assert list(foreign) == [RUN]
    foreign.update(PollAnswer(1.1, LISTED, [FinishedRun(1, RUN, RunEnd.STOPPED)]), {})
    assert not foreign
    assert foreign.clean


def test_a_run_of_this_life_is_not_foreign(foreign: ForeignRuns) -> None:
    foreign.update(PollAnswer(1.0, LISTED, []), {RUN})
    assert not foreign


@pytest.mark.parametrize("met", [None, 1.0], ids=["at-the-first-look", "when-told"])
def test_rows_that_cannot_be_read_count_as_gone_once_all_leases_are_over(
    foreign: ForeignRuns, met: float | None
) -> None:
    if met is not None:
        foreign.reset(met)
    for sent in (1.0, 1.0 + LONGEST):
        foreign.update(PollAnswer(sent, [], [], partial=True), {})
        assert not foreign.clean
    foreign.update(PollAnswer(1.01 + LONGEST, [], [], partial=True), {})
    assert foreign.clean


def test_a_lease_that_was_granted_since_keeps_unreadable_rows_alive(
    foreign: ForeignRuns, lease: RunnerLease
) -> None:
    foreign.reset(1.0)
    late = 1.1 + LONGEST
    lease.grant(late)
    foreign.update(PollAnswer(late, [], [], partial=True), {})
    assert not foreign.clean
    foreign.update(PollAnswer(late + TIMES.overrun + 0.01, [], [], partial=True), {})
    assert foreign.clean


def test_a_host_that_was_suspended_gives_them_as_much_longer(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.clock_paused(3.0)
    foreign.update(PollAnswer(2.0 + LONGEST, [], [], partial=True), {})
    assert not foreign.clean


def test_a_host_that_was_suspended_is_believed_its_next_full_list(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.clock_paused(3.0)
    foreign.update(PollAnswer(1.1, [], []), {})
    assert foreign.clean


def test_a_readable_foreign_run_is_no_matter_of_time(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.update(PollAnswer(5.0 + LONGEST, LISTED, [], partial=True), {})
    assert foreign
    assert not foreign.clean
