"""Tells entries of a target's runner: its state, its health and the room that each is shown."""

from collections.abc import Mapping
from typing import final

import msgspec

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.entrylink import EntryLink
from paddleshunt_core.leased.offers import Offers
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.wire import Health, RunnerReport, RunnerState

COLD_STEP = 0.5
"""Seconds by which a runner must stay cold longer than entries were told, for a new report.

Entries let the time run down by themselves; heartbeats that are under way longer shift it a little.
"""

PLENTY = 0.3
"""Share of the runner's room that is free, above which changes are told with the next heartbeat."""


@final
class Reporter:
    """Puts what is due to be told into the sessions of one target."""

    def __init__(self, times: LeaseTimes, control: RunnerControl, offers: Offers) -> None:
        self._times = times
        self._control = control
        self._offers = offers

    def prepare(
        self, now: float, links: Mapping[str, EntryLink], *, sheds: bool = False
    ) -> float | None:
        """Put ends and reports that are due into the sessions; return when the next is due.

        `sheds`: reports that can wait go with heartbeats, as this host's link is pressed.
        """
        next_due: float | None = None
        plenty = self._has_plenty()
        free = self._control.offered(now)
        holder = self._holder(now, free, plenty)
        if holder is not None:
            next_due = self._offers.expires_at()
        for name, link in links.items():
            if link.session is None:
                continue
            report = self._report(now, link, free if holder in (None, name) else NOTHING)
            if link.report_due or _says_anew(now, report, link):
                held = link.is_held(has_runs=self._control.table.has_entry(name))
                pause = link.report_pause(self._times, report, plenty=plenty, held=held)
                if sheds:
                    pause = max(pause, self._times.heartbeat)
                at_once = holder == name or (holder is not None and _takes_back(report, link))
                due = now if at_once else link.reported + pause
                if link.ends or now >= due:
                    link.send_report(now, report, plenty=plenty)
                else:
                    next_due = due if next_due is None else min(next_due, due)
            link.send_ends()
        return next_due

    def _has_plenty(self) -> bool:
        control = self._control
        if control.account is None or control.state() is not RunnerState.READY:
            return False
        return control.table.used.share_of(control.account.capacity) < 1 - PLENTY

    def _holder(self, now: float, free: Resources, plenty: bool) -> str | None:
        """Return the entry that alone is shown the room; None if all are shown it."""
        if self._control.level is not Health.GOOD:
            return None
        if plenty and not self._offers.is_contended(free):
            return None
        return self._offers.offered_to(now, free)

    def _report(self, now: float, link: EntryLink, shown: Resources) -> RunnerReport:
        control = self._control
        account = control.account
        return RunnerReport(
            service=account.service if account else "",
            runner=account.runner.id if account else "",
            state=control.state() if link.retired is None else RunnerState.LEAVING,
            health=control.level,
            capacity=account.capacity if account else NOTHING,
            free=shown,
            labels=account.labels if account else (),
            cold_ms=round(control.cold(now) * 1000),
            kind=account.kind if account else "",
            born=account.runner.born if account else 0,
        )


def _takes_back(report: RunnerReport, link: EntryLink) -> bool:
    """Whether a report shows less room than the last one: what is sent for it would come back."""
    last = link.report
    return last is not None and report.free != last.free and report.free.fits(last.free)


def _says_anew(now: float, report: RunnerReport, link: EntryLink) -> bool:
    """Whether a report says more than the last one: that a cold runner gets warmer needs none."""
    last = link.report
    if report == last:
        return False
    if last is None or not (report.cold_ms and last.cold_ms):
        return True
    later_ms = report.cold_ms + round((now - link.reported) * 1000) - last.cold_ms
    if later_ms > COLD_STEP * 1000:
        return True
    return msgspec.structs.replace(report, cold_ms=last.cold_ms) != last
