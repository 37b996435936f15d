"""Bound the memory that the bodies buffered in a daemon occupy."""

from __future__ import annotations


class ByteBudget:
    """Count reserved bytes; the count never exceeds `limit`."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes, or return False if that would exceed the limit."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.reserved -= size
