"""Bound the bytes of request bodies that a daemon holds at a time."""

from __future__ import annotations


class HeldBytes:
    """Count bytes that are held, up to `limit`."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.held = 0

    def take(self, size: int) -> bool:
        """Count `size` more bytes, or return False where that would be too many."""
        if self.held + size > self._limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Count `size` bytes no longer."""
        self.held -= size
