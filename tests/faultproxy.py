"""A TCP proxy on loopback that can cut, freeze, delay or truncate the traffic."""

import contextlib
import socket
import threading
import time
from enum import Enum


class Fault(Enum):
    """What the proxy does to connections.

    `CUT` closes new connections at once, `FREEZE` holds data back in both directions,
    `LOSE_ANSWERS` closes a connection when the server answers, and `TRUNCATE` once `answer_bytes`
    bytes of the answer were forwarded.
    """

    NONE = "none"
    CUT = "cut"
    FREEZE = "freeze"
    LOSE_ANSWERS = "lose_answers"
    TRUNCATE = "truncate"


class FaultProxy:
    """Forward TCP connections to `port` on loopback and apply the fault that is set."""

    def __init__(self, port):
        self.target_port = port
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.answer_bytes = 0
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, fault, *, answer_bytes=0, delay_s=0.0):
        """Set the fault; `CUT` also closes the open connections. Data is delayed by `delay_s`."""
        self.answer_bytes = answer_bytes
        self.delay_s = delay_s
        self.fault = fault
        if fault is Fault.CUT:
            self.cut_connections()

    def cut_connections(self):
        """Close every open connection."""
        for sock in list(self._sockets):
            _close(sock)
        self._sockets.clear()

    def close(self):
        """Stop listening and close every open connection."""
        _close(self._listener)
        self.cut_connections()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.fault is Fault.CUT:
                _close(client)
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                _close(client)
                continue
            self._sockets += [client, server]
            threading.Thread(target=self._pump, args=(client, server, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(server, client, True), daemon=True).start()

    def _pump(self, source, sink, from_server):
        forwarded = 0
        try:
            while data := source.recv(65_536):
                data = self._apply_fault(data, forwarded, from_server)
                if data is None:
                    break
                sink.sendall(data)
                forwarded += len(data)
        except OSError:
            pass
        _close(source)
        _close(sink)

    def _apply_fault(self, data, forwarded, from_server):
        """Return the data to forward, or None to close the connection."""
        if self.delay_s:
            time.sleep(self.delay_s)
        while self.fault is Fault.FREEZE:
            time.sleep(0.01)
        if from_server and self.fault is Fault.LOSE_ANSWERS:
            return None
        if from_server and self.fault is Fault.TRUNCATE:
            left = self.answer_bytes - forwarded
            return data[:left] if left > 0 else None
        return data


def _close(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
