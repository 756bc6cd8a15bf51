"""Monotonic clocks in milliseconds."""

from __future__ import annotations

import time
from typing import NewType, Protocol

Millis = NewType("Millis", float)

NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """A monotonic clock that returns milliseconds since an arbitrary origin."""

    def now(self) -> Millis: ...


class SystemClock:
    """The boot-time clock, which also counts while the machine is suspended.

    With a clock that stops during suspension, an expired lease would look valid after
    the machine resumes.
    """

    def now(self) -> Millis:
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanoseconds / NANOSECONDS_PER_MILLISECOND)


class ManualClock:
    """A clock for tests that moves only when ``advance`` is called.

    >>> clock = ManualClock(start=Millis(10))
    >>> clock.advance(5)
    >>> clock.now()
    15
    """

    def __init__(self, *, start: Millis = Millis(0)) -> None:
        self._now = start

    def now(self) -> Millis:
        return self._now

    def advance(self, delta_ms: float) -> None:
        if delta_ms < 0:
            raise ValueError(f"delta_ms is {delta_ms}, expected a non-negative number")
        self._now = Millis(self._now + delta_ms)
