"""Callers cancel jobs: at the entry that holds them or another, waiting or running, early or late.

Guards against a cancellation that is answered but not carried out.
"""

import asyncio
import json

import pytest
from councilsystem import System, play, until, until_true
from paddleshunt_core.leased import cancellations
from paddleshunt_council.callers import HttpCallerCodec
from paddleshunt_council.store import StoreClient
from paddleshunt_node.aio.entryservice import EntryConfig, EntryService
from paddleshunt_node.aio.httpclient import HttpClient, HttpResponse
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_platform.standins.ports import free_port

KEY = "5c0e7a21d94b36f8"
OTHER_KEY = "0123456789abcdef"
CANCELLED = (200, b'{"state":"cancelled"}')


class TwoEntries(System):
    """A system with a second entry, `other`."""

    async def start(self) -> None:
        await super().start()
        self.other_around = ProcessContext(LogWriter("info"), Metrics())
        self.other_callers, self.other_ready, other_peers, pages = (
            f"127.0.0.1:{free_port()}" for _ in range(4)
        )
        config = EntryConfig(
            "e2",
            "hall",
            self.other_callers,
            self.other_ready,
            other_peers,
            pages,
            (self.peers,),
            self.bounds,
        )
        self.other = EntryService(
            config,
            HttpCallerCodec(self.other_around.refuse),
            StoreClient(self.store.address, 1000, self.other_around.refuse),
            self.other_around,
        )
        self.other_run = asyncio.ensure_future(self.other.run())

    async def open(self) -> None:
        await super().open()
        await until_true(lambda: self.knows_both_ways() and self.target_serves_both())

    def knows_both_ways(self) -> bool:
        dumps = self.entry.describe(), self.other.describe()
        return [dump["entries"] for dump in dumps] == [["e2"], ["e1"]]

    def target_serves_both(self) -> bool:
        return set(self.target.describe()["sessions"]) == {"e1", "e2"}  # type: ignore[call-overload]

    async def end(self) -> None:
        self.other_around.cancel()
        self.other_run.cancel()
        await asyncio.gather(self.other_run, return_exceptions=True)
        await super().end()


async def ask(
    callers: str, method: str, key: str = KEY, body: bytes = b"", wait: float = 10.0
) -> tuple[int, bytes]:
    answer = await HttpClient(callers).call(method, f"/q/{key}", wait, body)
    return answer.status, answer.body


def result_of(answer: HttpResponse) -> tuple[int, bytes]:
    return answer.status, answer.body


@pytest.mark.parametrize("at_other", [False, True], ids=["holder", "other_entry"])
def test_cancelled_job_is_stopped_and_its_caller_answered(*, at_other: bool) -> None:
    async def scene(system: System) -> None:
        assert isinstance(system, TwoEntries)
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 8000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        assert await ask(system.callers, "GET") == (200, b'{"state":"running"}')
        asked = system.other_callers if at_other else system.callers
        assert await ask(asked, "DELETE") == CANCELLED
        assert result_of(await job) == CANCELLED
        await until_true(lambda: not system.runner.tasks)
        assert len(system.runner.started) == 3
        assert await ask(system.callers, "GET") == CANCELLED

    play(scene, TwoEntries())


def test_job_that_waits_for_resources_is_cancelled() -> None:
    async def scene(system: System) -> None:
        await system.open()
        first = asyncio.ensure_future(submit_large(system, OTHER_KEY, 4000))
        await until_true(lambda: len(system.runner.tasks) == 1)
        second = asyncio.ensure_future(submit_large(system, KEY, 4000))
        await until_true(lambda: system.entry.describe()["jobs"] == 2)
        assert await ask(system.callers, "GET") == (200, b'{"state":"queued"}')
        assert await ask(system.callers, "DELETE") == CANCELLED
        assert result_of(await second) == CANCELLED
        assert await ask(system.callers, "DELETE", OTHER_KEY) == CANCELLED
        await first
        assert system.runner.started == [f"{OTHER_KEY}.0.0.0"]

    play(scene)


