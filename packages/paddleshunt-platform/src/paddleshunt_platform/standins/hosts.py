"""Stand-in for the platform's list of hosts, which can delay changes."""

from typing import final

import msgspec
from paddleshunt_core.members import Host, HostState

from paddleshunt_platform.standins.server import Handler, StandIn


class _HostsHandler(Handler):
    stand_in: "HostsStandIn"

    def do_GET(self) -> None:  # noqa: N802
        """Answer with the shown list."""
        if self.stand_in.down:
            self.answer(503, b"{}")
            return
        self.answer(200, msgspec.json.encode({"hosts": self.stand_in.shown}))


@final
class HostsStandIn(StandIn):
    """The list of hosts; while `lagging` is set, only `catch_up` shows changes."""

    def __init__(self, hosts: list[Host], port: int = 0) -> None:
        self._hosts = {host.host: host for host in hosts}
        self.shown = list(hosts)
        self.lagging = False
        self.down = False
        super().__init__(_HostsHandler, port)

    def put(self, host: Host) -> None:
        """Add or replace a host."""
        self._hosts[host.host] = host
        if not self.lagging:
            self.catch_up()

    def set_state(self, name: str, state: HostState) -> None:
        """Change a host's state."""
        self.put(msgspec.structs.replace(self._hosts[name], state=state))

    def catch_up(self) -> None:
        """Show all changes."""
        self.shown = list(self._hosts.values())
