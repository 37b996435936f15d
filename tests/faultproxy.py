"""Stand between two processes on loopback and cut, freeze, delay or garble what passes."""

import contextlib
import socket
import threading
import time
from enum import Enum


class Fault(Enum):
    """Say what the proxy does to connections."""

    NONE = "none"
    CUT = "cut"
    FREEZE = "freeze"
    LOSE_ANSWERS = "lose_answers"
    TRUNCATE = "truncate"


class FaultProxy:
    """Forward TCP connections to `port` on loopback, with the fault that is set."""

    def __init__(self, port):
        self.target_port = port
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.answer_bytes = 0
        self._open = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, fault, *, answer_bytes=0, delay_s=0.0):
        """Set the fault; `CUT` also ends the connections that are open."""
        self.answer_bytes = answer_bytes
        self.delay_s = delay_s
        self.fault = fault
        if fault is Fault.CUT:
            self.cut_open()

    def cut_open(self):
        """End every open connection."""
        for sock in list(self._open):
            _end(sock)
        self._open.clear()

    def close(self):
        """Stop forwarding."""
        _end(self._listener)
        self.cut_open()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self.fault is Fault.CUT:
                _end(near)
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                _end(near)
                continue
            self._open += [near, far]
            threading.Thread(target=self._pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(far, near, True), daemon=True).start()

    def _pump(self, source, sink, answers):
        passed = 0
        try:
            while data := source.recv(65_536):
                data = self._disturb(data, passed, answers)
                if data is None:
                    break
                sink.sendall(data)
                passed += len(data)
        except OSError:
            pass
        _end(source)
        _end(sink)

    def _disturb(self, data, passed, answers):
        """Return what is to be passed on, or None to end the connection."""
        if self.delay_s:
            time.sleep(self.delay_s)
        while self.fault is Fault.FREEZE:
            time.sleep(0.01)
        if answers and self.fault is Fault.LOSE_ANSWERS:
            return None
        if answers and self.fault is Fault.TRUNCATE:
            left = self.answer_bytes - passed
            return data[:left] if left > 0 else None
        return data


def _end(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
