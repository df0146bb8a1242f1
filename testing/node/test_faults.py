"""Processes that are killed, frozen or stopped while they run jobs (SIGKILL, SIGSTOP, SIGTERM)."""

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from threading import Thread
from typing import Any

import pytest
import urllib3
from processes import Fleet, Size, get_json
from system import SERVICE, RunnerStandIn, wait_for

TINY = Size("tiny", {"hall": 3}, entries=2, slots=2)
TASKS = 6
CALL_TIMEOUT_SECONDS = 60.0


class Callers:
    """Callers of the fleet; each submission has its own thread."""

    def __init__(self, fleet: Fleet) -> None:
        self._urls = [fleet.daemons[f"entry-{number}"].url for number in range(TINY.entries)]
        self.answers: dict[str, list[dict[str, Any]]] = {}
        self._threads: list[Thread] = []

    def mint(self, entry: int = 0) -> str:
        body = json.dumps({"service": SERVICE}).encode()
        url = f"{self._urls[entry]}/v1/submissions"
        reply = urllib3.request("POST", url, body=body, retries=False, timeout=CALL_TIMEOUT_SECONDS)
        return str(reply.json()["id"])

    def put(self, submission: str, tasks: list[Any], entry: int = 0) -> None:
        """Submit on a thread that appends the answer to `answers`."""
        thread = Thread(target=self._put, args=(submission, tasks, entry))
        thread.start()
        self._threads.append(thread)

    def join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _put(self, submission: str, tasks: list[Any], entry: int) -> None:
        body = json.dumps({"service": SERVICE, "tasks": tasks, "deadline_ms": 30_000}).encode()
        url = f"{self._urls[entry]}/v1/submissions/{submission}"
        try:
            reply = urllib3.request(
                "PUT", url, body=body, retries=False, timeout=CALL_TIMEOUT_SECONDS
            )
            answer = reply.json()
        except (urllib3.exceptions.HTTPError, OSError):
            answer = {"outcome": "no answer"}
        self.answers.setdefault(submission, []).append(answer)


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    runner = RunnerStandIn()
    yield runner
    runner.close()


@pytest.fixture
def fleet(tmp_path: Path, runner: RunnerStandIn) -> Iterator[Fleet]:
    fleet = Fleet(TINY, tmp_path, runner.url)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def start_blocked_job(callers: Callers, runner: RunnerStandIn, tasks: int = TASKS) -> str:
    """Submit a job whose tasks block in the runner, and return once all have reached it."""
    submission = callers.mint()
    callers.put(submission, [["wait", number] for number in range(tasks)])
    wait_for(lambda: len(runner.seen) >= tasks)
    return submission


def home_host(fleet: Fleet) -> str:
    """Return the name of the target that is the home of the running job."""
    jobs = {d.name: get_json(d.url + "/v1/dump")["home"]["jobs"] for d in fleet.of_role("target")}
    return max(jobs, key=lambda name: jobs[name])


def restart_killed(fleet: Fleet, name: str) -> None:
    """Kill a target, restart it, and wait until every entry knows the new incarnation.

    Until then an entry may mint an id for the killed one, whose job is answered with `unknown`.
    """
    entries = fleet.of_role("entry")
    killed = {incarnation_of(entry.url, name) for entry in entries}
    fleet.daemons[name].process.kill()
    fleet.daemons[name].process.wait()
    fleet.launch(name)
    wait_for(lambda: all(incarnation_of(entry.url, name) not in killed for entry in entries))


def incarnation_of(url: str, host: str) -> str:
    """Return the incarnation of a host that an entry knows; empty if none."""
    names = [str(m["incarnation"]) for m in get_json(url + "/v1/dump")["members"]]
    return next((name for name in names if name.startswith(f"{host}~")), "")


def check_recovered(callers: Callers, runner: RunnerStandIn) -> None:
    """Check that no task started twice and that a new job completes."""
    assert set(runner.seen.values()) == {1}, runner.seen
    submission = callers.mint(1)
    callers.put(submission, [1, 2, 3], entry=1)
    callers.join()
    assert callers.answers[submission][0]["results"] == [2, 4, 6]


def test_killed_target_makes_its_job_unknown(fleet: Fleet, runner: RunnerStandIn) -> None:
    callers = Callers(fleet)
    submission = start_blocked_job(callers, runner)
    home = home_host(fleet)
    victim = next(d.name for d in fleet.of_role("target") if d.name != home)
    restart_killed(fleet, victim)
    callers.join()
    assert callers.answers[submission][0]["outcome"] == "unknown"
    runner.release()
    fleet.wait_ready()
    check_recovered(callers, runner)


def test_killed_home_makes_its_job_unknown(fleet: Fleet, runner: RunnerStandIn) -> None:
    callers = Callers(fleet)
    submission = start_blocked_job(callers, runner)
    home = home_host(fleet)
    restart_killed(fleet, home)
    callers.join()
    assert callers.answers[submission][0]["outcome"] == "unknown"
    callers.put(submission, [["wait", number] for number in range(TASKS)], entry=1)
    callers.join()
    assert callers.answers[submission][1]["outcome"] == "unknown"
    runner.release()
    fleet.wait_ready()
    check_recovered(callers, runner)


def test_killed_entry_loses_no_answer(fleet: Fleet, runner: RunnerStandIn) -> None:
    callers = Callers(fleet)
    submission = start_blocked_job(callers, runner)
    fleet.daemons["entry-0"].process.kill()
    fleet.daemons["entry-0"].process.wait()
    callers.join()
    assert callers.answers[submission][0]["outcome"] == "no answer"
    callers.put(submission, [["wait", number] for number in range(TASKS)], entry=1)
    runner.release()
    callers.join()
    assert callers.answers[submission][1]["results"] == [0, 2, 4, 6, 8, 10]
    check_recovered(callers, runner)


def test_frozen_target_resumes_under_its_incarnation(fleet: Fleet, runner: RunnerStandIn) -> None:
    callers = Callers(fleet)
    submission = start_blocked_job(callers, runner)
    home = home_host(fleet)
    frozen = next(d for d in fleet.of_role("target") if d.name != home)
    entry = fleet.daemons["entry-0"].url
    frozen.process.send_signal(signal.SIGSTOP)
    wait_for(lambda: any(m["suspect"] for m in get_json(entry + "/v1/dump")["members"]))
    runner.release()
    frozen.process.send_signal(signal.SIGCONT)
    callers.join()
    assert callers.answers[submission][0]["results"] == [0, 2, 4, 6, 8, 10]
    check_recovered(callers, runner)


def test_stopped_target_exits_while_the_store_is_down(fleet: Fleet, runner: RunnerStandIn) -> None:
    callers = Callers(fleet)
    submission = start_blocked_job(callers, runner)
    fleet.store.down = True
    leaving = fleet.daemons[home_host(fleet)]
    leaving.process.send_signal(signal.SIGTERM)
    wait_for(lambda: get_json(leaving.url + "/v1/dump")["gate"]["leaving"])
    runner.release()
    callers.join()
    assert callers.answers[submission][0]["results"] == [0, 2, 4, 6, 8, 10]
    assert leaving.process.wait(timeout=CALL_TIMEOUT_SECONDS) == 0
    check_recovered(callers, runner)
