"""Access the platform's object API: reads, conditional writes, lists and watches."""

from __future__ import annotations

import json
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import PlatformError, PlatformUnavailable
from egretworks.storehttp import LimitTime, StoreHttpClient, no_time_limit
from egretworks.types import ETag, parse_endpoint

# The platform accepts values up to this size.
MAX_VALUE_BYTES = 1_000_000
REQUEST_TIMEOUT_MS = 2_000
# Time that the answer to a watch may take beyond the time that the platform waits for events.
WATCH_SLACK_MS = 2_000
# Objects on a page of a list; a page with fewer is the last one.
LIST_LIMIT = 500


def object_name(number: int) -> str:
    """Return `number` padded with zeros, so that names sort in numeric order."""
    return f"{number:012d}"


class StoredObject(msgspec.Struct, frozen=True):
    """Hold an object's name, its value and the entity tag of its version."""

    name: str
    value: bytes
    etag: ETag


class WatchEvent(msgspec.Struct, frozen=True):
    """Report an object that was written or, if `value` is None, deleted."""

    name: str
    etag: str
    value: str | None = None


class WatchBatch(msgspec.Struct, frozen=True):
    """Hold the events of one answer to a watch, and the position to watch from next."""

    position: int
    events: tuple[WatchEvent, ...] = ()


class ListedObject(msgspec.Struct, frozen=True):
    """Hold one object of a list."""

    name: str
    etag: str
    value: str


class ObjectList(msgspec.Struct, frozen=True):
    """Hold a page of objects, and the position in the platform's history that it shows."""

    position: int
    items: tuple[ListedObject, ...] = ()


class ObjectStore:
    """Read, write, list and watch the objects of the platform at `address`, as HOST:PORT.

    Methods raise `PlatformUnavailable` if the platform does not answer, is overloaded or fails, or
    if the answer cannot be decoded; a write may then have taken effect. Other failures raise
    another `PlatformError`.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout_ms: float = REQUEST_TIMEOUT_MS,
        limit_time: LimitTime = no_time_limit,
    ) -> None:
        """Connect to `address` on demand; see `StoreHttpClient` for `limit_time`."""
        self._timeout_ms = timeout_ms
        self._http = StoreHttpClient(parse_endpoint(address), limit_time=limit_time)

    def read(self, kind: str, name: str) -> StoredObject:
        """Return the object, or raise `ObjectNotFound`."""
        response = self._request("GET", _path(kind, name))
        return StoredObject(name, response.data, ETag(response.headers.get("ETag", "")))

    def create(self, kind: str, name: str, value: bytes) -> ETag:
        """Create an object and return its tag, or raise `ObjectConflict` if it exists."""
        return self._write(kind, name, value, {"If-None-Match": "*"})

    def update(self, kind: str, name: str, value: bytes, etag: ETag) -> ETag:
        """Replace the object and return its new tag.

        Raises `ObjectConflict` unless the stored version has the tag `etag`.
        """
        return self._write(kind, name, value, {"If-Match": etag})

    def delete(self, kind: str, name: str, etag: ETag) -> None:
        """Delete the object, or raise `ObjectConflict` unless its version has the tag `etag`."""
        self._request("DELETE", _path(kind, name), headers={"If-Match": etag})

    def list(self, kind: str, *, after: str = "", limit: int = LIST_LIMIT) -> ObjectList:
        """Return up to `limit` objects whose names sort after `after`, in order."""
        query = urlencode({"after": after, "limit": limit})
        response = self._request("GET", f"/v1/objects/{quote(kind)}?{query}")
        return self._decode(response.data, ObjectList)

    def watch(self, kind: str, position: int, wait_ms: float) -> WatchBatch:
        """Wait up to `wait_ms` for events after `position`, or raise `WatchCompacted`."""
        query = urlencode({"after": position, "wait_ms": int(wait_ms)})
        response = self._request(
            "GET", f"/v1/watch/{quote(kind)}?{query}", timeout_ms=wait_ms + WATCH_SLACK_MS
        )
        return self._decode(response.data, WatchBatch)

    def _write(self, kind: str, name: str, value: bytes, headers: dict[str, str]) -> ETag:
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"{kind}/{name} has {len(value)} bytes, over the limit of {MAX_VALUE_BYTES}"
            )
        response = self._request("PUT", _path(kind, name), body=value, headers=headers)
        return ETag(response.headers.get("ETag", ""))

    def _request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_ms: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        return self._http.request(
            method, path, timeout_ms or self._timeout_ms, body=body, headers=headers
        )

    def _decode(self, data: bytes, kind: type) -> msgspec.Struct:
        try:
            return msgspec.json.decode(data, type=kind)
        except DECODE_ERRORS as error:
            raise PlatformUnavailable(
                f"cannot decode the answer as {kind.__name__}: {error}"
            ) from error


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind)}/{quote(name, safe='')}"


def dump(document: msgspec.Struct) -> bytes:
    """Encode `document` as the JSON value of an object."""
    return msgspec.json.encode(document)


def load(value: bytes | str, kind: type) -> msgspec.Struct:
    """Decode an object's JSON value as `kind`, or raise `PlatformError`."""
    try:
        return msgspec.json.decode(value, type=kind)
    except (*DECODE_ERRORS, json.JSONDecodeError) as error:
        raise PlatformError(f"cannot decode an object as {kind.__name__}: {error}") from error
