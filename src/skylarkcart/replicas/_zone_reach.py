"""Whether an availability zone's upstreams can be reached at all."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.types import UpstreamId

# So many upstreams of a zone to which connections fail or that leave calls unanswered,
# while no other one of it answers, mean that the zone is cut off.
MIN_LOST_UPSTREAMS = 4

# What another instance tells counts for this time; it is told again each round. It does
# not count while the zone was heard here within the same time.
TOLD_FOR_MS = 1_000.0


class ZoneReach:
    """What calls to a zone's upstreams show of the way to it.

    Behind a partition, each upstream would otherwise be found unreachable on its own,
    at the cost of several requests.
    """

    def __init__(self) -> None:
        self._lost: set[UpstreamId] = set()
        self._heard_at = Millis(float("-inf"))
        self._told_until = Millis(float("-inf"))

    @property
    def is_lost(self) -> bool:
        """Whether this instance's own calls show that the zone is cut off."""
        return len(self._lost) >= MIN_LOST_UPSTREAMS

    def is_unreachable(self, now: Millis) -> bool:
        return self.is_lost or now < self._told_until

    def note_heard(self, now: Millis) -> None:
        """Records an answer or a new connection."""
        self._lost.clear()
        self._heard_at = now
        self._told_until = now

    def note_lost(self, upstream: UpstreamId) -> None:
        """Records a connection that failed, or a call that got no answer."""
        self._lost.add(upstream)

    def note_told(self, now: Millis) -> None:
        """Records that an instance of the own zone finds the zone cut off."""
        if now - self._heard_at > TOLD_FOR_MS:
            self._told_until = Millis(now + TOLD_FOR_MS)
