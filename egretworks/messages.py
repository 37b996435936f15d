"""Define the messages between daemons: gossip datagrams, and requests and replies over gRPC."""

from __future__ import annotations

import zlib
from typing import Any, TypeVar

import msgspec

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import PeerError
from egretworks.types import MemberState, TargetState

# Datagrams up to this size pass common networks without IP fragmentation.
MAX_DATAGRAM_BYTES = 1_200
COMPRESSION_LEVEL = 6

Kind = TypeVar("Kind")


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """A target, as the daemon beside it publishes it."""

    id: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    state: TargetState = TargetState.READY


def target_label(row: TargetRow) -> str:
    """Return the label that operators see for a target: its id, service and state."""
    return f"{row.id}:{row.service}:{row.state.value}"


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """A daemon and the targets beside it: one row of the member table.

    `incarnation` and `serial`, in this order, tell which of two rows of an instance is newer; only
    the instance itself raises them. A daemon takes its `incarnation` from the wall clock when it
    starts.
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
    """Probe a daemon, on behalf of `origin` if that is not empty; `rows` are piggybacked."""

    seq: int
    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()
    origin: str = ""


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Acknowledge a ping; `origin` is copied from it."""

    seq: int
    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()
    origin: str = ""


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Ask a daemon to ping `target` on behalf of `sender` and to relay the acknowledgement."""

    seq: int
    sender: str
    target: str


class Update(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Push changed rows, or a version that came into force, without waiting for a probe."""

    sender: str
    version: int
    rows: tuple[MemberRow, ...] = ()


class Report(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Report the version in force at a daemon, and any it refused, to the aggregator."""

    sender: str
    version: int
    refused_version: int = 0
    refused_reason: str = ""


Datagram = Ping | Ack | PingRequest | Update | Report


class SyncRequest(msgspec.Struct, frozen=True):
    """Ask for the changes after version `after`."""

    after: int
    sender: str


class SyncReply(msgspec.Struct, frozen=True):
    """Carry changes in order, or the whole state if not all of the changes are kept any more.

    `version` is the one in force at the daemon that replies.
    """

    version: int
    changes: tuple[bytes, ...] = ()
    state: bytes = b""


class MembersRequest(msgspec.Struct, frozen=True):
    """Ask for the rows of the buckets whose digests differ from `digests`.

    `sender` is the row of the requesting daemon, which the other one merges.
    """

    sender: MemberRow
    digests: tuple[int, ...] = ()


class MembersReply(msgspec.Struct, frozen=True):
    """Carry compressed rows, and the highest version that the replying daemon knows of."""

    version: int
    packed: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: msgspec.Struct) -> bytes:
    """Encode `message` for another daemon."""
    return _encoder.encode(message)


def compress(document: Any) -> bytes:
    """Encode and compress `document`, for data that is large or sent to many daemons."""
    return zlib.compress(_encoder.encode(document), COMPRESSION_LEVEL)


def decompress(data: bytes, kind: type[Kind]) -> Kind:
    """Decompress and decode a `kind` that `compress` encoded, or raise `PeerError`."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=kind)
    except (*DECODE_ERRORS, zlib.error) as error:
        raise PeerError(f"compressed data ({len(data)} bytes) can't be decoded: {error}") from error


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram, or raise `PeerError`."""
    try:
        return _datagram_decoder.decode(data)
    except DECODE_ERRORS as error:
        raise PeerError(f"a datagram ({len(data)} bytes) can't be decoded: {error}") from error
