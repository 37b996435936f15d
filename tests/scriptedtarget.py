"""A target for tests that sends scripted raw responses, faulty ones included."""

import json
import threading
import time

from processes import ask
from rawserver import RawServer

NOT_RUN = (
    b"HTTP/1.1 503 Service Unavailable\r\nEgret-Not-Run: true\r\nContent-Length: 4\r\n\r\nshed"
)


def ok_response(body, *headers):
    """Return the bytes of a complete 200 response with `body`."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class ScriptedTarget(RawServer):
    """Respond to each request with the next of `answers`, which may also be one function for all.

    An answer is bytes to send, None to close the connection, an event that is set once the daemon
    has closed the connection, or a function that gets the request and returns one of these.
    """

    def __init__(self, answers):
        self.answers = answers
        self.requests = []
        super().__init__(self._serve)

    def announce(self, id, service, daemon, slots=50):
        """Announce the target to `daemon` every 0.5 s until the daemon is unreachable."""
        document = {
            "service": service,
            "host": "127.0.0.1",
            "port": self.port,
            "slots": slots,
            "connections": 200,
        }

        def repeat():
            while True:
                try:
                    ask(daemon.operator_port, "PUT", f"/v1/targets/{id}", json.dumps(document))
                except OSError:
                    return
                time.sleep(0.5)

        threading.Thread(target=repeat, daemon=True).start()

    def _serve(self, sock):
        while True:
            request = _read_request(sock)
            if request is None:
                return
            self.requests.append(request)
            answer = self.answers(request) if callable(self.answers) else self._next(request)
            if answer is None:
                return
            if isinstance(answer, threading.Event):
                sock.recv(1)
                answer.set()
                return
            sock.sendall(answer)

    def _next(self, request):
        answer = self.answers.pop(0)
        return answer(request) if callable(answer) else answer


def _read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65_536)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
    length = int(lengths[0].split(b":")[1]) if lengths else 0
    while len(body) < length:
        body += sock.recv(65_536)
    return head + b"\r\n\r\n" + body


def path_of(request):
    """Return the path of a raw request as a string."""
    return request.split(b" ", 2)[1].decode()
