"""Send and receive the UDP datagrams between daemons."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

import eventlet

from egretworks.clock import Clock
from egretworks.exceptions import PeerError
from egretworks.membership import Outgoing
from egretworks.messages import Datagram, decode_datagram, encode

MAX_RECEIVE_BYTES = 65_535

log = logging.getLogger(__name__)


class GossipSocket:
    """A UDP socket that passes each datagram to `receive` and sends what it returns.

    `unreadable` counts the datagrams that could not be decoded and were dropped.
    """

    def __init__(
        self, host: str, port: int, clock: Clock, receive: Callable[[Datagram], list[Outgoing]]
    ) -> None:
        self._socket = eventlet.green.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._clock = clock
        self._receive = receive
        self.sent_bytes = 0
        self.received_bytes = 0
        self.unreadable = 0

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send each datagram; a failed send is logged and otherwise treated like packet loss."""
        for item in outgoing:
            data = encode(item.message)
            self.sent_bytes += len(data)
            try:
                self._socket.sendto(data, (item.host, item.port))
            except OSError as error:
                log.debug("datagram to %s:%s not sent: %s", item.host, item.port, error)

    def run(self) -> None:
        """Receive until the socket is closed."""
        while True:
            try:
                data, _ = self._socket.recvfrom(MAX_RECEIVE_BYTES)
            except ConnectionError:
                continue
            except OSError:
                return
            self.received_bytes += len(data)
            self._handle(data)

    def close(self) -> None:
        """Close the socket, which also ends `run`."""
        self._socket.close()

    def _handle(self, data: bytes) -> None:
        try:
            message = decode_datagram(data)
        except PeerError:
            self.unreadable += 1
            return
        self.send(self._receive(message))
