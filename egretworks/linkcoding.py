"""Compress links between data centres, where bandwidth is expensive.

The first byte that the connecting end sends selects the coding of both directions.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Protocol

from egretworks.exceptions import PeerError

PLAIN_MARK = b"\x00"
COMPRESSED_MARK = b"\x01"
# The fastest level; recurring headers are found at any level.
COMPRESSION_LEVEL = 1
# Raw deflate with an 8 KB window; the state takes about 64 KB for each end and direction.
WINDOW_BITS = -13
MEMORY_LEVEL = 6
# What is received is decompressed in pieces of this size: it may be a thousand times as long.
MAX_PIECE_BYTES = 262_144


class Coding(Protocol):
    """Encode and decode the byte stream of a link; data must be passed in order."""

    # The byte that selects this coding.
    mark: bytes

    def encode(self, data: bytes) -> bytes:
        """Return the bytes to send for `data`."""

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the decoded bytes for received `data` in pieces, or raise `PeerError`.

        The next piece is decoded once the one before it has been handled.
        """


class PlainCoding:
    """Send bytes unchanged."""

    mark = PLAIN_MARK

    def encode(self, data: bytes) -> bytes:
        """Return `data`."""
        return data

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield `data`."""
        yield data


class CompressedCoding:
    """Compress bytes, with the earlier data of the link as the compression window."""

    mark = COMPRESSED_MARK

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def encode(self, data: bytes) -> bytes:
        """Return `data` compressed and flushed, so that the receiver can decode all of it."""
        return self._compressor.compress(data) + self._compressor.flush(zlib.Z_SYNC_FLUSH)

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield as many bytes as can be decoded so far, in pieces."""
        while data:
            try:
                piece = self._decompressor.decompress(data, MAX_PIECE_BYTES)
            except zlib.error as error:
                raise PeerError(f"cannot decompress data received on a link: {error}") from error
            data = self._decompressor.unconsumed_tail
            yield piece


def select_coding(mark: bytes) -> Coding:
    """Return a new coding for the first byte of a link, or raise `PeerError`."""
    if mark == PLAIN_MARK:
        return PlainCoding()
    if mark == COMPRESSED_MARK:
        return CompressedCoding()
    raise PeerError(
        f"first byte of a link is {mark!r}, expected {PLAIN_MARK!r} or {COMPRESSED_MARK!r}"
    )
