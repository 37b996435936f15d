"""Drive eventlet's hub from a test, beside servers in threads of their own."""

import socket
import threading
import time

import eventlet


def run_hub(condition, within_ms=3_000):
    """Let the hub run until `condition()` holds, or fail."""
    give_up = time.monotonic() + within_ms / 1_000
    while not condition():
        assert time.monotonic() < give_up, "the condition didn't come true in time"
        eventlet.sleep(0.005)


def rest(ms):
    """Let the hub run for `ms` milliseconds."""
    eventlet.sleep(ms / 1_000)


class RawServer:
    """Accept connections and run `talk(sock)` for each in a thread."""

    def __init__(self, talk):
        self._talk = talk
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        self.port = self._listener.getsockname()[1]
        self.accepted = 0
        self.ended = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Refuse further connections."""
        # Wakes the thread that waits in accept.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self._talk(sock)
        except OSError:
            pass
        finally:
            self.ended += 1
            sock.close()
