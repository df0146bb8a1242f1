"""The operator's configuration of a soak, in the platform's form."""

import json

MOST_ENTRIES = 12
"""Addresses that entries may have, moves included: each has routes of its own, by its host."""

PREFIX = "/q/"
"""Where jobs are handed in."""

MAX_ATTEMPTS = 3
"""Ends of a task by its own fault after which its job has failed."""

_ROUTE = {
    "service": "svc",
    "stretch": 1.6,
    "target_latency_ms": 60,
    "max_attempts": MAX_ATTEMPTS,
}


def new_prefix(version: int) -> str:
    """Return the route that only one version of the configuration has."""
    return f"/v{version}/"


def configuration(version: int, net: str) -> bytes:
    """Return a configuration; `net` is what the addresses of all entries begin with."""
    routes = [
        {**_ROUTE, "name": f"{prefix}{n}", "host": f"{net}.{n}", "path_prefix": prefix}
        for n in range(1, MOST_ENTRIES)
        for prefix in (PREFIX, new_prefix(version))
    ]
    config = {"version": version, "routes": routes, "services": [{"name": "svc"}], "limits": {}}
    return json.dumps(config).encode()
