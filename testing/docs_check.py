"""`make docs-check`: runs the commands that the pages show, against the system that README starts.

Every `sh` block of the operators' and callers' pages is run with `bash -e`, in order of the files,
and the Python block of docs/callers.md submits a job.
"""

import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import urllib3

ROOT = Path(__file__).parent.parent
BIN = Path(sys.executable).parent
STORE = "http://127.0.0.1:7001"
ENTRIES = ("http://127.0.0.1:7100", "http://127.0.0.1:7110")
PAGES = [ROOT / "docs" / "callers.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
READY_SECONDS = 60.0


def start(logs: Path) -> list[subprocess.Popen[bytes]]:
    """Start what README starts, each process logging to a file of its own."""
    commands = {
        "standins": [
            str(BIN / "python"),
            *("-m", "paddleshunt_platform.standins", "--hosts", "examples/settings/hosts.json"),
        ],
        "results": [str(BIN / "python"), "examples/results/runner.py", "7301"],
        "rammi": [str(BIN / "python"), "examples/rammi/runner.py", "7302"],
    }
    for file in sorted((ROOT / "examples" / "settings").glob("*.toml")):
        role = "entry" if "entry" in file.stem else "target"
        commands[f"{role}-{file.stem}"] = [
            str(BIN / "paddleshuntd"),
            *(role, "--settings", str(file)),
        ]
    started: list[subprocess.Popen[bytes]] = []
    for name, command in commands.items():
        with (logs / f"{name}.log").open("wb") as log:
            started.append(subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log))
    return started


def environment(logs: Path) -> dict[str, str]:
    """Return what the pages' commands expect."""
    daemons = [str(file) for file in sorted(logs.glob("*-*.log"))]
    return os.environ | {
        "PATH": f"{BIN}:{os.environ['PATH']}",
        "PADDLESHUNT_STORE": STORE,
        "PADDLESHUNT_ENTRIES": " ".join(ENTRIES),
        "PADDLESHUNT_KEY": "change me",
        "ENTRY": ENTRIES[0],
        "LOGS": " ".join(daemons),
    }


def wait_ready(env: dict[str, str]) -> None:
    """Apply the first table, and wait until all targets have their share."""
    end = time.monotonic() + READY_SECONDS
    while time.monotonic() < end:
        try:
            dump = urllib3.request("GET", f"{ENTRIES[0]}/v1/dump", retries=False).json()
        except (urllib3.exceptions.HTTPError, OSError):
            time.sleep(0.2)
            continue
        if dump["table"]["revision"] == 0:
            command = ["paddleshunt", "table", "apply", "examples/table.csv"]
            subprocess.run(command, cwd=ROOT, env=env, check=False, capture_output=True)
        elif len([m for m in dump["members"] if m["load"][0]]) == 4:
            return
        time.sleep(0.2)
    raise TimeoutError("the system did not come up")


def blocks(page: Path, language: str) -> list[str]:
    """Return the page's code blocks of a language."""
    return re.findall(rf"```{language}\n(.*?)```", page.read_text(), re.DOTALL)


def run_block(page: Path, block: str, env: dict[str, str], folder: Path) -> bool:
    """Run a block in a folder that has the examples, and tell if it failed."""
    command = ["bash", "-euo", "pipefail", "-c", block]
    found = subprocess.run(command, cwd=folder, env=env, capture_output=True, text=True)
    mark = "ok" if found.returncode == 0 else f"FAILED with {found.returncode}"
    print(f"{page.relative_to(ROOT)}: {block.splitlines()[0]} ... {mark}")
    if found.returncode:
        print(found.stdout, found.stderr)
    return found.returncode == 0


def run_python(page: Path) -> bool:
    """Run the page's Python and submit a job with it."""
    (block,) = blocks(page, "python")
    names: dict[str, Any] = {}
    exec(block, names)
    task = {"ward": "Hilltop", "booths": [{"booth": "Hall", "votes": {"Aroha Ngata": 3}}]}
    answer = names["submit"](list(ENTRIES), "results", [task])
    print(f"{page.relative_to(ROOT)}: python ... {answer['outcome']}")
    return bool(answer["outcome"] == "complete")


def main() -> int:
    """Run all pages, and return the exit status."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        logs = folder / "logs"
        logs.mkdir()
        (folder / "examples").symlink_to(ROOT / "examples")
        started = start(logs)
        try:
            env = environment(logs)
            wait_ready(env)
            good = [run_python(PAGES[0])]
            for page in PAGES:
                good += [run_block(page, block, env, folder) for block in blocks(page, "sh")]
        finally:
            for process in started:
                process.terminate()
            for process in started:
                process.wait()
    print(f"{len(good)} blocks, {good.count(False)} failed")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
