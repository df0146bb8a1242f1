"""Faults on the way to many runners at once: calls put off, answers reset, connections mute.

They come in series, whose faults overlap; the runners live on, unless another fault ends them.
"""

from random import Random

from faults import CRASHING, LONGEST, Fault
from soakwire import KINDS, MUTE, RESETS, UNANSWERED

SERIES_GAP = 5.0
"""Mean seconds between the begins of two series."""

MOST_IN_SERIES = 3
"""Faults of one series."""

STEP = 1.5
"""Mean seconds between two faults of a series."""

SECONDS = (0.5, 6.0)
"""How long a fault lasts: up to some leases and some tries of a caller."""

WEIGHTS = {UNANSWERED: 2.0, RESETS: 1.0, MUTE: 1.0}

CRASHING_SHARE = 0.5
"""Share of the series in which jobs come that take their runners down as well."""


def wide_schedule(seed: int, seconds: float) -> list[Fault]:
    """Return the wide faults of a seed, in order."""
    rng = Random(f"wide faults {seed}")
    faults: list[Fault] = []
    begin = rng.expovariate(1 / SERIES_GAP)
    while begin < seconds:
        faults += _series(rng, begin)
        begin += rng.expovariate(1 / SERIES_GAP)
    within = [fault for fault in faults if fault.at < seconds]
    return sorted(within, key=lambda fault: fault.at)


def _series(rng: Random, begin: float) -> list[Fault]:
    faults: list[Fault] = []
    at = begin
    for _ in range(rng.randint(1, MOST_IN_SERIES)):
        (kind,) = rng.choices(KINDS, [WEIGHTS[kind] for kind in KINDS])
        faults.append(Fault(at, kind, rng.random(), rng.uniform(*SECONDS)))
        at += rng.expovariate(1 / STEP)
    if rng.random() < CRASHING_SHARE:
        crash = rng.uniform(begin, at)
        faults.append(Fault(crash, CRASHING, rng.random(), rng.uniform(0.1, LONGEST)))
    return faults
