"""The configuration in force: queues, the services that run their tasks, and request limits."""

from typing import final

import msgspec


@final
class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of jobs: the requests it accepts, and the service that runs its tasks.

    It accepts requests to `host` whose path starts with `prefix`. A job's latency objective is
    `stretch` times its longest chain of work plus `latency`, in seconds. Lower
    `priority` numbers go first.
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
    """A pool of runners; `guarded` if they reject tasks that don't fit."""

    name: str
    guarded: bool = True


@final
class RequestLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on callers' requests, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@final
class Catalog(msgspec.Struct, frozen=True, array_like=True):
    """One complete version of the configuration. Version numbers only increase."""

    version: int
    queues: list[Queue]
    services: list[Service]
    limits: RequestLimits = RequestLimits()


EMPTY_CATALOG = Catalog(0, [], [])
