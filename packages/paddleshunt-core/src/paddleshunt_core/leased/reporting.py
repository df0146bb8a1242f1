"""Reports to entries about a target's runner: state, health and the free resources each may use."""

from collections.abc import Mapping
from typing import final

import msgspec

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.entrylink import EntryLink
from paddleshunt_core.leased.offers import Offers
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.wire import Health, RunnerReport, RunnerState

COLD_CHANGE_SECONDS = 0.5
"""Seconds by which a runner must stay cold longer than last reported to cause a new report.

Entries count the reported time down themselves; delays of heartbeats shift it a little.
"""

PLENTY_SHARE = 0.3
"""Free share of the runner's capacity above which changes wait for the next heartbeat."""


@final
class Reporter:
    """Queues ends of runs and reports in the sessions of one target."""

    def __init__(self, times: LeaseTimes, control: RunnerControl, offers: Offers) -> None:
        self._times = times
        self._control = control
        self._offers = offers

    def prepare(
        self, now: float, links: Mapping[str, EntryLink], *, network_overloaded: bool = False
    ) -> float | None:
        """Queue the ends and reports that are due; return when the next is due, or None.

        If this host's network link is overloaded, reports that can wait are sent at most once a
        heartbeat.
        """
        next_due: float | None = None
        plentiful = self._is_plentiful()
        free = self._control.offered(now)
        exclusive_entry = self._exclusive_entry(now, free, plentiful)
        if exclusive_entry is not None:
            next_due = self._offers.expires_at()
        for name, link in links.items():
            if link.session is None:
                continue
            report = self._report(
                now, link, free if exclusive_entry in (None, name) else NO_RESOURCES
            )
            if link.report_due or _has_changed(now, report, link):
                held = link.is_held(has_runs=self._control.table.has_entry(name))
                interval = link.min_report_interval(
                    self._times, report, plentiful=plentiful, held=held
                )
                if network_overloaded:
                    interval = max(interval, self._times.heartbeat)
                at_once = exclusive_entry == name or (
                    exclusive_entry is not None and _withdraws_offer(report, link)
                )
                due = now if at_once else link.reported_at + interval
                if link.ends or now >= due:
                    link.send_report(now, report, plentiful=plentiful)
                else:
                    next_due = due if next_due is None else min(next_due, due)
            link.send_ends()
        return next_due

    def _is_plentiful(self) -> bool:
        control = self._control
        if control.status is None or control.state() is not RunnerState.READY:
            return False
        return control.table.used.share_of(control.status.capacity) < 1 - PLENTY_SHARE

    def _exclusive_entry(self, now: float, free: Resources, plentiful: bool) -> str | None:
        """Return the one entry that is offered the free resources; None if all entries are."""
        if self._control.level is not Health.GOOD:
            return None
        if plentiful and not self._offers.is_contended(free):
            return None
        return self._offers.offered_to(now, free)

    def _report(self, now: float, link: EntryLink, free: Resources) -> RunnerReport:
        control = self._control
        status = control.status
        return RunnerReport(
            service=status.service if status else "",
            runner=status.runner.id if status else "",
            state=control.state() if link.retiring_since is None else RunnerState.LEAVING,
            health=control.level,
            capacity=status.capacity if status else NO_RESOURCES,
            free=free,
            labels=status.labels if status else (),
            cold_ms=round(control.cold_remaining(now) * 1000),
            kind=status.kind if status else "",
            born=status.runner.born if status else 0,
        )


def _withdraws_offer(report: RunnerReport, link: EntryLink) -> bool:
    """Whether a report offers less than the last one, so that tasks sent for that may not fit."""
    last = link.report
    return last is not None and report.free != last.free and report.free.fits(last.free)


def _has_changed(now: float, report: RunnerReport, link: EntryLink) -> bool:
    """Whether a report differs from the last one by more than the elapsed part of the warm-up."""
    last = link.report
    if report == last:
        return False
    if last is None or not (report.cold_ms and last.cold_ms):
        return True
    later_ms = report.cold_ms + round((now - link.reported_at) * 1000) - last.cold_ms
    if later_ms > COLD_CHANGE_SECONDS * 1000:
        return True
    return msgspec.structs.replace(report, cold_ms=last.cold_ms) != last
