"""Questions of a home to gates: what became of tasks, and giving back what has not started."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.effects import Effect, Send
from paddleshunt_core.links import Link, Outstanding, TaskKey, group_by_submission
from paddleshunt_core.messages import Inquire
from paddleshunt_core.waste import Waste

UNSEEN_TASK = 0.6
"""Seconds after which a task is asked about if its gate hasn't said that it saw the message."""

STUCK_TASK = 0.55
"""Seconds after which a task that may still be queued is taken back if a slot is free elsewhere;
a task that started at once has usually ended by then."""

SLOW_TASK = 2.0
"""Seconds after which any task without news is asked about; the time doubles with each question."""


@final
class Inquiries:
    """Asks gates, and numbers all messages to them: one count, so that it never falls back."""

    def __init__(self, waste: Waste) -> None:
        self._waste = waste
        self._seq = 0

    def next_number(self) -> int:
        """Return the number of the next message to any gate."""
        self._seq += 1
        return self._seq

    def ask(self, now: float, link: Link, keys: list[TaskKey], *, revoke: bool) -> Effect:
        """Ask a gate about tasks; `revoke`: it is to give back those that have not started."""
        for key in keys:
            out = link.outstanding[key]
            out.asked = now
            out.wait = max(SLOW_TASK, 2 * out.wait)
        self._waste.inquiries += 1
        if link.asked_at is None:
            link.asked_at = now
        number = self.next_number()
        if len(keys) == len(link.outstanding):
            link.inquiry = number
        body = Inquire(number, link.stamp_ms(now), link.acked, revoke, group_by_submission(keys))
        return Send(link.incarnation, link.address, body)

    def ask_slow(self, now: float, links: Iterable[Link]) -> list[Effect]:
        """Ask about the tasks that have been without news for long."""
        effects: list[Effect] = []
        for link in links:
            slow = [key for key, out in link.outstanding.items() if _is_due(link, out, now)]
            if slow:
                effects.append(self.ask(now, link, slow, revoke=False))
        return effects

    def revoke_job(self, now: float, submission: str, links: Iterable[Link]) -> list[Effect]:
        """Ask for all tasks of a submission that have not started."""
        effects: list[Effect] = []
        for link in links:
            keys = [key for key in link.outstanding if key[0] == submission]
            if keys:
                effects.append(self.ask(now, link, keys, revoke=True))
        return effects

    def revoke_queued(self, now: float, links: Iterable[Link]) -> list[Effect]:
        """Ask for the tasks that wait in queues of their targets.

        The gate gives back only what it has not started, so a straggler itself stays where it is.
        """
        return [
            self.ask(now, link, keys, revoke=True)
            for link in links
            if (keys := stuck_tasks(now, link))
        ]


def stuck_tasks(now: float, link: Link) -> list[TaskKey]:
    """Return the tasks that may be queued at a target and have been there for long."""
    if not link.load.queued:
        return []
    return [key for key, out in link.outstanding.items() if _is_stuck(out, now)]


def _is_stuck(out: Outstanding, now: float) -> bool:
    return not out.started and now - out.asked > STUCK_TASK


def _is_due(link: Link, out: Outstanding, now: float) -> bool:
    first = SLOW_TASK if link.seen_seq >= out.seq else UNSEEN_TASK
    return now - out.asked > (out.wait or first)
