"""Command line of the stand-ins: `python -m paddleshunt_platform.standins --help`."""

import argparse
import signal
from pathlib import Path

import msgspec
from paddleshunt_core.members import Host

from paddleshunt_platform.standins.hosts import HostsStandIn
from paddleshunt_platform.standins.store import StoreStandIn


class _HostFile(msgspec.Struct):
    hosts: list[Host]


def main() -> None:
    """Serve a store in memory and a list of hosts from a JSON file until interrupted."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--store-port", type=int, default=7001)
    parser.add_argument("--hosts-port", type=int, default=7002)
    parser.add_argument("--hosts", type=Path, required=True, help='JSON: {"hosts": [...]}')
    arguments = parser.parse_args()
    hosts = msgspec.json.decode(arguments.hosts.read_bytes(), type=_HostFile).hosts
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with StoreStandIn(arguments.store_port), HostsStandIn(hosts, arguments.hosts_port):
        try:
            signal.pause()
        except KeyboardInterrupt:
            return


if __name__ == "__main__":
    main()