def test_resources_of_a_cancelled_job_serve_the_next() -> None:
    async def scene(system: System) -> None:
        await system.open()
        first = asyncio.ensure_future(submit_large(system, OTHER_KEY, 8000))
        await until_true(lambda: len(system.runner.tasks) == 1)
        second = asyncio.ensure_future(submit_large(system, KEY, 100))
        await until_true(lambda: system.entry.describe()["jobs"] == 2)
        assert await ask(system.callers, "DELETE", OTHER_KEY) == CANCELLED
        assert result_of(await first) == CANCELLED
        assert result_of(await second) == (200, b'{"state":"completed"}')

    play(scene)


async def submit_large(system: System, key: str, milliseconds: int) -> HttpResponse:
    """Submit a job of one task that needs the whole runner."""
    step = {"count": 1, "cpu": 8000, "mem_mb": 10, "estimated_ms": milliseconds}
    job = {"spec": str(milliseconds), "steps": [step], "best_effort": True}
    return await HttpClient(system.callers).call(
        "POST", f"/q/{key}", 10.0, json.dumps(job).encode(), (("X-Deadline-Ms", "20000"),)
    )


@pytest.mark.parametrize("at_other", [False, True], ids=["holder", "other_entry"])
def test_job_that_comes_after_its_cancellation_is_not_started(*, at_other: bool) -> None:
    async def scene(system: System) -> None:
        assert isinstance(system, TwoEntries)
        await system.open()
        asked = system.other_callers if at_other else system.callers
        assert await ask(asked, "DELETE") == (410, b"")
        assert result_of(await system.submit(KEY, 100)) == CANCELLED
        assert system.runner.started == []

    play(scene, TwoEntries())


def test_jobs_cancelled_right_after_their_submission_are_not_run() -> None:
    """The cancellation may be read before the job, or while its placement is put off."""

    async def scene(system: System) -> None:
        assert isinstance(system, TwoEntries)
        await system.open()
        keys = [f"{number:016x}" for number in range(20)]
        jobs = []
        for number, key in enumerate(keys):
            jobs.append(asyncio.ensure_future(system.submit(key, 8000)))
            await asyncio.sleep(0.002 * (number % 3))
            callers = system.other_callers if number % 2 else system.callers
            assert (await ask(callers, "DELETE", key))[0] in (200, 410)
        assert [result_of(await job) for job in jobs] == [CANCELLED] * len(keys)
        await until_true(lambda: not system.runner.tasks)

    play(scene, TwoEntries())


def test_cancellation_that_an_entry_does_not_confirm_is_not_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may hold the job; it handles the cancellation once it goes on."""

    async def scene(system: System) -> None:
        assert isinstance(system, TwoEntries)
        await system.open()
        monkeypatch.setattr(cancellations, "CONFIRMATION_SECONDS", 0.1)
        with monkeypatch.context() as patch:
            patch.setattr(system.entry, "accept_frame", lambda *_: None)
            assert await ask(system.other_callers, "DELETE") == (503, b'{"reason":"unconfirmed"}')
        monkeypatch.setattr(cancellations, "CONFIRMATION_SECONDS", 5.0)
        assert await ask(system.other_callers, "DELETE") == (410, b"")

    play(scene, TwoEntries())


def test_cancellation_reaches_an_entry_that_was_cut_off() -> None:
    async def scene(system: System) -> None:
        assert isinstance(system, TwoEntries)
        await system.open()
        assert await ask(system.callers, "DELETE") == (410, b"")
        for link in system.other._peers.links() + system.entry._peers.links():
            link.close()
        system.other._dispatcher._cancelled._since.clear()
        await until_true(lambda: system.other.describe()["cancelled_jobs"] == 1)

    play(scene, TwoEntries())


def test_cancellation_before_the_first_configuration_is_held() -> None:
    async def scene(system: System) -> None:
        await until(system.beat)
        cancelling = asyncio.ensure_future(ask(system.callers, "DELETE"))
        await asyncio.sleep(0.1)
        await system.open()
        assert await cancelling == (410, b"")
        assert result_of(await system.submit(KEY, 100)) == CANCELLED

    play(scene)


def test_stopping_entry_cancels_and_answers() -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 4000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.stopping.set()
        await asyncio.sleep(0.1)
        assert await ask(system.callers, "DELETE") == CANCELLED
        assert result_of(await job) == CANCELLED
        await asyncio.wait_for(system.entry_run, system.bounds.grace)

    play(scene)
