"""Processes of upstreams that left, and that a copy of the store may bring back."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkcart.clock import Millis
from skylarkcart.published import UpstreamEntry, UpstreamState
from skylarkcart.registry._messages import CURRENT_ERA, Departure
from skylarkcart.types import UpstreamId

# Departures kept for an era that may follow. A copy is some seconds old, in which fewer
# upstreams leave.
MAX_DEPARTURES = 512


class Departures:
    """Upstreams that left in the current era, and those withheld since earlier ones.

    Within its era, the store decides whether an upstream has returned. From the start
    of the next era to the end of a bound, the process that left gets no new calls; one
    that started later does. The start of the last process that left is None if it is
    not known.
    """

    def __init__(self) -> None:
        self._left: dict[UpstreamId, int | None] = {}
        self._withheld: dict[UpstreamId, tuple[int | None, Millis]] = {}

    @property
    def has_withheld(self) -> bool:
        return bool(self._withheld)

    def record(self, entry: UpstreamEntry) -> None:
        """Records that the process of an entry has left in the current era."""
        self._left.pop(entry.upstream, None)
        self._left[entry.upstream] = entry.born_ms
        if len(self._left) > MAX_DEPARTURES:
            del self._left[next(iter(self._left))]

    def record_return(self, entry: UpstreamEntry) -> None:
        """Records an entry that the store holds in the current era."""
        self._left.pop(entry.upstream, None)

    def begin_era(self, entries: Iterable[UpstreamEntry], until: Millis) -> None:
        """Withholds calls from processes that have left or were draining."""
        withheld = {
            upstream: (born_ms, until)
            for upstream, (born_ms, _) in self._withheld.items()
        }
        withheld |= {
            upstream: (born_ms, until) for upstream, born_ms in self._left.items()
        }
        withheld |= {
            entry.upstream: (entry.born_ms, until)
            for entry in entries
            if entry.state is UpstreamState.DRAINING
        }
        self._withheld = withheld
        self._left = {}

    def withhold_before(self, entry: UpstreamEntry, until: Millis) -> None:
        """Withholds calls from processes that started before the one of an entry."""
        self._withheld[entry.upstream] = (entry.born_ms - 1, until)

    def withholds(self, entry: UpstreamEntry) -> bool:
        """Whether the process of an entry left in an earlier era."""
        if entry.upstream not in self._withheld:
            return False
        born_ms, _ = self._withheld[entry.upstream]
        return born_ms is None or entry.born_ms is None or entry.born_ms <= born_ms

    def list_expired(self, now: Millis) -> list[UpstreamId]:
        """Returns the upstreams whose bound has passed."""
        return [
            upstream for upstream, (_, until) in self._withheld.items() if until <= now
        ]

    def forget(self, upstream: UpstreamId) -> None:
        """Forgets what an upstream did in earlier eras."""
        self._withheld.pop(upstream, None)

    def list_withheld(self, now: Millis) -> tuple[Departure, ...]:
        """Returns the departures of earlier eras that still withhold calls."""
        return tuple(
            Departure(upstream=upstream, born_ms=born_ms, left_ms=until - now)
            for upstream, (born_ms, until) in self._withheld.items()
            if until > now
        )

    def list_departures(self, now: Millis) -> tuple[Departure, ...]:
        """Returns the departures of the current era, and those that withhold calls."""
        left = (
            Departure(upstream=upstream, born_ms=born_ms, left_ms=CURRENT_ERA)
            for upstream, born_ms in self._left.items()
        )
        return (*left, *self.list_withheld(now))

    def adopt(self, departure: Departure, *, ends_by: Millis, now: Millis) -> None:
        """Adds a departure of an earlier era that a peer knows, until a time at most.

        If both know one of the upstream, the later process counts.
        """
        until = Millis(min(now + departure.left_ms, ends_by))
        # Also for NaN.
        if not until > now:
            return
        upstream, born_ms = departure.upstream, departure.born_ms
        if upstream in self._withheld:
            known_born_ms, known_until = self._withheld[upstream]
            until = max(until, known_until)
            if None in (born_ms, known_born_ms):
                born_ms = None
            else:
                born_ms = max(born_ms, known_born_ms)
        self._withheld[upstream] = (born_ms, until)

    def adopt_current(self, departure: Departure) -> None:
        """Adds a departure of the current era that a peer knows."""
        self._left.setdefault(departure.upstream, departure.born_ms)
