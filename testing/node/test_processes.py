"""End-to-end tests through HTTP, filters, sockets, gates and a stand-in runner."""

import json
from contextlib import ExitStack
from threading import Thread
from typing import Any

import pytest
import urllib3
from paddleshunt_core.ids import Incarnation, mint
from system import KEY, SERVICE, System, start_system, wait_for


def times_seen(system: System, submission: str) -> list[int]:
    return [n for name, n in system.runner.seen.items() if name.startswith(submission + "/")]


def test_job_runs_and_its_answer_is_complete(system: System) -> None:
    submission = system.mint()
    status, answer = system.put(submission, [1, 2, 3])
    assert status == 200
    assert answer == {
        "id": submission,
        "outcome": "complete",
        "ask_again": "same_id",
        "results": [2, 4, 6],
    }


def test_repeated_put_through_the_other_entry_gets_the_same_answer(system: System) -> None:
    submission = system.mint()
    first = system.put(submission, [1, 2, 3])
    again = system.put(submission, [1, 2, 3], "entry-1")
    assert again == first
    assert times_seen(system, submission) == [1, 1, 1]
    assert system.call("GET", f"{system.urls['entry-1']}/v1/submissions/{submission}") == first


def test_different_body_under_the_same_id_conflicts(system: System) -> None:
    submission = system.mint()
    system.put(submission, [1])
    status, answer = system.put(submission, [2])
    assert (status, answer["outcome"]) == (409, "conflict")


def test_mint_and_submit_in_one_request(system: System) -> None:
    body = {"service": SERVICE, "tasks": ["a"]}
    status, answer = system.call("POST", system.urls["entry-0"] + "/v1/jobs", body)
    assert (status, answer["results"]) == (200, ["a"])


def test_failed_task_fails_the_job(system: System) -> None:
    status, answer = system.put(system.mint(), [1, "fail"])
    assert (status, answer["outcome"], answer["failed"]) == (422, "failed", [1])
    assert answer["reason"] == "task 1: told to fail"


def test_minted_id_without_a_submission_is_not_submitted(system: System) -> None:
    submission = system.mint()
    found = system.call("GET", f"{system.urls['entry-0']}/v1/submissions/{submission}")
    assert found == (404, {"id": submission, "state": "not_submitted"})


@pytest.mark.parametrize(
    ("body", "status", "field"),
    [
        pytest.param(b"{", 400, "body", id="not JSON"),
        pytest.param(b"[]", 400, "body", id="no object"),
        pytest.param({"tasks": [1]}, 400, "body", id="no service"),
        pytest.param({"service": 5, "tasks": [1]}, 400, "service", id="wrong type"),
        pytest.param({"service": SERVICE, "tasks": 1}, 400, "tasks", id="no list"),
        pytest.param({"service": SERVICE, "tasks": []}, 400, "tasks", id="no tasks"),
        pytest.param({"service": SERVICE, "tasks": [1] * 51}, 413, "tasks", id="too many"),
        pytest.param({"service": "none", "tasks": [1]}, 404, "service", id="unknown service"),
        pytest.param({"service": SERVICE, "tasks": [1], "x": 1}, 400, "body", id="unknown field"),
        pytest.param(
            {"service": SERVICE, "tasks": [1], "deadline_ms": 0}, 400, "deadline_ms", id="deadline"
        ),
        pytest.param({"service": SERVICE, "tasks": ["x" * 70_000]}, 413, "", id="too long"),
    ],
)
def test_bad_request_is_refused_naming_the_field(
    system: System, body: object, status: int, field: str
) -> None:
    before = sum(system.runner.seen.values())
    found, answer = system.call("POST", system.urls["entry-0"] + "/v1/jobs", body)
    assert (found, answer.get("field", "")) == (status, field), answer
    assert sum(system.runner.seen.values()) == before


