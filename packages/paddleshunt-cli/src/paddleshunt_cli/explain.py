"""`paddleshunt explain`: trace one request through the logs of several processes."""

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
"""Process events that may affect the outcome of a request without naming it."""

_ENTRY_EVENTS = frozenset({"started", "stopped", "leaving", "stood_still"})
"""Events of an entry's process that may explain why its sessions ended."""

_RUN_BEGUN = re.compile(r"answer=started|end=(done|failed|stopped|lost|stuck)\b")
"""Matches the log line of a run that has begun."""

_REASON = re.compile(r"reason=(\S+)")

_GIVEN_UP_CAUSES = {
    "ended_runners": "two runners that had one of its tasks have ended",
    "silent_runners": "two runners were lost under one of its tasks and may yet answer",
    "lost_sessions": "a runner and sessions with targets were lost under one of its tasks",
    "retries": "one of its tasks was tried too often in vain",
}
"""Cause of the end of a job that was given up, by the reason in its answer."""


@final
@dataclass(frozen=True, slots=True, order=True)
class Line:
    """One log line; `node` is the process that wrote it, or empty if unknown."""

    time: str
    node: str
    event: str
    text: str
    job: str

    def concerns(self, key: str) -> bool:
        """Return whether the line names the request or one of its tasks."""
        return self.job == key or self.job.startswith(f"{key}.")


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """The lines of one request in order, the cause of its outcome and the lines that show it."""

    lines: list[Line]
    cause: str
    deciding: list[Line]


def read_line(raw: str, source: str = "") -> Line | None:
    """Parse a log line, with or without a prefix of time and process name; None if it isn't one."""
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
    """Return the explanation of request `key`, or None if no line names it."""
    in_order = sorted(lines)
    own = [line for line in in_order if line.concerns(key)]
    if not own:
        return None
    entry = next((line.node for line in own if line.event == "job_admitted"), "")
    nodes = {line.node for line in own}
    process_lines = [
        line
        for line in in_order
        if line.event in _PROCESS_EVENTS
        and own[0].time <= line.time <= own[-1].time
        and (line.node in nodes or (entry and f"entry={entry}" in line.text))
    ]
    cause, deciding = _find_cause(own, process_lines)
    return Explanation(sorted([*own, *process_lines]), cause, deciding)


def _find_cause(own: list[Line], process_lines: list[Line]) -> tuple[str, list[Line]]:
    """Return the cause of the request's outcome, and the lines that show it."""
    answers = [line for line in own if line.event == "job_answered"]
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    stopped = [line for line in own if "reason=session_ended" in line.text]
    health = [
        line for line in process_lines if line.event == "runner_health" and "sick" in line.text
    ]
    if answers and "outcome=refused" in answers[-1].text:
        return _explain_refused(own, answers[-1])
    if answers and "outcome=failed" in answers[-1].text:
        return _explain_failed(own, answers[-1])
    if answers and "outcome=cancelled" in answers[-1].text:
        cancelled = [line for line in own if line.event == "job_cancelled"]
        return "cancelled by a caller", [*cancelled, answers[-1]]
    if answers and "outcome=givenup" in answers[-1].text:
        return _explain_given_up(own, process_lines, answers[-1])
    caller_left = [line for line in own if line.event == "caller_left"]
    if not answers and caller_left and caller_left[-1] == max([*caller_left, *stopped]):
        return "its caller's connection ended before its answer", [*stopped, *caller_left]
    if not answers and stopped:
        return _explain_stopped(process_lines, stopped)
    if failures:
        return "delayed by failed runs", [*failures, *health, *answers]
    if answers:
        return "answered", [answers[-1]]
    return "no end in these lines: ask for the log of the entry that took it", [own[-1]]


def _explain_refused(own: list[Line], answer: Line) -> tuple[str, list[Line]]:
    """Explain a refusal; an earlier attempt under the same key may have run."""
    begun_runs = [
        line for line in own if line.event.startswith("run_") and _RUN_BEGUN.search(line.text)
    ]
    if begun_runs:
        return "refused: nothing of its last try has run, but an earlier one had begun", [
            *begun_runs,
            answer,
        ]
    return "refused: nothing of it has run", [answer]


def _explain_stopped(process_lines: list[Line], stopped: list[Line]) -> tuple[str, list[Line]]:
    """Explain a request without an answer whose targets ended their sessions with its entry.

    The entry may have ended, paused or been disconnected; only its own log lines show which.
    """
    sessions_ended = [line for line in process_lines if line.event == "session_ended"]
    entry_lines = [line for line in process_lines if line.event in _ENTRY_EVENTS]
    cause = "its targets heard no more of its entry, and stopped what it had started"
    return cause, [*entry_lines, *sessions_ended, *stopped]


def _explain_given_up(
    own: list[Line], process_lines: list[Line], answer: Line
) -> tuple[str, list[Line]]:
    """Explain a job that was given up with an unknown outcome."""
    given_up = _given_up_lines(own)
    reason = _reason(answer)
    if given_up and reason in _GIVEN_UP_CAUSES:
        shown = [*_lost_runners(process_lines, answer), *given_up, answer]
        return f"given up: {_GIVEN_UP_CAUSES[reason]}; its tasks may have run", shown
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    suffix = f" ({reason})" if reason else ""
    return f"given up{suffix}: its tasks may have run", [*failures, answer]


def _given_up_lines(own: list[Line]) -> list[Line]:
    return [line for line in own if line.event == "job_given_up"]


def _lost_runners(process_lines: list[Line], answer: Line) -> list[Line]:
    """Return the lines of lost runners that name a run of the job."""
    return [
        line for line in process_lines if line.event == "runner_lost" and answer.job in line.text
    ]


def _reason(line: Line) -> str:
    match = _REASON.search(line.text)
    return match[1] if match else ""


def _explain_failed(own: list[Line], answer: Line) -> tuple[str, list[Line]]:
    """Explain a job that was answered as failed."""
    failures = [line for line in own if line.event == "run_ended" and "end=failed" in line.text]
    if "reason=attempts" not in answer.text:
        return "failed: these lines don't show why", [*failures, answer]
    return "failed: its tasks failed as often as the queue allows", [*failures, answer]


@click.command()
@click.argument("key")
@click.argument("files", nargs=-1, type=click.Path(path_type=Path, dir_okay=False, exists=True))
def explain(key: str, files: tuple[Path, ...]) -> None:
    """Trace request KEY through the log FILES (or standard input)."""
    lines = [line for line in _read_lines(files) if line is not None]
    explanation = explain_request(lines, key)
    if explanation is None:
        raise click.ClickException(f"no line of {key} in {len(lines)} log lines")
    for line in explanation.lines:
        click.echo(_format_line(line))
    click.echo(f"cause: {explanation.cause}")
    for line in explanation.deciding:
        click.echo(f"  {_format_line(line)}")


def _read_lines(files: tuple[Path, ...]) -> Iterable[Line | None]:
    if not files:
        for raw in sys.stdin:
            yield read_line(raw)
    for file in files:
        for raw in file.read_text(errors="replace").splitlines():
            yield read_line(raw, file.stem)


def _format_line(line: Line) -> str:
    return f"{line.time} {line.node} {line.event} {line.text}"
