"""`paddleshunt submit`: get a submission id, submit under it, and retry with the same id."""

import time
from pathlib import Path
from typing import Any

import click
import msgspec

from paddleshunt_cli.entries import EntryClient, EntryError, Reply

REPLY_GRACE_SECONDS = 10.0
"""Time past the job's deadline to wait for its answer."""

DEFAULT_DEADLINE_MS = 10_000

EXIT_STATUS = {"complete": 0, "failed": 3, "not_run": 4, "not_accepted": 5, "unknown": 6}
"""Exit status for each outcome; others exit with 1."""

_CREATED = 201


def submit_job(clients: list[EntryClient], job: dict[str, Any], tries: int) -> dict[str, Any]:
    """Submit a job and return its answer, with up to `tries` attempts while it isn't accepted."""
    submission = _mint_id(clients, str(job.get("service", "")), tries)
    body = msgspec.json.encode(job)
    timeout = job.get("deadline_ms", DEFAULT_DEADLINE_MS) / 1000 + REPLY_GRACE_SECONDS
    answer: dict[str, Any] = {"id": submission, "outcome": "not_accepted"}
    for attempt in range(tries):
        client = clients[attempt % len(clients)]
        reply = client.call("PUT", f"/v1/submissions/{submission}", body, timeout)
        if isinstance(reply, EntryError):
            click.echo(f"{reply}; retrying with the same id", err=True)
            answer = {"id": submission, "outcome": "unknown", "reason": reply.reason}
            time.sleep(0.5)
            continue
        answer = _checked_answer(reply)
        if answer.get("outcome") != "not_accepted":
            return answer
        time.sleep(max(0.2, reply.retry_after))
    return answer


def load_job(file: Path) -> dict[str, Any]:
    """Return the job in a JSON file."""
    try:
        job = msgspec.json.decode(file.read_bytes())
    except OSError as error:
        raise click.ClickException(f"{file}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{file}: expected JSON: {error}") from error
    if not isinstance(job, dict):
        raise click.ClickException(f"{file}: expected a JSON object")
    return job


def _mint_id(clients: list[EntryClient], service: str, tries: int) -> str:
    problem = ""
    for attempt in range(tries):
        client = clients[attempt % len(clients)]
        body = msgspec.json.encode({"service": service})
        reply = client.call("POST", "/v1/submissions", body)
        if isinstance(reply, EntryError):
            problem = str(reply)
        elif reply.status == _CREATED:
            return str(reply.body["id"])
        else:
            problem = _checked_answer(reply).get("reason", "refused")
        time.sleep(0.5)
    raise click.ClickException(f"no submission id received: {problem}")


def _checked_answer(reply: Reply) -> dict[str, Any]:
    """Return the answer in a reply; raise ClickException if the entry rejected the request."""
    if isinstance(reply.body, dict) and "error" in reply.body:
        field = reply.body.get("field", "request")
        raise click.ClickException(f"{field}: {reply.body['error']}")
    return dict(reply.body)
