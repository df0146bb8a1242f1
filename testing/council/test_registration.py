"""A runner's heartbeats."""

import pytest
from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.resources import Resources
from paddleshunt_council.registration import Registration
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import RunnerEnds

BEAT = (
    b'{"service":"s","address":"10.0.0.9:8080","zone":"hall","state":"draining","remaining_ms":1500,'
    b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a"],"sequence":4}'
)


def read(path: str, body: bytes = b"", method: str = "POST") -> object:
    return Registration().read(Request(method, path, {}, body))


def test_a_heartbeat_is_an_account() -> None:
    assert read("/paddleshunt/Instances.Heartbeat/i-7", BEAT) == RunnerAccount(
        "i-7",
        "s",
        "hall",
        Resources(16000, 32768, 1),
        leaving=True,
        remaining=1.5,
        labels=("a",),
        sequence=4,
        kind="a",
    )


def test_a_runner_says_that_it_ends() -> None:
    assert read("/paddleshunt/Instances.Deregister/i-7") == RunnerEnds("i-7")


@pytest.mark.parametrize(
    ("path", "body", "method", "status"),
    [
        ("/paddleshunt/Instances.Heartbeat/i-7", b"{}", "POST", 400),
        ("/paddleshunt/Instances.Heartbeat/i-7", BEAT, "GET", 405),
        ("/elsewhere", BEAT, "POST", 404),
    ],
    ids=["malformed", "method", "path"],
)
def test_other_requests_are_refused(path: str, body: bytes, method: str, status: int) -> None:
    answer = read(path, body, method)
    assert isinstance(answer, Response)
    assert answer.status == status
