"""Talk to the platform's object API: reads, conditional updates and watches."""

from __future__ import annotations

import json
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from egretworks.exceptions import PlatformError, PlatformUnavailable
from egretworks.storecalls import StoreCalls
from egretworks.types import ETag, parse_endpoint

# The platform holds values up to this size.
MAX_VALUE_BYTES = 1_000_000
REQUEST_TIMEOUT_MS = 2_000
WATCH_SLACK_MS = 2_000
LIST_LIMIT = 500


class StoredObject(msgspec.Struct, frozen=True):
    """Hold an object's name, its value and the tag of its version."""

    name: str
    value: bytes
    etag: ETag


class WatchEvent(msgspec.Struct, frozen=True):
    """Report an object that was written or, with no value, deleted."""

    name: str
    etag: str
    value: str | None = None


class WatchBatch(msgspec.Struct, frozen=True):
    """Carry the events after a point of the platform's history."""

    position: int
    events: tuple[WatchEvent, ...] = ()


class ListedObject(msgspec.Struct, frozen=True):
    """Carry one object of a list."""

    name: str
    etag: str
    value: str


class ObjectList(msgspec.Struct, frozen=True):
    """Carry a page of objects and the history position that it shows."""

    position: int
    items: tuple[ListedObject, ...] = ()


class ObjectStore:
    """Read and write the platform's objects at `address`, an IP number and port."""

    def __init__(self, address: str, *, timeout_ms: float = REQUEST_TIMEOUT_MS) -> None:
        self._timeout_ms = timeout_ms
        self._calls = StoreCalls(parse_endpoint(address))

    def read(self, kind: str, name: str) -> StoredObject:
        """Return the object, or raise `ObjectNotFound` or `PlatformUnavailable`."""
        response = self._request("GET", _path(kind, name))
        return StoredObject(name, response.data, ETag(response.headers.get("ETag", "")))

    def create(self, kind: str, name: str, value: bytes) -> ETag:
        """Write an object that isn't there yet, or raise `ObjectConflict`."""
        return self._write(kind, name, value, {"If-None-Match": "*"})

    def update(self, kind: str, name: str, value: bytes, etag: ETag) -> ETag:
        """Write over the version `etag` alone, or raise `ObjectConflict`."""
        return self._write(kind, name, value, {"If-Match": etag})

    def delete(self, kind: str, name: str, etag: ETag) -> None:
        """Delete the version `etag` alone, or raise `ObjectConflict`."""
        self._request("DELETE", _path(kind, name), headers={"If-Match": etag})

    def list(self, kind: str, *, after: str = "", limit: int = LIST_LIMIT) -> ObjectList:
        """Return up to `limit` objects whose names sort behind `after`."""
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
            raise PlatformError(f"{kind}/{name} has {len(value)} bytes, over {MAX_VALUE_BYTES}")
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
        return self._calls.call(
            method, path, timeout_ms or self._timeout_ms, body=body, headers=headers
        )

    def _decode(self, data: bytes, kind: type) -> msgspec.Struct:
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(f"unreadable answer: {error}") from error


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind)}/{quote(name, safe='')}"


def dump(document: msgspec.Struct) -> bytes:
    """Encode `document` as the JSON value of an object."""
    return msgspec.json.encode(document)


def load(value: bytes | str, kind: type) -> msgspec.Struct:
    """Decode an object's JSON value as `kind`, or raise `PlatformError`."""
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, json.JSONDecodeError) as error:
        raise PlatformError(f"an object can't be read: {error}") from error
