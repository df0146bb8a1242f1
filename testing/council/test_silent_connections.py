"""Open connections that stop delivering data without a reset, while new ones work."""

import asyncio

import pytest
from councilsystem import System, play, until_true
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus
from paddleshunt_core.leased.resources import NO_RESOURCES
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import Frame, Hello
from paddleshunt_core.leased.worker import Worker
from paddleshunt_node.aio.framing import PeerLink

KEY = "5c0e7a21d94b36f8"


class SilencedLinks:
    """Drops the data that arrives over silenced links between entries and targets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.links: list[PeerLink] = []
        self._silent: set[PeerLink] = set()
        original_connection_made = PeerLink.connection_made
        original_data_received = PeerLink.data_received

        def record_link(link: PeerLink, transport: asyncio.BaseTransport) -> None:
            self.links.append(link)
            original_connection_made(link, transport)

        def receive(link: PeerLink, data: bytes) -> None:
            if link not in self._silent:
                original_data_received(link, data)

        monkeypatch.setattr(PeerLink, "connection_made", record_link)
        monkeypatch.setattr(PeerLink, "data_received", receive)

    def silence_open_links(self) -> None:
        self._silent.update(self.links)


def test_session_survives_repeated_silent_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    silenced = SilencedLinks(monkeypatch)

    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 3200))
        await until_true(lambda: len(system.runner.tasks) == 3)
        sessions = system.target.describe()["sessions"]
        for _ in range(2):
            silenced.silence_open_links()
            await asyncio.sleep(lease_times(system.bounds).session)
        assert (await job).status == 200
        assert system.target.describe()["sessions"] == sessions
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3

    play(scene)


def test_idle_session_survives_a_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    silenced = SilencedLinks(monkeypatch)

    async def scene(system: System) -> None:
        await system.open()
        await asyncio.sleep(0.6)
        sessions = system.target.describe()["sessions"]
        silenced.silence_open_links()
        times = lease_times(system.bounds)
        await asyncio.sleep(times.idle_heartbeat + times.reconnect_after + 2 * times.heartbeat)
        job = await asyncio.wait_for(system.submit(KEY, 100), 1.0)
        assert job.status == 200
        assert system.target.describe()["sessions"] == sessions

    play(scene)


def test_tasks_of_a_silent_idle_target_are_withdrawn_and_run_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    silenced = SilencedLinks(monkeypatch)

    def is_lapsed(system: System) -> bool:
        leases = system.target.describe()["leases"]
        return isinstance(leases, dict) and not leases["e1"]["confirmed"]

    def is_unconfirmed(system: System) -> bool:
        targets = system.entry.describe()["targets"]
        return isinstance(targets, dict) and not targets["t1"]["answered"]

    async def scene(system: System) -> None:
        await system.open()
        await until_true(lambda: is_lapsed(system))
        await asyncio.sleep(0.03)
        silenced.silence_open_links()
        # The job outlasts the interval in which heartbeats detect the silent connection.
        job = asyncio.ensure_future(system.submit(KEY, 2000))
        await until_true(lambda: is_unconfirmed(system))
        assert not system.runner.tasks
        assert (await asyncio.wait_for(job, 10.0)).status == 200
        assert len(system.runner.started) == 3

    play(scene)


def test_target_probes_all_links_when_one_is_silent() -> None:
    """Connections often fail together, and idle sessions would notice only at rare heartbeats."""
    times = lease_times(Bounds())
    worker = Worker(times)
    worker.heartbeat_received(
        0.9, RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", NO_RESOURCES, False, None)
    )
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    for entry in ("a", "b"):
        worker.greeting_answered(1.0, Hello(entry, "life", True, "hall", "", 1, 0), 1.0)
        assert worker.next_frame(1.0, entry, heartbeat_allowed=True) is not None
        worker.frame_received(1.001, entry, Frame(1, 0, 1000, 1000, []))
    assert worker.next_frame(1.3, "b", heartbeat_allowed=True) is None
    worker.probe()
    assert worker.next_frame(1.3, "b", heartbeat_allowed=True) is not None
    assert not worker.is_silent(1.3 + times.reconnect_after - 0.01, "b")
    assert worker.is_silent(1.3 + times.reconnect_after + 0.01, "b")
