"""Define the messages between daemons, on datagrams and on streams."""

from __future__ import annotations

import zlib
from typing import Any, TypeVar

import msgspec

from egretworks.exceptions import PeerError
from egretworks.types import MemberState, TargetState

# A datagram up to this size crosses usual networks without being fragmented.
MAX_DATAGRAM_BYTES = 1_200
COMPRESSION_LEVEL = 6

Kind = TypeVar("Kind")


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a target as its daemon knows it."""

    id: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    state: TargetState = TargetState.READY


def target_label(row: TargetRow) -> str:
    """Return what operators see of a target: its id, service and state."""
    return f"{row.id}:{row.service}:{row.state.value}"


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon and the targets beside it.

    `incarnation` and `serial` order the rows of one instance; only the instance itself raises
    them.
    """

    id: str
    data_centre: str
    host: str
    peer_port: int
    operator_port: int
    incarnation: int
    serial: int
    state: MemberState = MemberState.ALIVE
    targets: tuple[TargetRow, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Ask a daemon whether it lives, on behalf of `origin` if that is named."""

    seq: int
    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()
    origin: str = ""


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer a ping."""

    seq: int
    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()
    origin: str = ""


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Ask a daemon to ping `target` and pass the answer on."""

    seq: int
    sender: str
    target: str


class News(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Tell at once of changed rows or of a version that came into force."""

    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()


class Report(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Tell the data centre's aggregator what is in force at a daemon."""

    sender: str
    version: int
    refused_version: int = 0
    refused_reason: str = ""


Datagram = Ping | Ack | PingRequest | News | Report


class SyncRequest(msgspec.Struct, frozen=True):
    """Ask for what follows `after`."""

    after: int
    sender: str


class SyncReply(msgspec.Struct, frozen=True):
    """Carry changes in order, or a whole state where the changes are no longer kept."""

    version: int
    changes: tuple[bytes, ...] = ()
    state: bytes = b""


class MembersRequest(msgspec.Struct, frozen=True):
    """Ask for the rows of the buckets whose digests differ from `digests`."""

    sender: MemberRow
    digests: tuple[int, ...] = ()


class MembersReply(msgspec.Struct, frozen=True):
    """Carry compressed rows, and the highest version that the answering daemon has heard of."""

    version: int
    packed: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_datagrams = msgspec.msgpack.Decoder(Datagram)


def encode(message: msgspec.Struct) -> bytes:
    """Encode `message` for another daemon."""
    return _encoder.encode(message)


def compress(document: Any) -> bytes:
    """Encode `document` compressed, for what is large or goes to many."""
    return zlib.compress(_encoder.encode(document), COMPRESSION_LEVEL)


def decompress(data: bytes, kind: type[Kind]) -> Kind:
    """Decode what `compress` returned as a `kind`, or raise `PeerError`."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=kind)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise PeerError(f"compressed data can't be read: {error}") from error


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram, or raise `PeerError`."""
    try:
        return _datagrams.decode(data)
    except msgspec.MsgspecError as error:
        raise PeerError(f"a datagram can't be read: {error}") from error
