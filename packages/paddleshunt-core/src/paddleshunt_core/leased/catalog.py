"""The configuration in force: queues, the services that run them, and limits on requests."""

from typing import final

import msgspec


@final
class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of jobs: which requests it takes, and who runs its tasks.

    The objective of a job is `stretch` times its longest chain of work plus `latency` seconds.
    Priority 0 goes first.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency: float = 0.0


@final
class Service(msgspec.Struct, frozen=True, array_like=True):
    """A pool of runners; `guarded` if they reject what doesn't fit."""

    name: str
    guarded: bool = True


@final
class RequestLimits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds on callers' requests: bytes, and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@final
class Catalog(msgspec.Struct, frozen=True, array_like=True):
    """One version of the configuration, whole. Versions only rise."""

    version: int
    queues: list[Queue]
    services: list[Service]
    limits: RequestLimits = RequestLimits()


EMPTY = Catalog(0, [], [])
