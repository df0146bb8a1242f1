"""A demo with two sites, two entries and four targets in one process, over loopback sockets.

Not for production: the store and the host list are stand-ins, and the runners are the examples.
"""

import base64
import importlib.util
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from threading import Thread
from types import ModuleType
from typing import Any, final

import msgspec
import urllib3
from paddleshunt_core.members import Host, Role
from paddleshunt_core.table import EMPTY_TABLE, Row
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.settings import EntryFile, Listen, Platform, Runner, TargetFile
from paddleshunt_platform.standins.hosts import HostsStandIn
from paddleshunt_platform.standins.ports import free_port
from paddleshunt_platform.standins.store import StoreStandIn
from paddleshunt_platform.tableedit import apply_edit

from paddleshunt_node.entryprocess import EntryProcess
from paddleshunt_node.targetprocess import TargetProcess

SITES = ("hall", "depot")
SERVICES = ("results", "rammi")
SLOTS = 4
FRAMES = 12
STRIP_FRAME_WIDTH = 96
LEAVE_TIMEOUT_SECONDS = 10.0
MAX_START_POLLS = 100
START_POLL_SECONDS = 0.1

_CREATED = 201


@final
@dataclass(frozen=True, slots=True)
class DemoLine:
    """The printed result of one job; times are in milliseconds."""

    service: str
    outcome: str
    right: bool
    tasks: int
    response_ms: float
    ideal_ms: float


@final
class DemoError(Exception):
    """An example is missing, or the targets didn't start in time."""


def run_demo(out: Path, examples: Path) -> int:
    """Run one job of each example, print the results, and return the exit status."""
    modules = {name: _load(examples / name / "runner.py") for name in SERVICES}
    with ExitStack() as stack:
        entry = _start_all(stack, modules)
        _wait_ready(entry)
        lines = [_run_results(entry, modules["results"]), _run_rammi(entry, modules["rammi"], out)]
    for line in lines:
        print(msgspec.json.encode(line).decode())
    all_right = all(line.outcome == "complete" and line.right for line in lines)
    return 0 if all_right else 1


def _load(file: Path) -> ModuleType:
    spec = importlib.util.spec_from_file_location(f"example_{file.parent.name}", file)
    if spec is None or spec.loader is None:
        raise DemoError(f"{file}: expected the Python module of an example")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _start_all(stack: ExitStack, modules: dict[str, ModuleType]) -> str:
    """Start everything, and return the URL of the first entry."""
    processes: list[EntryProcess | TargetProcess] = []
    store = stack.enter_context(StoreStandIn())
    hosts = stack.enter_context(HostsStandIn([]))
    platform = Platform(f"{hosts.url}/hosts", store.url)
    rows = [Row(service, site, 1, SLOTS, 2 * SLOTS) for service in SERVICES for site in SITES]
    apply_edit(EtcdStore(store.url), rows, EMPTY_TABLE.revision, "demo")
    entries = [EntryFile(f"{site}-entry", site, site, _listen(), platform) for site in SITES]
    for settings in entries:
        hosts.put(_host(settings, Role.ENTRY))
    for settings in entries:
        entry = EntryProcess(settings)
        entry.start()
        processes.append(entry)
    stack.callback(_leave_all, processes)
    for service in SERVICES:
        url = _start_runner(stack, modules[service])
        processes += [_start_target(hosts, platform, service, site, url) for site in SITES]
    return f"http://{entries[0].listen.http}"


