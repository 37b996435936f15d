"""Bound the memory that the request bodies buffered in a daemon occupy."""

from __future__ import annotations


class HeldBytes:
    """Count reserved bytes; the count never exceeds `limit`."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.held = 0

    def take(self, size: int) -> bool:
        """Reserve `size` bytes, or return False if that would exceed the limit."""
        if self.held + size > self._limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.held -= size
