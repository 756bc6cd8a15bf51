"""How late this instance's own event loop is."""

from __future__ import annotations

from skylarkcart.clock import Millis

# Lateness shown by older ticks says nothing about now.
MAX_TICK_AGE_MS = 600.0


class LoopLateness:
    """The lateness of the event loop, as its last two ticks agree on it.

    One late tick may be a single pause that is over already.

    >>> lateness = LoopLateness()
    >>> lateness.record(80.0, Millis(0))
    >>> lateness.get_ms(Millis(0))
    0.0
    >>> lateness.record(50.0, Millis(250))
    >>> lateness.get_ms(Millis(250))
    50.0
    """

    def __init__(self) -> None:
        self._ticks = ((Millis(float("-inf")), 0.0), (Millis(float("-inf")), 0.0))

    def record(self, late_ms: float, now: Millis) -> None:
        """Records by how much a tick was late."""
        self._ticks = (self._ticks[1], (now, max(0.0, late_ms)))

    def get_ms(self, now: Millis) -> float:
        (earlier_at, earlier_ms), (later_at, later_ms) = self._ticks
        if now - later_at > MAX_TICK_AGE_MS or (
            later_at - earlier_at > 2 * MAX_TICK_AGE_MS
        ):
            return 0.0
        return min(earlier_ms, later_ms)