def _leave_all(processes: list[EntryProcess | TargetProcess]) -> None:
    """Stop all processes in parallel."""
    threads = [Thread(target=process.leave, args=(LEAVE_TIMEOUT_SECONDS,)) for process in processes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _start_target(
    hosts: HostsStandIn, platform: Platform, service: str, site: str, url: str
) -> TargetProcess:
    runner = Runner(url, SLOTS)
    name = f"{site}-{service}"
    settings = TargetFile(name, site, site, service, _listen(), platform, runner)
    hosts.put(_host(settings, Role.TARGET, service))
    target = TargetProcess(settings)
    target.start()
    return target


def _start_runner(stack: ExitStack, module: ModuleType) -> str:
    run = module.ward_standings if hasattr(module, "ward_standings") else module.make_image
    port = free_port()
    server = sys.modules["runnerserver"].make_server(run, port, log=False)
    server.prepare()
    thread = Thread(target=server.serve, daemon=True)
    thread.start()
    stack.callback(thread.join)
    stack.callback(server.stop)
    return f"http://127.0.0.1:{port}/"


def _host(settings: EntryFile | TargetFile, role: Role, service: str = "") -> Host:
    return Host(
        settings.host, role, settings.site, settings.data_hall, settings.listen.peers, service
    )


def _listen() -> Listen:
    return Listen(f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}")


def _wait_ready(entry: str) -> None:
    """Wait until the entry knows the slots of every target."""
    for _ in range(MAX_START_POLLS):
        dump = _call("GET", f"{entry}/v1/dump")
        ready = [m for m in dump["members"] if m["load"][0] > 0]
        if len(ready) == len(SITES) * len(SERVICES):
            return
        time.sleep(START_POLL_SECONDS)
    raise DemoError("the entry doesn't know all targets yet")


def _call(method: str, url: str, body: object = None) -> Any:
    raw = msgspec.json.encode(body) if body is not None else None
    response = urllib3.request(method, url, body=raw, retries=False, timeout=30)
    return msgspec.json.decode(response.data)


def _submit(entry: str, service: str, tasks: list[dict[str, Any]]) -> tuple[dict[str, Any], float]:
    minted = _call("POST", f"{entry}/v1/submissions", {"service": service})
    body = {"service": service, "repeatable": False, "deadline_ms": 20_000, "tasks": tasks}
    start = time.perf_counter()
    answer = _call("PUT", f"{entry}/v1/submissions/{minted['id']}", body)
    return answer, (time.perf_counter() - start) * 1000


def _longest_task_ms(run: Any, tasks: list[dict[str, Any]]) -> float:
    """Return the time of the longest task run alone, in milliseconds: the job's ideal time."""
    longest = 0.0
    for task in tasks:
        start = time.perf_counter()
        run(task)
        longest = max(longest, (time.perf_counter() - start) * 1000)
    return longest


def _run_results(entry: str, module: ModuleType) -> DemoLine:
    tasks = _make_tallies()
    expected = [module.ward_standings(task) for task in tasks]
    answer, elapsed_ms = _submit(entry, "results", tasks)
    results = answer.get("results", [])
    for ward in results:
        ranked = ", ".join(f"{s['candidate']} {s['votes']}" for s in ward["standings"])
        print(f"{ward['ward']}: {ranked}")
    ideal_ms = _longest_task_ms(module.ward_standings, tasks)
    right = results == expected
    return DemoLine(
        "results", answer["outcome"], right, len(tasks), round(elapsed_ms, 1), round(ideal_ms, 1)
    )


def _make_tallies() -> list[dict[str, Any]]:
    """Return made-up tallies of six wards with five booths each."""
    candidates = ("Aroha Ngata", "Ben Carter", "Mei Lin")
    return [
        {
            "ward": f"Ward {ward + 1}",
            "booths": [
                {
                    "booth": f"Booth {booth + 1}",
                    "votes": {
                        n: (ward * 37 + booth * 11 + i * 29) % 90 for i, n in enumerate(candidates)
                    },
                }
                for booth in range(5)
            ],
        }
        for ward in range(6)
    ]


def _run_rammi(entry: str, module: ModuleType, out: Path) -> DemoLine:
    frames = _make_frames(module)
    strip = {"kind": "strip", "frames": frames, "width": STRIP_FRAME_WIDTH}
    posters = [{"kind": "poster", "frame": frame, "width": 320} for frame in frames[::4]]
    tasks = [strip, *posters]
    answer, elapsed_ms = _submit(entry, "rammi", tasks)
    expected = [module.make_image(task) for task in tasks]
    results = answer.get("results", [])
    right = results == expected
    if right:
        out.mkdir(parents=True, exist_ok=True)
        file = out / "strip.png"
        file.write_bytes(base64.b64decode(results[0]["png"]))
        print(f"strip of {FRAMES} frames: {file}")
    ideal_ms = _longest_task_ms(module.make_image, tasks)
    return DemoLine(
        "rammi", answer["outcome"], right, len(tasks), round(elapsed_ms, 1), round(ideal_ms, 1)
    )


def _make_frames(module: ModuleType) -> list[str]:
    """Return frames of a bright square that moves over a slowly changing background."""
    frames: list[str] = []
    for number in range(FRAMES):
        background = (20 * number, 90, 255 - 20 * number)
        image = module.Image.new("RGB", (640, 360), background)
        image.paste((250, 240, 90), (40 * number, 120, 40 * number + 120, 240))
        frames.append(module.encode_png(image))
    return frames
