"""Runs on a runner that this life of its target has not ordered: nothing starts beside them.

An earlier life of the target may have left some. A full list of the runner shows that none is
there; one with rows that can't be read does not, but what an earlier life ordered loses its lease.
"""

from collections.abc import Container, Iterator
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.orders import PollAnswer
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.wire import RunId


@final
class ForeignRuns:
    """What is known of foreign runs on one life of a runner; times are own steady seconds."""

    def __init__(self, times: LeaseTimes, lease: RunnerLease) -> None:
        self._times = times
        self._lease = lease
        self._runs: set[RunId] = set()
        self._met: float | None = None
        """When the life was met; with the first look of this process if nothing told of it."""
        self._paused = 0.0
        """Seconds since then for which the runner's clock may not have moved."""
        self.clean = False
        """Whether this life of the runner was seen with none, or none can be left."""

    def __bool__(self) -> bool:
        return bool(self._runs)

    def __iter__(self) -> Iterator[RunId]:
        return iter(self._runs)

    def meet(self, now: float) -> None:
        """Trust nothing before a look that is sent from now on; another life may be there."""
        self._runs = set()
        self.clean = False
        self._met = now
        self._paused = 0.0

    def is_met_by(self, answer: PollAnswer) -> bool:
        """Whether an answer is to a look that was sent since this life was met."""
        return self._met is None or answer.sent >= self._met

    def stood_still(self, seconds: float) -> None:
        """Note that the runner's clock may not have moved for so long."""
        self._paused += seconds

    def read(self, answer: PollAnswer, ordered: Container[RunId]) -> None:
        """Take the runner's lists; `ordered` are the runs of this life of the target."""
        ended = {row.run for row in answer.finished}
        listed = {row.run for row in answer.running}
        self._runs = {run for run in listed if run not in ordered and run not in ended}
        if self._runs or self.clean or not self.is_met_by(answer):
            return
        if self._met is None:
            self._met = answer.sent
        self.clean = not answer.partial or self._can_have_none(self._met, answer.sent)

    def _can_have_none(self, met: float, now: float) -> bool:
        """Whether all leases are over that were granted before `met`, or by this life since."""
        left_by_earlier = met + self._paused + self._times.strayed + self._times.overrun
        return now > left_by_earlier and self._lease.has_killed(now)
