"""Frames a second of targets and entries whose sessions are idle, and under load.

Counted on the core's fleet (`testing/leasedfleet.py`), where every target has a session with every
entry. Usage: `python benchmarks/idle_sessions.py [ENTRIES TARGETS [JOBS_A_SECOND_A_TARGET ...]]`
"""

import sys
from collections import Counter
from pathlib import Path
from random import Random

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "testing")]

import leasedfleet  # noqa: E402
from paddleshunt_core.leased.session import Session  # noqa: E402
from paddleshunt_core.leased.wire import Frame  # noqa: E402

WARM_UP = 2.0
SECONDS = 4.0
LENGTH = 0.3
"""Seconds of a task."""


def main() -> None:
    """Print the frames of each load."""
    entries, targets, *loads = [int(word) for word in sys.argv[1:]] or [8, 53]
    for load in loads or [0, 1, 5, 28]:
        measure(entries, targets, load)


def measure(entries: int, targets: int, load: int) -> None:
    """Print the frames a second of a calm target and of a calm entry under `load` jobs a second."""
    frames: Counter[str] = Counter()
    framed = Session.frame

    def count(session: Session, now_ms: int) -> Frame:
        frame = framed(session, now_ms)
        frames["with" if frame.bodies else "without"] += 1
        return frame

    fleet = leasedfleet.Fleet(entries, targets)
    fleet.settle()
    rng = Random(7)
    names = list(fleet.entries)
    jobs = done = 0.0

    def play(seconds: float) -> None:
        nonlocal jobs, done
        for _ in range(round(seconds / leasedfleet.STEP)):
            jobs += load * targets * leasedfleet.STEP
            while done < jobs:
                done += 1
                fleet.submit(rng.choice(names), f"job{done:.0f}", count=1, length=LENGTH)
            fleet.step()

    play(WARM_UP)
    Session.frame = count  # type: ignore[method-assign]
    play(SECONDS)
    Session.frame = framed  # type: ignore[method-assign]
    total = frames.total() / SECONDS
    print(
        f"entries={entries} targets={targets} tasks_a_second_a_target={load}"
        f" frames_a_target={total / targets:.1f} frames_an_entry={total / entries:.1f}"
        f" without_bodies={frames['without'] / SECONDS / targets:.1f}"
    )


if __name__ == "__main__":
    main()
