"""Register and run the controllers: the loops that keep a daemon's blackboard up to date."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet

from egretworks.blackboard import Blackboard
from egretworks.clock import seconds
from egretworks.exceptions import EgretError
from egretworks.gossip import GossipSocket
from egretworks.ledger import Ledger
from egretworks.objects import ObjectStore
from egretworks.peers import PeerClient

RESTART_DELAY_MS = 1_000

log = logging.getLogger(__name__)


class Links:
    """The clients through which a daemon reaches the platform and the other daemons."""

    def __init__(
        self, store: ObjectStore, ledger: Ledger, peers: PeerClient, gossip: GossipSocket
    ) -> None:
        self.store = store
        self.ledger = ledger
        self.peers = peers
        self.gossip = gossip


Controller = Callable[[Blackboard, Links], None]

CONTROLLERS_BY_NAME: dict[str, Controller] = {}


def controller(name: str) -> Callable[[Controller], Controller]:
    """Return a decorator that registers a loop, to be run by every daemon, as `name`."""

    def register(function: Controller) -> Controller:
        CONTROLLERS_BY_NAME[name] = function
        return function

    return register


def start_all(board: Blackboard, links: Links) -> None:
    """Start every registered controller in a green thread of its own."""
    for name, function in CONTROLLERS_BY_NAME.items():
        eventlet.spawn_n(_run, name, function, board, links)


def _run(name: str, function: Controller, board: Blackboard, links: Links) -> None:
    """Run a controller, and restart it after an error, so that a failure does not end its work."""
    while not board.stopping:
        try:
            function(board, links)
            return
        except EgretError as error:
            log.warning("controller %s: %s: %s", name, error.code, error)
        except Exception:
            log.exception("controller %s failed", name)
        eventlet.sleep(seconds(RESTART_DELAY_MS))
