"""Starts a fleet of real processes on loopback, and reads what they use."""

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3
from paddleshunt_core.members import Host, Role
from paddleshunt_core.table import Row
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.standins.hosts import HostsStandIn
from paddleshunt_platform.standins.ports import free_port
from paddleshunt_platform.standins.store import StoreStandIn
from paddleshunt_platform.tableedit import apply_edit

SERVICE = "results"
TICKS = os.sysconf("SC_CLK_TCK")
HERE = Path(__file__).parent


@dataclass(frozen=True)
class Size:
    """How large a fleet is: targets by site, entries, slots of each runner."""

    name: str
    sites: dict[str, int]
    entries: int
    slots: int = 8

    @property
    def slots_in_all(self) -> int:
        """Tasks that all runners run at once."""
        return sum(self.sites.values()) * self.slots


COUNCIL = Size("council", {"hall": 4, "depot": 4, "office": 3}, 3)
HRAFNSEY = Size("hrafnsey", {"one": 3, "two": 3, "three": 3, "four": 2}, 4)


@dataclass
class Daemon:
    """One started process."""

    name: str
    role: str
    process: subprocess.Popen[bytes]
    url: str = ""

    def cpu_seconds(self) -> float:
        """Processor seconds used so far."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def rss_mb(self) -> float:
        """Resident memory in megabytes."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


@dataclass
class Fleet:
    """Entries, targets and a runner stand-in as processes; the platform's stand-ins here."""

    size: Size
    folder: Path
    runner_url: str = ""
    """A runner that is there already; empty to start the one that sleeps."""
    store: StoreStandIn = field(default_factory=StoreStandIn)
    hosts: HostsStandIn = field(default_factory=lambda: HostsStandIn([]))
    daemons: dict[str, Daemon] = field(default_factory=dict)
    settings: dict[str, Path] = field(default_factory=dict)

    def start(self) -> None:
        """Start everything and wait until all targets have their share."""
        rows = [
            Row(SERVICE, site, count, count * self.size.slots, 2 * count * self.size.slots)
            for site, count in self.size.sites.items()
        ]
        apply_edit(EtcdStore(self.store.url), rows, 0, "bench")
        url = self.runner_url or self._start_runner()
        site = next(iter(self.size.sites))
        for number in range(self.size.entries):
            self._write(f"entry-{number}", "entry", site, "")
        runner = f'service = "{SERVICE}"\n', f'[runner]\nurl = "{url}"\n'
        for site, count in self.size.sites.items():
            for number in range(count):
                extra = runner[1] + f"slots = {self.size.slots}\n"
                self._write(f"{site}-{number}", "target", site, extra, runner[0])
        for name in self.settings:
            self.launch(name)
        self.wait_ready()

    def _start_runner(self) -> str:
        port = free_port()
        command = [sys.executable, str(HERE / "runner_standin.py"), str(port)]
        self.daemons["runner"] = Daemon("runner", "runner", subprocess.Popen(command))
        return f"http://127.0.0.1:{port}/"

    def _write(self, name: str, role: str, site: str, extra: str, top: str = "") -> None:
        peers = f"127.0.0.1:{free_port()}"
        text = (
            f'host = "{name}"\nsite = "{site}"\ndata_hall = "{site}"\n{top}'
            f'[listen]\nhttp = "127.0.0.1:{free_port()}"\npeers = "{peers}"\n'
            f'[platform]\nhosts = "{self.hosts.url}/hosts"\nstore = "{self.store.url}"\n'
            f'[log]\nlevel = "error"\n{extra}'
        )
        file = self.folder / f"{name}.toml"
        file.write_text(text)
        self.settings[name] = file
        service = SERVICE if role == "target" else ""
        self.hosts.put(Host(name, Role(role), site, site, peers, service))

    def launch(self, name: str) -> None:
        """Start, or start again, one daemon."""
        role = "entry" if name.startswith("entry") else "target"
        file = self.settings[name]
        command = [str(Path(sys.executable).parent / "paddleshuntd"), role, "--settings", str(file)]
        url = next(line for line in file.read_text().splitlines() if line.startswith("http ="))
        address = url.split('"')[1]
        self.daemons[name] = Daemon(name, role, subprocess.Popen(command), f"http://{address}")

    def wait_ready(self) -> None:
        """Wait until every entry sees every target with a share."""
        wanted = sum(self.size.sites.values())
        end = time.monotonic() + 60
        while time.monotonic() < end:
            if all(self._ready(entry) >= wanted for entry in self.of_role("entry")):
                return
            time.sleep(0.1)
        raise TimeoutError("the fleet did not come up")

    def _ready(self, entry: Daemon) -> int:
        try:
            dump = get_json(entry.url + "/v1/dump")
        except (urllib3.exceptions.HTTPError, OSError):
            return 0
        return len([m for m in dump["members"] if m["load"][0] and not m["suspect"]])

    def of_role(self, role: str) -> list[Daemon]:
        """Return the daemons of a role that run."""
        return [d for d in self.daemons.values() if d.role == role and d.process.poll() is None]

    def counters(self) -> dict[int, Counter[str]]:
        """Return the counters of each daemon that runs, by process id."""
        daemons = [*self.of_role("entry"), *self.of_role("target")]
        return {daemon.process.pid: _counters(daemon) for daemon in daemons}

    def cpu(self) -> dict[str, float]:
        """Return the processor seconds of each daemon so far."""
        return {d.name: d.cpu_seconds() for d in self.daemons.values() if d.process.poll() is None}

    def stop(self) -> None:
        """End what was started here."""
        for daemon in self.daemons.values():
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGKILL)
            daemon.process.wait()
        self.hosts.close()
        self.store.down = True
        self.store.close()


def _counters(daemon: Daemon) -> Counter[str]:
    page = urllib3.request("GET", daemon.url + "/metrics", timeout=5).data.decode()
    found: Counter[str] = Counter()
    for line in page.splitlines():
        if line.startswith(("paddleshunt_messages_total", "paddleshunt_message_bytes")):
            name, _, value = line.rpartition(" ")
            found[name] += int(float(value))
        elif line.startswith("paddleshunt_waste_"):
            name, value = line.split()
            found[name.removesuffix("{}")] += int(float(value))
    return found


def get_json(url: str) -> Any:
    """Return the JSON at `url`."""
    return json.loads(urllib3.request("GET", url, timeout=5, retries=False).data)
