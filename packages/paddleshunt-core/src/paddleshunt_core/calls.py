"""Calls: requests of callers that wait in an entry for the answer of a home.

An entry keeps nothing else of a submission. As an id can be accepted by its home only, and only
once, an entry may send it there again whenever the answer stays out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.effects import Effect, Reply, Send
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Absent, Answer, Body, Query, Running, Submit
from paddleshunt_core.outcomes import NotAccepted, Outcome, Unknown

FIRST_PROBE = 1.0
"""Seconds without an answer after which an entry asks the home."""

LAST_PROBE = 8.0
"""Longest time in seconds between two questions; the time doubles up to it."""

ANSWER_GRACE = 1.0
"""Seconds past the deadline for which an entry still waits for the home's answer."""

LOOK_UP_SECONDS = 2.0
"""Seconds that a question for a submission's state may take."""


@dataclass(slots=True)
class _Call:
    home: Incarnation
    address: str
    submission: str
    digest: bytes
    submit: Submit | None
    deadline: float
    probe_at: float
    probe_after: float = FIRST_PROBE
    callers: list[int] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        return self.submit is not None and self.submit.repeatable


CallKey = tuple[str, bytes]


@final
class Calls:
    """The waiting calls of one entry; a look-up of a state is a call with an empty digest."""

    def __init__(self) -> None:
        self._calls: dict[CallKey, _Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def submit(
        self, now: float, caller: int, home: Incarnation, address: str, message: Submit
    ) -> list[Effect]:
        """Send a submission to its home; the caller waits for the outcome."""
        key = (message.submission, message.digest)
        deadline = now + message.deadline_ms / 1000
        call = _Call(home, address, *key, message, deadline, now + FIRST_PROBE)
        return self._open(key, call, caller, message)

    def look_up(
        self, now: float, caller: int, home: Incarnation, address: str, submission: str
    ) -> list[Effect]:
        """Ask a home for the state of a submission; the caller waits for that only."""
        key = (submission, b"")
        deadline = now + LOOK_UP_SECONDS - ANSWER_GRACE
        call = _Call(home, address, *key, None, deadline, now + FIRST_PROBE)
        return self._open(key, call, caller, Query(submission))

    def service_of(self, message: Answer) -> str:
        """Return the service of the submission that an answer is for; empty if none waits."""
        call = self._calls.get((message.submission, message.digest))
        return call.submit.service if call is not None and call.submit is not None else ""

    def answered(self, message: Answer) -> list[Effect]:
        """Pass an outcome to those who wait for it."""
        effects: list[Effect] = []
        for digest in {message.digest, b""}:
            effects += self._reply((message.submission, digest), message)
        return effects

    def running(self, now: float, message: Running) -> list[Effect]:
        """Note that the home works on it: look-ups have their answer, others wait on."""
        call = self._calls.get((message.submission, message.digest))
        if call is not None:
            call.probe_after = min(LAST_PROBE, call.probe_after * 2)
            call.probe_at = now + call.probe_after
        return self._reply((message.submission, b""), message)

    def absent(self, now: float, message: Absent) -> list[Effect]:
        """Send a submission again that did not arrive."""
        call = self._calls.get((message.submission, message.digest))
        if call is None:
            return []
        if call.submit is None:
            return self._reply((message.submission, b""), message)
        left_ms = int((call.deadline - now) * 1000)
        if left_ms <= 0:
            return []
        again = Submit(
            call.submission,
            call.submit.service,
            call.submit.repeatable,
            left_ms,
            call.digest,
            call.submit.tasks,
        )
        return [Send(call.home, call.address, again)]

    def undelivered(self, to: Incarnation, body: Body) -> list[Effect]:
        """Answer the callers of a message that provably never left this process."""
        if not isinstance(body, Submit | Query):
            return []
        call = self._calls.get((body.submission, body.digest))
        if call is None or call.home != to:
            return []
        return self._end(call, NotAccepted("the home can't be reached from this entry", 1000))

    def tick(self, now: float, has_ended: Callable[[Incarnation], bool]) -> list[Effect]:
        """Ask homes that are silent, and answer calls whose home has ended or whose time is up."""
        effects: list[Effect] = []
        for call in list(self._calls.values()):
            if has_ended(call.home):
                effects += self._end(call, Unknown(f"its home on {call.home.host} has ended"))
            elif now > call.deadline + ANSWER_GRACE:
                effects += self._end(call, _late(call))
            elif now >= call.probe_at:
                call.probe_at = now + call.probe_after
                effects.append(Send(call.home, call.address, Query(call.submission, call.digest)))
        return effects

    def _open(self, key: CallKey, call: _Call, caller: int, body: Body) -> list[Effect]:
        waiting = self._calls.get(key)
        if waiting is not None:
            waiting.callers.append(caller)
            return []
        call.callers.append(caller)
        self._calls[key] = call
        return [Send(call.home, call.address, body)]

    def _reply(self, key: CallKey, body: Answer | Running | Absent) -> list[Effect]:
        call = self._calls.pop(key, None)
        if call is None:
            return []
        return [Reply(caller, body) for caller in call.callers]

    def _end(self, call: _Call, outcome: Outcome) -> list[Effect]:
        answer = Answer(call.submission, call.digest, outcome, call.repeatable)
        return self._reply((call.submission, call.digest), answer)


def _late(call: _Call) -> Outcome:
    if call.submit is None:
        return NotAccepted("the home did not answer", 1000)
    return Unknown("the home did not answer by the deadline")
