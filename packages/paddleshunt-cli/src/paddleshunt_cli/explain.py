"""`paddleshunt explain`: the way of one request through the log lines of several processes."""

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import final

import click

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_LINE = re.compile(r"^\s*(?:-?\d+\.\d+\s+(?P<node>\S+)\s+)?(?P<fields>time=.*)$")

_JOB_KEY = "job"
_PROCESS_EVENTS = frozenset(
    {
        "session_ended",
        "runner_health",
        "runner_unreachable",
        "runner_lost",
        "runner_replaced",
        "stood_still",
        "stopped",
        "leaving",
        "started",
        "catalog_adopted",
        "evacuation_learned",
        "heartbeat_late",
        "life_confirmed",
    }
)
"""Events of a process that may decide a request which they don't name."""

_ENTRY_EVENTS = frozenset({"started", "stopped", "leaving", "stood_still"})
"""Events that say what became of an entry."""

_BEGUN = re.compile(r"answer=started|end=(done|failed|stopped|lost|stuck)\b")
"""What a line on a run says if that has begun."""

_REASON = re.compile(r"reason=(\S+)")

_UNKNOWN = {
    "ended_runners": "two runners that had one of its tasks have ended",
    "silent_runners": "two runners were lost under one of its tasks and may yet answer",
    "lost_sessions": "a runner and sessions with targets were lost under one of its tasks",
    "retries": "one of its tasks was tried too often in vain",
}
"""What is known, by its reason, of a job whose task is not started again."""


@final
@dataclass(frozen=True, slots=True, order=True)
class Line:
    """One log line: its time, the process that wrote it (empty if unknown), event and fields."""

    time: str
    node: str
    event: str
    text: str
    job: str

    def concerns(self, key: str) -> bool:
        """Whether the line names the request or a task of it."""
        return self.job == key or self.job.startswith(f"{key}.")


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """The lines of one request in order, and those that decided its end."""

    lines: list[Line]
    cause: str
    deciding: list[Line]


def read_line(raw: str, source: str = "") -> Line | None:
    """Return the log line in `raw`, which may stand behind a time and a process's name."""
    match = _LINE.match(raw)
    if match is None:
        return None
    fields = {name: value.strip('"') for name, value in _FIELD.findall(match["fields"])}
    if "event" not in fields:
        return None
    text = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in {"time", "event"}
    )
    node = match["node"] or source
    return Line(fields["time"], node, fields["event"], text, fields.get(_JOB_KEY, ""))


def explain_request(lines: Iterable[Line], key: str) -> Explanation | None:
    """Return the way of request `key`, or None if no line names it."""
    known = sorted(lines)
    own = [line for line in known if line.concerns(key)]
    if not own:
        return None
    entry = next((line.node for line in own if line.event == "job_admitted"), "")
    nodes = {line.node for line in own}
    around = [
        line
        for line in known
        if line.event in _PROCESS_EVENTS
        and own[0].time <= line.time <= own[-1].time
        and (line.node in nodes or (entry and f"entry={entry}" in line.text))
    ]
    cause, deciding = _decide(own, around)
    return Explanation(sorted([*own, *around]), cause, deciding)


def _decide(own: list[Line], around: list[Line]) -> tuple[str, list[Line]]:
    """Return what decided the request's end, and the lines that show it."""
    answers = [line for line in own if line.event == "job_answered"]
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    stopped = [line for line in own if "reason=session_ended" in line.text]
    health = [line for line in around if line.event == "runner_health" and "sick" in line.text]
    if answers and "outcome=refused" in answers[-1].text:
        return _decide_refused(own, answers[-1])
    if answers and "outcome=failed" in answers[-1].text:
        return _decide_failed(own, answers[-1])
    if answers and "outcome=givenup" in answers[-1].text:
        return _decide_unknown(own, around, answers[-1])
    left = [line for line in own if line.event == "caller_left"]
    if not answers and left and left[-1] == max([*left, *stopped]):
        return "its caller's connection ended before its answer", [*stopped, *left]
    if not answers and stopped:
        return _decide_stopped(around, stopped)
    if failures:
        return "delayed by failed runs", [*failures, *health, *answers]
    if answers:
        return "answered", [answers[-1]]
    return "no end in these lines: ask for the log of the entry that took it", [own[-1]]


def _decide_refused(own: list[Line], answer: Line) -> tuple[str, list[Line]]:
    """Return what a refusal says of the request: an earlier try of its key may have run."""
    begun = [line for line in own if line.event.startswith("run_") and _BEGUN.search(line.text)]
    if begun:
        return "refused: nothing of its last try has run, but an earlier one had begun", [
            *begun,
            answer,
        ]
    return "refused: nothing of it has run", [answer]


def _decide_stopped(around: list[Line], stopped: list[Line]) -> tuple[str, list[Line]]:
    """Return what is known of a request without an answer whose targets ended their sessions.

    Its entry may have ended, stood still or been cut off; only its own lines tell which.
    """
    over = [line for line in around if line.event == "session_ended"]
    entry = [line for line in around if line.event in _ENTRY_EVENTS]
    cause = "its targets heard no more of its entry, and stopped what it had started"
    return cause, [*entry, *over, *stopped]


def _decide_unknown(own: list[Line], around: list[Line], answer: Line) -> tuple[str, list[Line]]:
    """Return why it is not known what became of a job, and the lines that show it."""
    given_up = _given_up(own)
    reason = _reason(answer)
    if given_up and reason in _UNKNOWN:
        shown = [*_lost_runners(around, answer), *given_up, answer]
        return f"given up: {_UNKNOWN[reason]}; its tasks may have run", shown
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    why = f" ({reason})" if reason else ""
    return f"given up{why}: its tasks may have run", [*failures, answer]


def _given_up(own: list[Line]) -> list[Line]:
    return [line for line in own if line.event == "job_given_up"]


def _lost_runners(around: list[Line], answer: Line) -> list[Line]:
    """Return the lines on lost runners that name a run of the job."""
    return [line for line in around if line.event == "runner_lost" and answer.job in line.text]


def _reason(line: Line) -> str:
    found = _REASON.search(line.text)
    return found[1] if found else ""


def _decide_failed(own: list[Line], answer: Line) -> tuple[str, list[Line]]:
    """Return why a job was answered as failed, and the lines that show it."""
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    if "reason=attempts" not in answer.text:
        return "failed: these lines don't show why", [*failures, answer]
    return "failed: its tasks failed as often as the queue allows", [*failures, answer]


@click.command()
@click.argument("key")
@click.argument("files", nargs=-1, type=click.Path(path_type=Path, dir_okay=False, exists=True))
def explain(key: str, files: tuple[Path, ...]) -> None:
    """Print the way of request KEY through the log FILES (or standard input)."""
    lines = [line for line in _read(files) if line is not None]
    explanation = explain_request(lines, key)
    if explanation is None:
        raise click.ClickException(f"no line of {key} in {len(lines)} log lines")
    for line in explanation.lines:
        click.echo(_shown(line))
    click.echo(f"cause: {explanation.cause}")
    for line in explanation.deciding:
        click.echo(f"  {_shown(line)}")


def _read(files: tuple[Path, ...]) -> Iterable[Line | None]:
    if not files:
        for raw in sys.stdin:
            yield read_line(raw)
    for file in files:
        for raw in file.read_text(errors="replace").splitlines():
            yield read_line(raw, file.stem)


def _shown(line: Line) -> str:
    return f"{line.time} {line.node} {line.event} {line.text}"
