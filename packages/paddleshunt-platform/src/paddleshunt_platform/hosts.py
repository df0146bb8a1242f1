"""Client of the platform's list of hosts: HTTP GET of a JSON object with a list `hosts`.

The list lags: a host that is gone may still be listed, and a new one not yet.
"""

from dataclasses import dataclass
from typing import final

import msgspec
import urllib3
from paddleshunt_core.members import Host
from urllib3.exceptions import HTTPError

CALL_TIMEOUT = 3.0
"""Seconds a call may take."""

_STATUS_OK = 200


@final
@dataclass(frozen=True, slots=True)
class HostsError:
    """The list could not be fetched."""

    reason: str


class _HostList(msgspec.Struct):
    hosts: list[Host]


@final
class HostList:
    """Client of the list at `url`."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(retries=False, maxsize=1)

    def fetch(self) -> list[Host] | HostsError:
        """Return the hosts that the platform lists now."""
        try:
            response = self._pool.request("GET", self._url, timeout=CALL_TIMEOUT)
        except (HTTPError, OSError) as error:
            return HostsError(str(error))
        if response.status != _STATUS_OK:
            return HostsError(f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=_HostList).hosts
        except msgspec.MsgspecError as error:
            return HostsError(f"invalid answer: {error}")
