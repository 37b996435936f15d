"""Encode the state of the mesh for snapshots and peers."""

from __future__ import annotations

from egretworks.exceptions import ChangeRefused, PeerError
from egretworks.messages import compress, decompress
from egretworks.state import MeshState, check_state


def encode_state(state: MeshState) -> bytes:
    """Encode and compress `state`, for a snapshot or a peer."""
    return compress(state)


def decode_state(data: bytes) -> MeshState:
    """Decode and check a state, or raise `ChangeRefused` if it is unreadable or inconsistent."""
    try:
        state = decompress(data, MeshState)
    except PeerError as error:
        raise ChangeRefused(f"cannot decode the state of the mesh: {error}") from error
    check_state(state)
    return state
