"""Tests for `LinkMeter` on real connections, and for an entry whose link is overloaded."""

import asyncio
import fcntl
import socket
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.jobs import JobRequest
from paddleshunt_core.leased.linkpressure import LinkSample, PressureLevel
from paddleshunt_core.leased.outcomes import JobOutcome, Refused
from paddleshunt_core.leased.readiness import UNREADY_AFTER_SECONDS
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_node.aio import entryservice, linkmeter
from paddleshunt_node.aio.entryservice import EntryConfig, EntryService
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.httpclient import HttpClient
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.linkmeter import KERNEL_SAMPLE_CONNECTIONS, LinkMeter
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.ports import OperatorUpdate, Submission
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_platform.standins.ports import free_port

BUFFER = 4096
"""Size of the kernel's socket buffers in bytes; small, so that they fill soon."""


class Connection:
    """A `MeteredConnection` to a peer of this test."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.written = 0

    @property
    def transport(self) -> asyncio.Transport | None:
        transport = self._writer.transport
        assert isinstance(transport, asyncio.Transport)
        return transport

    def write(self, size: int) -> None:
        self.written += size
        self._writer.write(bytes(size))


class Recorder:
    """A `LinkPressure` that records its samples."""

    def __init__(self, *, suspicious: bool = False) -> None:
        self.level = PressureLevel.NORMAL
        self.wait = 0.0
        self.samples: list[LinkSample] = []
        self.suspicious = suspicious

    def needs_full_sample(self, echo_age: float | None) -> bool:
        return self.suspicious

    def add_sample(self, now: float, sample: LinkSample) -> list[Log]:
        self.samples.append(sample)
        return []


def run_with_connections(
    peers: int, scenario: Callable[[list[Connection]], Awaitable[None]]
) -> None:
    """Run a scenario with connections to `peers` peers that never read."""

    async def run() -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        listener.bind(("127.0.0.1", 0))
        listener.listen(peers)
        connections: list[Connection] = []
        accepted: list[socket.socket] = []
        for _ in range(peers):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
            sock.connect(listener.getsockname())
            accepted.append(listener.accept()[0])
            _, writer = await asyncio.open_connection(sock=sock)
            connections.append(Connection(writer))
        await scenario(connections)
        for connection in connections:
            assert connection.transport is not None
            connection.transport.abort()
        for sock in (listener, *accepted):
            sock.close()

    asyncio.run(asyncio.wait_for(run(), 20))


def meter(connections: list[Connection], echo: float | None = None) -> LinkMeter:
    context = ProcessContext(LogWriter("error"), Metrics())
    return LinkMeter(context, lambda: connections, lambda: echo)


def test_one_peer_that_does_not_read_is_no_pressure_but_several_are() -> None:
    async def scenario(connections: list[Connection]) -> None:
        alone = meter(connections[:1])
        several = meter(connections)
        connections[0].write(1_000_000)
        for n in range(6):
            for connection in connections[1:]:
                connection.write(1_000_000 if n == 0 else 1000)
            await asyncio.sleep(0)
            alone.sample(float(n))
            several.sample(float(n))
        assert alone.pressure.level is PressureLevel.NORMAL
        assert several.pressure.level is PressureLevel.PRESSED
        assert several.describe()["level"] == "pressed"

    run_with_connections(6, scenario)


def sampled(
    monkeypatch: pytest.MonkeyPatch,
    connections: list[Connection],
    *,
    suspicious: bool,
    samples: int = 1,
) -> Recorder:
    recorder = Recorder(suspicious=suspicious)
    monkeypatch.setattr(linkmeter, "LinkPressure", lambda _: recorder)
    link_meter = meter(connections)
    for n in range(samples):
        link_meter.sample(float(n))
    return recorder


@pytest.mark.parametrize(
    ("suspicious", "holding"), [(True, 1), (False, 0)], ids=["suspicious", "normal"]
)
def test_kernel_buffers_are_read_only_on_suspicion(
    monkeypatch: pytest.MonkeyPatch, *, suspicious: bool, holding: int
) -> None:
    calls: list[int] = []
    real = fcntl.ioctl

    def counted(fd: int, request: int, argument: bytes) -> bytes:
        calls.append(fd)
        return real(fd, request, argument)

    async def scenario(connections: list[Connection]) -> None:
        # The first fills the peer's buffer, so that the second stays in this host's kernel.
        for size in (2 * BUFFER, 500):
            connections[0].write(size)
            await asyncio.sleep(0.05)
        transport = connections[0].transport
        assert transport is not None
        monkeypatch.setattr(linkmeter.fcntl, "ioctl", counted)
        assert transport.get_write_buffer_size() == 0
        found = sampled(monkeypatch, connections, suspicious=suspicious)
        assert found.samples[0].holding == holding
        assert len(calls) == holding

    run_with_connections(1, scenario)


def test_failing_ioctl_is_not_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[int] = []

    def failing(fd: int, request: int, argument: bytes) -> bytes:
        calls.append(fd)
        raise OSError(25, "Inappropriate ioctl for device")

    async def scenario(connections: list[Connection]) -> None:
        monkeypatch.setattr(linkmeter.fcntl, "ioctl", failing)
        for connection in connections:
            connection.write(1_000_000)
        recorder = sampled(monkeypatch, connections, suspicious=True, samples=3)
        assert len(calls) == 1
        assert [sample.holding for sample in recorder.samples] == [3, 3, 3]
        assert min(sample.unsent for sample in recorder.samples) > 2_000_000

    run_with_connections(3, scenario)


def test_kernel_buffers_of_many_connections_are_extrapolated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read: list[int] = []

    def fake_ioctl(fd: int, request: int, argument: bytes) -> bytes:
        read.append(fd)
        return (100).to_bytes(4, "little")

    async def scenario(connections: list[Connection]) -> None:
        monkeypatch.setattr(linkmeter.fcntl, "ioctl", fake_ioctl)
        for connection in connections:
            connection.written += 10
        recorder = sampled(monkeypatch, connections, suspicious=True)
        assert len(read) == KERNEL_SAMPLE_CONNECTIONS
        (sample,) = recorder.samples
        assert (sample.unsent, sample.holding, sample.active) == (20_000, 200, 200)

    run_with_connections(200, scenario)


class FakeConnection:
    """A connection with unsent bytes in asyncio's buffer only."""

    def __init__(self, unsent: int) -> None:
        self.written = 10
        self.transport = FakeTransport(unsent)


