"""Encode a configuration document as its differences from an earlier one."""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import PeerError

# A document is compared piece by piece, and a piece ends with this byte: rows of a table do, so
# that a changed route is one piece. Any document can be split, whatever its format.
PIECE_END = b"]"
# The fastest level; the names that recur in new pieces are found at any level.
COMPRESSION_LEVEL = 1
# A document is as large as the platform's largest object at most; a larger one is not decoded.
MAX_DOCUMENT_BYTES = 8_000_000

# The pieces of a document in order; joined, they are the document.
Pieces = tuple[bytes, ...]


class CopiedRun(msgspec.Struct, array_like=True, frozen=True):
    """Copy `count` pieces of the base, the first of which has index `start`."""

    start: int
    count: int


# New pieces are joined in the encoding, and split again when they are decoded.
Edit = CopiedRun | bytes

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Edit])


def split(document: bytes, base: Pieces = ()) -> Pieces:
    """Return the pieces of `document`; those that `base` has too are shared with it."""
    *complete, rest = document.split(PIECE_END)
    pieces = [piece + PIECE_END for piece in complete]
    if rest:
        pieces.append(rest)
    known = {piece: piece for piece in base}
    return tuple(known.get(piece, piece) for piece in pieces)


def digest(document: bytes) -> int:
    """Return a digest that tells documents apart."""
    return xxhash.xxh64_intdigest(document)


def encode_edits(base: Pieces, pieces: Pieces) -> bytes:
    """Return the compressed edits that turn `base` into `pieces`."""
    return zlib.compress(_encoder.encode(_find_edits(base, pieces)), COMPRESSION_LEVEL)


def apply_edits(base: Pieces, data: bytes) -> Pieces:
    """Return the pieces that the compressed edits `data` make of `base`.

    Raises `PeerError` if they can't be decoded or do not fit `base`.
    """
    try:
        decompressor = zlib.decompressobj()
        edits = _decoder.decode(decompressor.decompress(data, MAX_DOCUMENT_BYTES))
    except (zlib.error, *DECODE_ERRORS) as error:
        raise PeerError(f"cannot decode the changes of a configuration: {error}") from error
    pieces: list[bytes] = []
    for edit in edits:
        if isinstance(edit, bytes):
            pieces += split(edit)
            continue
        if not 0 <= edit.start < edit.start + edit.count <= len(base):
            raise PeerError("the changes of a configuration do not fit the version they refer to")
        pieces += base[edit.start : edit.start + edit.count]
    return tuple(pieces)


def _find_edits(base: Pieces, pieces: Pieces) -> list[Edit]:
    """Return edits that copy the runs of pieces which `base` has too, and insert the others."""
    index_by_piece = {piece: index for index, piece in enumerate(base)}
    edits: list[Edit] = []
    inserted: list[bytes] = []
    run_start = run_end = 0

    def end_run() -> None:
        if run_end > run_start:
            edits.append(CopiedRun(run_start, run_end - run_start))

    def end_insertion() -> None:
        if inserted:
            edits.append(b"".join(inserted))
            inserted.clear()

    for piece in pieces:
        if run_end > run_start and run_end < len(base) and base[run_end] == piece:
            run_end += 1
            continue
        index = index_by_piece.get(piece)
        end_run()
        run_start = run_end = 0
        if index is None:
            inserted.append(piece)
        else:
            end_insertion()
            run_start, run_end = index, index + 1
    end_run()
    end_insertion()
    return edits
