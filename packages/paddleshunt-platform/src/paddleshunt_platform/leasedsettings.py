"""Settings of the processes for leased jobs, validated from a TOML file."""

from pathlib import Path
from typing import Annotated, Literal, final

from msgspec import Meta
from paddleshunt_core.leased.bounds import (
    COLD_OVERRUN,
    HALL_PREFERENCE,
    Bounds,
    BoundsError,
    lease_times,
)
from paddleshunt_core.leased.catalogsync import LINK_MBPS

from paddleshunt_platform.settings import (
    Address,
    LogSettings,
    Name,
    Section,
    SettingsError,
    load_as,
)

Milliseconds = Annotated[int, Meta(gt=0, le=3_600_000)]
SecondsBound = Annotated[float, Meta(gt=0, le=3600)]


@final
class ProcessSettings(Section, frozen=True):
    """The process: its name, its data hall and its role."""

    name: Name
    hall: Name
    role: Literal["entry", "target"]


@final
class ListenSettings(Section, frozen=True):
    """Addresses to listen on: `callers` and `ready` for entries, `runner` for targets."""

    peers: Address
    metrics: Address
    callers: Address | None = None
    ready: Address | None = None
    runner: Address | None = None


@final
class PeerSettings(Section, frozen=True):
    """Hosts that may have entries, and the port on which these listen for peers."""

    seeds: tuple[Address, ...] = ()
    port: Annotated[int, Meta(gt=0, lt=65536)] = 7720


@final
class RunnerSettings(Section, frozen=True):
    """The runner beside a target."""

    address: Address


@final
class StoreSettings(Section, frozen=True):
    """The platform's store; `least_lease_ms` is the shortest lease that it grants."""

    address: Address
    least_lease_ms: Milliseconds = 1000


@final
class LinkSettings(Section, frozen=True):
    """The host's network link, with its bandwidth in megabits per second."""

    mbps: Annotated[float, Meta(gt=0, le=1_000_000)] = LINK_MBPS


@final
class BoundSettings(Section, frozen=True):
    """Timeouts, limits and scheduling factors of the deployment."""

    resend_ms: Milliseconds = 1300
    hold_max_ms: Milliseconds = 1000
    stop_ms: Milliseconds = 50
    drain_ms: Milliseconds = 2000
    config_apply_ms: Milliseconds = 2000
    grace_s: SecondsBound = 6.0
    remote_factor: Annotated[float, Meta(ge=1, le=100)] = 1.5
    caller_delay_ms: Annotated[float, Meta(ge=0, le=1000)] = 4.0
    cold_overrun: Annotated[float, Meta(ge=1, le=100)] = COLD_OVERRUN
    hall_preference: Annotated[float, Meta(ge=0, le=1)] = HALL_PREFERENCE


@final
class LeasedFile(Section, frozen=True):
    """Settings of an entry or a target for leased jobs."""

    process: ProcessSettings
    listen: ListenSettings
    peers: PeerSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    link: LinkSettings = LinkSettings()
    runner: RunnerSettings | None = None
    log: LogSettings = LogSettings()


def load_leased(file: Path) -> LeasedFile:
    """Return the validated settings; raises `SettingsError`."""
    settings = load_as(file, LeasedFile)
    required: dict[str, dict[str, object]] = {
        "entry": {"listen.callers": settings.listen.callers, "listen.ready": settings.listen.ready},
        "target": {"listen.runner": settings.listen.runner, "runner": settings.runner},
    }
    for key, value in required[settings.process.role].items():
        if value is None:
            expected = f"expected a value, as the role is {settings.process.role}"
            raise SettingsError(file, key, expected)
    try:
        lease_times(bounds_of(settings))
    except BoundsError as problem:
        raise SettingsError(file, "bounds", str(problem)) from problem
    return settings


def bounds_of(settings: LeasedFile) -> Bounds:
    """Return the bounds with durations in seconds."""
    given = settings.bounds
    return Bounds(
        resend=given.resend_ms / 1000,
        hold_max=given.hold_max_ms / 1000,
        stop=given.stop_ms / 1000,
        drain=given.drain_ms / 1000,
        grace=given.grace_s,
        config_apply=given.config_apply_ms / 1000,
        remote_factor=given.remote_factor,
        caller_delay=given.caller_delay_ms / 1000,
        cold_overrun=given.cold_overrun,
        hall_preference=given.hall_preference,
    )


def seed_addresses(settings: LeasedFile) -> set[str]:
    """Return each seed's host with the port for peers, which replaces the seed's own port."""
    hosts = [seed.rpartition(":")[0] for seed in settings.peers.seeds]
    return {f"{host}:{settings.peers.port}" for host in hosts}
