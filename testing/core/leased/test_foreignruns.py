"""Tests of when a target knows that no foreign runs are left on its runner."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.foreignruns import ForeignRuns
from paddleshunt_core.leased.orders import FinishedRun, PollAnswer, RunEnd, RunningRun
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.wire import RunId, TaskId

TIMES = lease_times(Bounds())
RUN = RunId(TaskId("job", 0, 0), 1)
LISTED = [RunningRun(RUN, 5)]
MAX_FOREIGN_SECONDS = TIMES.late_hold_max + TIMES.overrun
"""Seconds for which runs ordered by an earlier process may be running."""


@pytest.fixture
def lease() -> RunnerLease:
    return RunnerLease(TIMES)


@pytest.fixture
def foreign(lease: RunnerLease) -> ForeignRuns:
    return ForeignRuns(TIMES, lease)


def test_complete_list_without_any_rules_out_foreign_runs(foreign: ForeignRuns) -> None:
    foreign.reset(10.0)
    foreign.update(PollAnswer(10.1, [], []), {})
    assert foreign.ruled_out


def test_list_from_before_the_reset_shows_nothing(foreign: ForeignRuns) -> None:
    foreign.reset(10.0)
    foreign.update(PollAnswer(9.9, [], []), {})
    assert not foreign.ruled_out


def test_listed_run_is_foreign_until_it_has_ended(foreign: ForeignRuns) -> None:
    foreign.update(PollAnswer(1.0, LISTED, []), {})
    assert list(foreign) == [RUN]
    foreign.update(PollAnswer(1.1, LISTED, [FinishedRun(1, RUN, RunEnd.STOPPED)]), {})
    assert not foreign
    assert foreign.ruled_out


def test_run_ordered_by_this_process_is_not_foreign(foreign: ForeignRuns) -> None:
    foreign.update(PollAnswer(1.0, LISTED, []), {RUN})
    assert not foreign


@pytest.mark.parametrize("known_since", [None, 1.0], ids=["first-poll", "reset"])
def test_unreadable_rows_count_as_gone_once_all_leases_have_ended(
    foreign: ForeignRuns, known_since: float | None
) -> None:
    if known_since is not None:
        foreign.reset(known_since)
    for sent in (1.0, 1.0 + MAX_FOREIGN_SECONDS):
        foreign.update(PollAnswer(sent, [], [], partial=True), {})
        assert not foreign.ruled_out
    foreign.update(PollAnswer(1.01 + MAX_FOREIGN_SECONDS, [], [], partial=True), {})
    assert foreign.ruled_out


def test_lease_granted_since_keeps_unreadable_rows_alive(
    foreign: ForeignRuns, lease: RunnerLease
) -> None:
    foreign.reset(1.0)
    late = 1.1 + MAX_FOREIGN_SECONDS
    lease.grant(late)
    foreign.update(PollAnswer(late, [], [], partial=True), {})
    assert not foreign.ruled_out
    foreign.update(PollAnswer(late + TIMES.overrun + 0.01, [], [], partial=True), {})
    assert foreign.ruled_out


def test_suspension_of_the_host_extends_the_time_for_unreadable_rows(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.clock_paused(3.0)
    foreign.update(PollAnswer(2.0 + MAX_FOREIGN_SECONDS, [], [], partial=True), {})
    assert not foreign.ruled_out


def test_complete_list_after_a_suspension_rules_out_foreign_runs(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.clock_paused(3.0)
    foreign.update(PollAnswer(1.1, [], []), {})
    assert foreign.ruled_out


def test_listed_foreign_run_does_not_expire(foreign: ForeignRuns) -> None:
    foreign.reset(1.0)
    foreign.update(PollAnswer(5.0 + MAX_FOREIGN_SECONDS, LISTED, [], partial=True), {})
    assert foreign
    assert not foreign.ruled_out
