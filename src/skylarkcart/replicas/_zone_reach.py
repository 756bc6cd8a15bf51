"""Detects availability zones that are unreachable as a whole."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.types import UpstreamId

# A zone is unreachable once this many of its upstreams failed to connect or to respond
# and none of its upstreams responded in between.
MIN_UNRESPONSIVE_UPSTREAMS = 4

# A peer's report that a zone is unreachable is valid for this time. Peers repeat it in
# every round. It is ignored if the zone responded to this instance in the same period.
PEER_REPORT_TTL_MS = 1_000.0


class ZoneReachability:
    """Whether a zone is reachable, derived from the calls to its upstreams.

    During a partition, each upstream would otherwise be detected as unreachable on its
    own, at the cost of several failed requests each.
    """

    def __init__(self) -> None:
        self._unresponsive_upstreams: set[UpstreamId] = set()
        self._last_contact_at = Millis(float("-inf"))
        self._peer_report_expires_at = Millis(float("-inf"))

    @property
    def is_locally_unreachable(self) -> bool:
        """Whether the zone is unreachable according to this instance's own calls."""
        return len(self._unresponsive_upstreams) >= MIN_UNRESPONSIVE_UPSTREAMS

    def is_unreachable(self, now: Millis) -> bool:
        return (
            len(self._unresponsive_upstreams) >= MIN_UNRESPONSIVE_UPSTREAMS
            or now < self._peer_report_expires_at
        )

    def record_contact(self, now: Millis) -> None:
        """Records a response or a new connection."""
        self._unresponsive_upstreams.clear()
        self._last_contact_at = now
        self._peer_report_expires_at = now

    def record_unresponsive(self, upstream: UpstreamId) -> None:
        """Records a failed connection attempt, or a call without a response."""
        self._unresponsive_upstreams.add(upstream)

    def record_peer_report(self, now: Millis) -> None:
        """Records that another instance of this zone finds the zone unreachable."""
        if now - self._last_contact_at > PEER_REPORT_TTL_MS:
            self._peer_report_expires_at = Millis(now + PEER_REPORT_TTL_MS)
