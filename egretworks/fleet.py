"""Ask the daemons themselves, over their operator ports."""

from __future__ import annotations

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import urllib3

from egretworks.exceptions import FleetUnreachable
from egretworks.operatorpages import DaemonStatus, FleetMember, FleetPage
from egretworks.timeline import Event, EventPage

ASK_TIMEOUT_S = 2.0
ASK_WORKERS = 16

Page = TypeVar("Page", bound=msgspec.Struct)


class Unanswered(msgspec.Struct, frozen=True):
    """Name a daemon that didn't answer."""

    address: str
    reason: str


class FleetClient:
    """Ask the daemons at operator addresses, many at a time."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(num_pools=64, retries=False, timeout=ASK_TIMEOUT_S)

    def members(self, addresses: Iterable[str]) -> list[FleetMember]:
        """Return the fleet as the first daemon that answers sees it."""
        reasons = []
        for address in addresses:
            page = self.ask(address, "/v1/fleet", FleetPage)
            if isinstance(page, FleetPage):
                return list(page.members)
            reasons.append(f"{page.address}: {page.reason}")
        raise FleetUnreachable(
            "; ".join(reasons) or "no daemon is named",
            next_step="name operator ports of running daemons under `daemons` in the settings",
        )

    def statuses(self, addresses: Iterable[str]) -> list[DaemonStatus | Unanswered]:
        """Return each daemon's own status, in the order of `addresses`."""
        return self._ask_all(addresses, "/v1/status", DaemonStatus)

    def events(self, addresses: Iterable[str]) -> tuple[list[Event], list[Unanswered]]:
        """Return the events of all daemons that answer, and those that don't."""
        events: list[Event] = []
        missing: list[Unanswered] = []
        for page in self._ask_all(addresses, "/v1/events", EventPage):
            if isinstance(page, Unanswered):
                missing.append(page)
            else:
                events.extend(page.events)
        return events, missing

    def ask(self, address: str, path: str, kind: type[Page]) -> Page | Unanswered:
        """Return the page at `path` of one daemon, or why there is none."""
        try:
            response = self._pool.request("GET", f"http://{address}{path}")
            if response.status != 200:
                return Unanswered(address, f"status {response.status}")
            return msgspec.json.decode(response.data, type=kind)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            return Unanswered(address, str(error))

    def _ask_all(self, addresses: Iterable[str], path: str, kind: type[Page]) -> list:
        with ThreadPoolExecutor(ASK_WORKERS) as workers:
            return list(workers.map(lambda address: self.ask(address, path, kind), addresses))
