"""Query daemons over HTTP at their operator ports."""

from __future__ import annotations

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import urllib3

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import FleetUnreachable
from egretworks.operatorpages import DaemonStatus, FleetMember, FleetPage
from egretworks.timeline import Event, EventPage

REQUEST_TIMEOUT_S = 2.0
MAX_WORKERS = 16

Page = TypeVar("Page", bound=msgspec.Struct)


class Unanswered(msgspec.Struct, frozen=True):
    """Name a daemon that did not answer as expected, with the reason."""

    address: str
    reason: str


class FleetClient:
    """Fetch pages from daemons at `host:port` addresses, up to `MAX_WORKERS` at a time."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(num_pools=64, retries=False, timeout=REQUEST_TIMEOUT_S)

    def members(self, addresses: Iterable[str]) -> list[FleetMember]:
        """Return the fleet as the first daemon that answers sees it.

        Raises `FleetUnreachable` if none of `addresses` answers or there are none.
        """
        reasons = []
        for address in addresses:
            page = self.fetch(address, "/v1/fleet", FleetPage)
            if isinstance(page, FleetPage):
                return list(page.members)
            reasons.append(f"{page.address}: {page.reason}")
        raise FleetUnreachable(
            "; ".join(reasons) or "neither the settings nor the platform names a daemon",
            next_step="name operator ports of running daemons under `daemons` in the settings",
        )

    def statuses(self, addresses: Iterable[str]) -> list[DaemonStatus | Unanswered]:
        """Return each daemon's own status, in the order of `addresses`."""
        return self._fetch_all(addresses, "/v1/status", DaemonStatus)

    def events(self, addresses: Iterable[str]) -> tuple[list[Event], list[Unanswered]]:
        """Return the events of all daemons that answer, and the daemons that do not."""
        events: list[Event] = []
        missing: list[Unanswered] = []
        for page in self._fetch_all(addresses, "/v1/events", EventPage):
            if isinstance(page, Unanswered):
                missing.append(page)
            else:
                events.extend(page.events)
        return events, missing

    def fetch(self, address: str, path: str, kind: type[Page]) -> Page | Unanswered:
        """Return the page at `path` of the daemon at `address`, or why it could not be read."""
        try:
            response = self._pool.request("GET", f"http://{address}{path}")
            if response.status != 200:
                return Unanswered(address, f"GET {path}: status {response.status}")
            return msgspec.json.decode(response.data, type=kind)
        except (urllib3.exceptions.HTTPError, *DECODE_ERRORS) as error:
            return Unanswered(address, str(error))

    def _fetch_all(self, addresses: Iterable[str], path: str, kind: type[Page]) -> list:
        with ThreadPoolExecutor(MAX_WORKERS) as workers:
            return list(workers.map(lambda address: self.fetch(address, path, kind), addresses))
