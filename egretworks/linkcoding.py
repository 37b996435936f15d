"""Pack what a link carries from one data centre to another, where bytes are dear.

The connecting end begins a link with one byte that says how both directions are coded.
"""

from __future__ import annotations

import zlib
from typing import Protocol

from egretworks.exceptions import PeerError

PLAIN_MARK = b"\x00"
PACKED_MARK = b"\x01"
# The fastest level; headers that recur are found at any.
LEVEL = 1
# Raw streams with 8 KB of history and about 64 KB of state an end and direction.
WINDOW_BITS = -13
MEMORY_LEVEL = 6


class Coding(Protocol):
    """Code the bytes of a link, in order."""

    mark: bytes

    def pack(self, data: bytes) -> bytes:
        """Return `data` as it is sent."""

    def unpack(self, data: bytes) -> bytes:
        """Return what received `data` stands for, or raise `PeerError`."""


class PlainCoding:
    """Send bytes as they are."""

    mark = PLAIN_MARK

    def pack(self, data: bytes) -> bytes:
        """Return `data`."""
        return data

    def unpack(self, data: bytes) -> bytes:
        """Return `data`."""
        return data


class PackedCoding:
    """Send bytes packed, with what went before on the link as history."""

    mark = PACKED_MARK

    def __init__(self) -> None:
        self._packer = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)
        self._unpacker = zlib.decompressobj(WINDOW_BITS)

    def pack(self, data: bytes) -> bytes:
        """Return `data` packed, whole."""
        return self._packer.compress(data) + self._packer.flush(zlib.Z_SYNC_FLUSH)

    def unpack(self, data: bytes) -> bytes:
        """Return as much as `data` makes whole."""
        try:
            return self._unpacker.decompress(data)
        except zlib.error as error:
            raise PeerError(f"a link's bytes can't be unpacked: {error}") from error


def coding_of(mark: bytes) -> Coding:
    """Return a new coding by the byte that begins a link, or raise `PeerError`."""
    if mark == PLAIN_MARK:
        return PlainCoding()
    if mark == PACKED_MARK:
        return PackedCoding()
    raise PeerError(f"a link begins with {mark!r}")
