"""Client of a target's runner: one HTTP POST per task, never retried.

A task's name is sent in the header `Paddleshunt-Task` as `submission/index`. With status 200 the
body is the task's result; with any other status the task failed, and the body is the reason.
"""

import queue
from collections.abc import Callable
from dataclasses import dataclass
from threading import Thread
from typing import final

import msgspec
import urllib3
from paddleshunt_core.effects import Start
from urllib3.exceptions import HTTPError, NewConnectionError, ReadTimeoutError

TASK_HEADER = "Paddleshunt-Task"

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for connecting to the runner."""

_OK = 200
_MAX_REASON_BYTES = 500


@final
@dataclass(frozen=True, slots=True)
class Ended:
    """The task ended; `ok` is None if the request was sent and the response lost."""

    ok: bool | None
    payload: bytes


@final
@dataclass(frozen=True, slots=True)
class NotReached:
    """The task provably never reached the runner."""

    reason: str


RunnerOutcome = Ended | NotReached


@final
class Runner:
    """Runs tasks on `slots` threads, and calls `done` with the outcome of each."""

    def __init__(self, url: str, slots: int, done: Callable[[Start, RunnerOutcome], None]) -> None:
        self._url = url
        self._done = done
        self._pool = urllib3.PoolManager(retries=False, maxsize=slots)
        self._tasks: queue.SimpleQueue[Start | None] = queue.SimpleQueue()
        self._threads = [
            Thread(target=self._run, name=f"runner-{number}", daemon=True)
            for number in range(slots)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def run(self, task: Start) -> None:
        """Run a task as soon as a thread is free."""
        self._tasks.put(task)

    def stop(self) -> None:
        """End the threads once they are idle."""
        for _ in self._threads:
            self._tasks.put(None)
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while (task := self._tasks.get()) is not None:
            self._done(task, self._post(task))

    def _post(self, task: Start) -> RunnerOutcome:
        headers = {
            TASK_HEADER: f"{task.submission}/{task.index}",
            "Content-Type": "application/json",
        }
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=max(0.001, task.timeout))
        try:
            response = self._pool.request(
                "POST", self._url, body=task.payload, headers=headers, timeout=timeout
            )
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
            return NotReached(str(error))
        except ReadTimeoutError:
            return Ended(False, b"ran out of time")
        except (HTTPError, OSError):
            return Ended(None, b"")
        if response.status != _OK:
            return Ended(False, response.data[:_MAX_REASON_BYTES] or b"no reason given")
        return _check_result(response.data)


def _check_result(body: bytes) -> Ended:
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError:
        return Ended(False, b"the runner's result is not JSON")
    return Ended(True, body)