@pytest.mark.parametrize("name", ["", "x", "tcp:10.0.0.1:1", "A" * 300], ids=len)
def test_forged_id_is_refused(system: System, name: str) -> None:
    status, answer = system.put(name or "%20", [1])
    assert status in (400, 404), answer


def test_id_of_an_unknown_home_makes_no_connection(system: System, rng: Any) -> None:
    forged = mint(Incarnation("10.9.8.7", "1"), 0, rng)
    status, answer = system.put(forged, [1])
    assert (status, answer["outcome"]) == (503, "not_accepted")


def test_id_of_an_earlier_incarnation_is_unknown(system: System, rng: Any) -> None:
    forged = mint(Incarnation("target-0", "0"), 0, rng)
    status, answer = system.put(forged, [1])
    assert (status, answer["outcome"]) == (410, "unknown")


@pytest.mark.parametrize("name", ["entry-0", "target-0"])
def test_operators_pages(system: System, name: str) -> None:
    url = system.urls[name]
    assert system.call("GET", url + "/healthz") == (200, {"status": "ok"})
    status, dump = system.call("GET", url + "/v1/dump")
    assert status == 200
    assert dump["incarnation"].startswith(name)
    page = urllib3.request("GET", url + "/metrics").data.decode()
    assert "paddleshunt_messages_total{" in page
    assert system.call("GET", url + "/nothing")[0] == 404


@pytest.mark.parametrize(
    ("headers", "status"),
    [({}, 403), ({"Paddleshunt-Key": "guess"}, 403), ({"Paddleshunt-Key": KEY}, 202)],
    ids=["no key", "another key", "the key"],
)
def test_only_operators_may_put_a_table(
    system: System, headers: dict[str, str], status: int
) -> None:
    url = system.urls["entry-0"]
    table = system.call("GET", url + "/v1/dump")[1]["table"]
    revision = table["revision"]
    body = json.dumps(table | {"revision": revision + 1}).encode()
    found = urllib3.request("PUT", url + "/v1/table", body=body, headers=headers, retries=False)
    assert found.status == status

    def in_force() -> int:
        return int(system.call("GET", url + "/v1/dump")[1]["table"]["revision"])

    if status == 202:
        wait_for(lambda: in_force() == revision + 1)
    assert in_force() == revision + (status == 202)


def test_planned_stop_of_a_target_interrupts_no_task() -> None:
    with ExitStack() as stack:
        system = start_system(stack)
        submission = system.mint()
        found: list[Any] = []
        tasks = [["wait", number] for number in range(4)]
        caller = Thread(target=lambda: found.append(system.put(submission, tasks)))
        caller.start()
        wait_for(lambda: len(times_seen(system, submission)) == 4)
        leaving = Thread(target=system.targets["target-0"].leave, args=(20.0,))
        leaving.start()
        wait_for(lambda: system.call("GET", system.urls["target-0"] + "/healthz")[0] == 503)
        system.runner.release()
        caller.join()
        leaving.join()
        del system.targets["target-0"]
        assert found[0][0] == 200, found
        assert found[0][1]["results"] == [0, 2, 4, 6]
        assert system.put(system.mint(), [5])[0] == 200


def test_planned_stop_of_an_entry_answers_waiting_callers() -> None:
    with ExitStack() as stack:
        system = start_system(stack)
        submission = system.mint()
        found: list[Any] = []
        caller = Thread(target=lambda: found.append(system.put(submission, [["wait", 1]])))
        caller.start()
        wait_for(lambda: times_seen(system, submission) == [1])
        leaving = Thread(target=system.entries["entry-0"].leave, args=(20.0,))
        leaving.start()
        wait_for(lambda: system.call("GET", system.urls["entry-0"] + "/healthz")[0] == 503)
        system.runner.release()
        caller.join()
        leaving.join()
        del system.entries["entry-0"]
        assert found == [(200, found[0][1])]
        assert found[0][1]["results"] == [2]
