"""A TCP server for tests that handles each connection in a thread."""

import socket
import threading


class RawServer:
    """Accept connections and run `handle(sock)` for each in a thread."""

    def __init__(self, handle):
        self._handle = handle
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.port = self._listener.getsockname()[1]
        self.accepted = 0
        self.ended = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Close the listening socket; open connections stay open."""
        # Wakes the thread that is blocked in `accept`.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._run_handler, args=(sock,), daemon=True).start()

    def _run_handler(self, sock):
        try:
            self._handle(sock)
        except OSError:
            pass
        finally:
            self.ended += 1
            sock.close()
