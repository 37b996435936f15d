"""Define the orders to move a service to a new version, as the platform's store holds them."""

from __future__ import annotations

from enum import Enum

import msgspec

from egretworks.types import ServiceName


class RolloutPhase(Enum):
    """Name the state of an order in its status in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """Hold an order to move a service to a version, and its status."""

    service: ServiceName
    target_version: str
    duration_ms: float
    # None until a daemon has taken the order.
    phase: RolloutPhase | None = None
