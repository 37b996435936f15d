"""Accept connections for the servers that tests stand up, in threads of their own."""

import socket
import threading


class RawServer:
    """Accept connections and run `talk(sock)` for each in a thread."""

    def __init__(self, talk):
        self._talk = talk
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
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
            threading.Thread(target=self._converse, args=(sock,), daemon=True).start()

    def _converse(self, sock):
        try:
            self._talk(sock)
        except OSError:
            pass
        finally:
            self.ended += 1
            sock.close()
