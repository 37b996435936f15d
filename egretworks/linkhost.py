"""Hold what the two ends of a link need of the daemon around them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from egretworks.clock import Clock
from egretworks.configholder import ConfigHolder
from egretworks.fates import Fates
from egretworks.gate import Gate
from egretworks.heldbytes import HeldBytes
from egretworks.linkframes import Hello
from egretworks.rows import DaemonRow, RowTable
from egretworks.timeline import Timeline

if TYPE_CHECKING:
    from egretworks.servedlinks import ServedLink


class LinkHost(msgspec.Struct, frozen=True):
    """Hold what links need of the daemon around them."""

    clock: Clock
    timeline: Timeline
    rows: RowTable
    config: ConfigHolder
    gate: Gate
    # The bodies that are in hand, of callers here and of offers from other daemons.
    bodies: HeldBytes
    fates: Fates
    # The serving ends of links from other daemons.
    served: set[ServedLink]
    # Called with rows that are news.
    on_news: Callable[[list[DaemonRow]], None]
    # Called when the own row had to change.
    on_own_change: Callable[[DaemonRow], None]

    def hello(self) -> Hello:
        """Return what opens a link."""
        return Hello(self.rows.own, self.config.version, self.rows.all_rows())

    def learn(self, rows: list[DaemonRow]) -> None:
        """Take in rows from a peer."""
        own = self.rows.own
        news = self.rows.merge(rows)
        if news:
            self.on_news(news)
        if self.rows.own is not own:
            self.on_own_change(self.rows.own)