class FakeTransport(asyncio.Transport):
    def __init__(self, unsent: int) -> None:
        super().__init__()
        self._unsent = unsent

    def get_write_buffer_size(self) -> int:
        return self._unsent


@pytest.mark.parametrize("dead", [1, 33, 64, 200])
def test_dead_peers_are_not_extrapolated(monkeypatch: pytest.MonkeyPatch, dead: int) -> None:
    recorder = Recorder()
    monkeypatch.setattr(linkmeter, "LinkPressure", lambda _: recorder)
    connections = [FakeConnection(1000 if n < dead else 0) for n in range(640)]
    context = ProcessContext(LogWriter("error"), Metrics())
    link_meter = LinkMeter(context, lambda: connections, lambda: None)
    link_meter.sample(1.0)
    (sample,) = recorder.samples
    assert (sample.holding, sample.unsent, sample.active) == (dead, 1000 * dead, 640)
    assert sample.largest == 1000


CATALOG = Catalog(3, [Queue("q", "host", "/q/", "svc")], [])


class Store:
    """A store with a fixed configuration."""

    async def next_update(self) -> OperatorUpdate:
        await asyncio.sleep(0.05)
        return OperatorUpdate(CATALOG)

    async def announce(self, entry: EntryAddress, seconds: float) -> None:
        pass

    async def withdraw(self) -> None:
        pass

    async def entries(self) -> list[EntryAddress]:
        return []


class Codec:
    """Reads any request as a job, and writes the reason of a refusal as the body."""

    def read(self, request: Request, catalog: Catalog) -> Submission | Response:
        job = JobRequest(request.path, "spec", 1, Resources(1000, 10), 0.4, 3.0)
        return Submission(catalog.queues[0], job)

    def answer(self, outcome: JobOutcome) -> Response:
        assert isinstance(outcome, Refused)
        after = f"{outcome.retry_after:.0f}"
        return Response(503, outcome.reason.encode(), headers=[("Retry-After", after)])


