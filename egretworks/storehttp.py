"""Send HTTP requests to the platform's store over keep-alive connections."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import urllib3

from egretworks.clock import seconds
from egretworks.exceptions import (
    ObjectConflict,
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
    WatchCompacted,
)
from egretworks.types import Endpoint

MAX_IDLE_CONNECTIONS = 4

_ERROR_BY_STATUS = {
    404: ObjectNotFound,
    409: ObjectConflict,
    410: WatchCompacted,
    412: ObjectConflict,
    429: PlatformUnavailable,
}


class StoreHttpClient:
    """Send requests to the store at `endpoint`, over a pool of connections."""

    def __init__(
        self, endpoint: Endpoint, on_headers: Callable[[Mapping[str, str]], None] | None = None
    ) -> None:
        """Pass the headers of each response, also of an error, to `on_headers`."""
        self._on_headers = on_headers
        # No automatic retries: only the caller knows whether a request may be repeated.
        self._pool = urllib3.HTTPConnectionPool(
            endpoint.host, endpoint.port, maxsize=MAX_IDLE_CONNECTIONS, block=False, retries=False
        )

    def request(
        self,
        method: str,
        path: str,
        timeout_ms: float,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the response if its status is below 300, or raise a `PlatformError`.

        No response, status 429 and statuses from 500 raise `PlatformUnavailable`.
        """
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=seconds(timeout_ms),
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(f"{method} {path}: {error}") from error
        if self._on_headers is not None:
            self._on_headers(response.headers)
        if response.status < 300:
            return response
        kind = PlatformUnavailable if response.status >= 500 else PlatformError
        kind = _ERROR_BY_STATUS.get(response.status, kind)
        raise kind(f"{method} {path}: status {response.status}")
