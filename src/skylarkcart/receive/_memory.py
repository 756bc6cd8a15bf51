"""A number of bytes that may be held at the same time."""

from __future__ import annotations


class Memory:
    """Counts held bytes, never more than the size.

    >>> memory = Memory(size=100)
    >>> memory.try_hold(60), memory.try_hold(60)
    (True, False)
    """

    def __init__(self, *, size: int) -> None:
        self.size = size
        self.held = 0

    def try_hold(self, size: int) -> bool:
        """Reserves ``size`` bytes, or returns False if too few are left."""
        if self.held + size > self.size:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        self.held -= size