async def until_true(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds; the scenario's time-out limits the wait."""
    while not condition():
        await asyncio.sleep(0.02)


class Pressure:
    """A `LinkPressure` whose level is set by the test."""

    def __init__(self) -> None:
        self.level = PressureLevel.NORMAL
        self.wait = 0.0

    def needs_full_sample(self, echo_age: float | None) -> bool:
        return False

    def rejects_connections(self, now: float) -> bool:
        return self.level is PressureLevel.PRESSED

    def add_sample(self, now: float, sample: LinkSample) -> list[Log]:
        return []


class Entry:
    """An entry that runs in the test's event loop, with HTTP clients of its addresses."""

    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        ports = [free_port() for _ in range(4)]
        self.callers, ready, self.peers, metrics = (f"127.0.0.1:{port}" for port in ports)
        config = EntryConfig(
            name, "hall", self.callers, ready, self.peers, metrics, seeds, Bounds()
        )
        self.context = ProcessContext(LogWriter("error"), Metrics())
        self.service = EntryService(config, Codec(), Store(), self.context)
        self.task = asyncio.ensure_future(self.service.run())
        self._callers = HttpClient(self.callers)
        self._ready = HttpClient(ready)

    def knows(self, entries: int) -> bool:
        """Whether it has adopted the configuration and sees `entries` live ones, with itself."""
        return self.service.catalog == CATALOG and len(self.service._peers.live()) == entries

    @property
    def refuses_jobs(self) -> bool:
        """Whether it refuses new jobs."""
        return self.service._dispatcher.new_job_refusal is not None

    async def ready(self) -> int:
        return (await self._ready.call("GET", "/ready", 1.0)).status

    async def retry_after(self, key: str) -> str:
        return (await self._callers.call("POST", key, 3.0)).headers["retry-after"]

    async def submit(self, key: str) -> tuple[int, bytes]:
        answer = await self._callers.call("POST", key, 3.0)
        return answer.status, answer.body

    async def response_head(self) -> bytes:
        """Return the head of the response to a job."""
        host, _, port = self.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /q/9 HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    async def stop(self) -> None:
        self.context.cancel()
        self.task.cancel()


def run_with_entries(
    monkeypatch: pytest.MonkeyPatch,
    count: int,
    scenario: Callable[[Entry, Pressure], Awaitable[None]],
) -> None:
    """Run `count` connected entries; the scenario gets the last one and its pressure."""

    async def run() -> None:
        entries: list[Entry] = []
        pressure = Pressure()
        for n in range(count):
            pressure = Pressure()
            monkeypatch.setattr(linkmeter, "LinkPressure", lambda _, given=pressure: given)
            entries.append(Entry(f"e{n}", tuple(entry.peers for entry in entries)))
        await until_true(lambda: all(entry.knows(count) for entry in entries))
        await scenario(entries[-1], pressure)
        for entry in entries:
            await entry.stop()

    monkeypatch.setattr(entryservice, "READY_WITHOUT_TARGETS_SECONDS", 0.0)
    asyncio.run(asyncio.wait_for(run(), 20))


def test_overloaded_entry_refuses_jobs_until_its_link_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(entry: Entry, pressure: Pressure) -> None:
        assert await entry.ready() == 200
        pressure.level = PressureLevel.PRESSED
        await until_true(lambda: entry.refuses_jobs)
        assert await entry.ready() == 503
        assert await entry.submit("/q/1") == (503, b"link_pressed")
        pressure.level = PressureLevel.NORMAL
        await until_true(lambda: not entry.refuses_jobs)
        assert await entry.ready() == 200
        assert (await entry.submit("/q/2"))[1] != b"link_pressed"

    run_with_entries(monkeypatch, 2, scenario)


def test_refusals_of_an_overloaded_entry_ask_for_a_later_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(entry: Entry, pressure: Pressure) -> None:
        pressure.level = PressureLevel.PRESSED
        await until_true(lambda: entry.refuses_jobs)
        assert await entry.submit("/q/1") == (503, b"link_pressed")
        assert float(await entry.retry_after("/q/2")) >= 1

    run_with_entries(monkeypatch, 2, scenario)


def test_overloaded_entry_without_peers_stays_ready(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(entry: Entry, pressure: Pressure) -> None:
        pressure.level = PressureLevel.PRESSED
        await until_true(lambda: entry.refuses_jobs)
        assert await entry.ready() == 200
        assert await entry.submit("/q/1") == (503, b"link_pressed")

    run_with_entries(monkeypatch, 1, scenario)


def test_shedding_entry_accepts_jobs_and_omits_targets_from_its_dump(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(entry: Entry, pressure: Pressure) -> None:
        pressure.level = PressureLevel.SHEDDING
        await until_true(lambda: isinstance(entry.service.describe()["targets"], str))
        assert await entry.ready() == 200
        assert (await entry.submit("/q/1"))[1] != b"link_pressed"
        assert isinstance(entry.service.describe()["targets"], str)

    run_with_entries(monkeypatch, 1, scenario)


def test_overloaded_entry_closes_keep_alive_connections_after_the_balancer_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(entryservice, "BALANCER_DELAY_SECONDS", 0.3)

    async def scenario(entry: Entry, pressure: Pressure) -> None:
        closed: list[bool] = []
        for level in (PressureLevel.NORMAL, PressureLevel.PRESSED):
            pressure.level = level
            await asyncio.sleep(0.7)
            closed.append(b"Connection: close" in await entry.response_head())
        assert closed == [False, True]

    run_with_entries(monkeypatch, 2, scenario)


@pytest.mark.parametrize(
    ("others", "status"), [(40, 503), (0, 200)], ids=["others-have-targets", "no-entry-has-targets"]
)
def test_entry_without_targets_is_ready_only_if_no_other_entry_has_any(
    monkeypatch: pytest.MonkeyPatch, others: int, status: int
) -> None:
    async def scenario(entry: Entry, pressure: Pressure) -> None:
        entry.service.receive_target_count(others, "e9")
        links = entry.service._target_links
        links["t1"] = PeerLink(entry.service._incoming_handler, 1.0)
        await asyncio.sleep(0.2)
        assert await entry.ready() == 200
        links.clear()
        await asyncio.sleep(UNREADY_AFTER_SECONDS + 0.3)
        assert await entry.ready() == status

    run_with_entries(monkeypatch, 1, scenario)
