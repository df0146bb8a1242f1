"""Tests that a rolling replacement of a service's runners loses no job.

Each new runner is on another host than the old one, or on the same. The old runner announces that
it drains, and leaves when its drain time is over.
"""

from collections.abc import Callable

import pytest
from leasedfleet import STEP, Fleet
from paddleshunt_core.leased.outcomes import Completed

HEARTBEAT_SECONDS = 0.32
"""Seconds until a simulated runner's next heartbeat has been received."""

DRAIN_SECONDS = 1.0
JOB_INTERVAL = 0.1
"""Seconds from one job to the next."""


class Release:
    """Replaces the first half of a fleet's targets by the second half, under load."""

    def __init__(self, size: int) -> None:
        self.fleet = Fleet(entries=2, targets=2 * size)
        self.old = [f"t{n}" for n in range(size)]
        self.new = [f"t{n}" for n in range(size, 2 * size)]
        for name in self.new:
            self.stop(name)
        self.fleet.settle()
        self.callers: list[int] = []
        self.late_starts: list[str] = []
        self._next_job = 0.0

    def stop(self, name: str) -> None:
        """Stop a host with its target and its runner."""
        self.fleet.kill(name)
        self.fleet.runners[name].crash()

    def start(self, name: str) -> None:
        """Start a host with its target and its runner."""
        self.fleet.start(name)
        self.fleet.runners[name].restart()

    def run(self, seconds: float, watched: str = "") -> None:
        """Submit jobs for some seconds; record the starts on the `watched` runner."""
        for _ in range(round(seconds / STEP)):
            if self.fleet.now >= self._next_job:
                self._next_job = self.fleet.now + JOB_INTERVAL
                number = len(self.callers)
                caller = self.fleet.submit(f"e{number % 2}", f"job{number}", length=0.4)
                self.callers.append(caller)
            before = self._starts(watched)
            self.fleet.step()
            if self._starts(watched) > before:
                self.late_starts.append(watched)

    def drain(self, name: str) -> None:
        """Let a runner announce that it drains, and deregister after its drain time."""
        self.fleet.runners[name].leaving = True
        self.run(HEARTBEAT_SECONDS)
        self.run(DRAIN_SECONDS, watched=name)
        incarnation = self.fleet.runners[name].named(name)
        worker = self.fleet.workers[name]
        self.fleet._act_target(name, worker.runner_deregistered(self.fleet.now, incarnation))

    def finish_jobs(self) -> None:
        """Run until all jobs have ended."""
        for _ in range(round(5.0 / STEP)):
            self.fleet.step()

    def _starts(self, name: str) -> int:
        return sum(self.fleet.runners[name].starts.values()) if name else 0


def replace_on_other_hosts(release: Release) -> None:
    for old, new in zip(release.old, release.new, strict=True):
        release.start(new)
        release.run(0.5)
        release.drain(old)
        release.stop(old)


def replace_on_same_hosts(release: Release) -> None:
    for name in release.old:
        release.drain(name)
        release.fleet.runners[name].crash()
        release.fleet.runners[name].restart()
        release.run(0.5)


def no_partition(fleet: Fleet) -> None:
    pass


def partition(*names: str) -> Callable[[Fleet], None]:
    def cut(fleet: Fleet) -> None:
        for name in names:
            for other in (*fleet.entries, *fleet.targets):
                fleet.cut(name, other)
                fleet.cut(other, name)

    return cut


@pytest.mark.parametrize(
    "cut",
    [no_partition, partition("t2"), partition("t0"), partition("t3")],
    ids=["no-partition", "other-host", "draining-host", "new-host"],
)
@pytest.mark.parametrize("replace_runners", [replace_on_other_hosts, replace_on_same_hosts])
def test_rolling_release_loses_no_job_and_starts_nothing_on_a_draining_runner(
    replace_runners: Callable[[Release], None], cut: Callable[[Fleet], None]
) -> None:
    release = Release(3)
    fleet = release.fleet
    release.run(0.7)
    cut(fleet)
    release.run(0.3)
    replace_runners(release)
    fleet.heal()
    release.run(0.5)
    release.finish_jobs()
    outcomes = [fleet.answers.get(caller) for caller in release.callers]
    lost = [outcome for outcome in outcomes if outcome != Completed()]
    assert lost == []
    assert release.late_starts == []


def test_runs_on_a_draining_runner_end_there() -> None:
    release = Release(2)
    release.run(0.5)
    replace_on_other_hosts(release)
    release.finish_jobs()
    starts = sum(sum(runner.starts.values()) for runner in release.fleet.runners.values())
    assert starts == 2 * len(release.callers)
