import queue
import socket
import time
from threading import Thread

import pytest
from paddleshunt_core.effects import Start
from paddleshunt_node.runner import Ended, NotReached, Runner, RunnerOutcome
from paddleshunt_platform.standins.ports import free_port
from system import RunnerStandIn


def run_one(url: str, payload: bytes, timeout: float = 10.0) -> RunnerOutcome:
    box: queue.SimpleQueue[RunnerOutcome] = queue.SimpleQueue()
    runner = Runner(url, 1, lambda task, outcome: box.put(outcome))
    runner.start()
    runner.run(Start("s", "results", 0, payload, timeout))
    outcome = box.get(timeout=30)
    runner.stop()
    return outcome


def test_result_and_failure() -> None:
    service = RunnerStandIn()
    assert run_one(service.url, b"21") == Ended(True, b"42")
    assert run_one(service.url, b'"fail"') == Ended(False, b"told to fail")
    service.close()


def test_missing_runner_is_not_reached() -> None:
    assert isinstance(run_one(f"http://127.0.0.1:{free_port()}/", b"1"), NotReached)


def answer_with(server: socket.socket, raw: bytes, pause: float = 0.0) -> None:
    connection, _ = server.accept()
    connection.recv(65536)
    time.sleep(pause)
    connection.sendall(raw)
    connection.close()


@pytest.mark.parametrize(
    ("raw", "timeout", "outcome"),
    [
        pytest.param(b"", 10.0, Ended(None, b""), id="cut off"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1", 10.0, Ended(None, b""), id="cut short"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
            10.0,
            Ended(False, b"the runner's result is not JSON"),
            id="no JSON",
        ),
        pytest.param(b"", 0.05, Ended(False, b"ran out of time"), id="too slow"),
    ],
)
def test_broken_runner(raw: bytes, timeout: float, outcome: Ended) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        pause = 0.5 if timeout < 1 else 0.0
        thread = Thread(target=answer_with, args=(server, raw, pause))
        thread.start()
        url = f"http://127.0.0.1:{server.getsockname()[1]}/"
        assert run_one(url, b"1", timeout) == outcome
        thread.join()
