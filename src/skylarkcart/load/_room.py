"""The room that the upstreams of a service have together."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.load._upstream import UpstreamLoad


class ServiceRoom(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance knows of a service's room.

    ``occupied`` are the calls running and waiting, own ones and those that others
    probably sent included. ``wait_ms`` is the estimated wait of one more call for a
    slot, and ``age_ms`` the age of the youngest report.
    """

    slots: int
    occupied: float
    wait_ms: float
    age_ms: float


def compute_room(
    loads: Iterable[tuple[UpstreamLoad, int]], *, now: Millis, typical_ms: float
) -> ServiceRoom | None:
    """Returns the room of upstreams, each with this instance's calls to it.

    ``typical_ms`` is the typical time of a call. Returns None without upstreams.
    """
    slots = 0
    occupied = 0.0
    wait_ms = age_ms = float("inf")
    for load, own_calls in loads:
        calls = load.expect_calls(now, own_calls)
        slots += load.slots
        occupied += calls
        queued = max(0.0, calls + 1.0 - load.slots)
        service_ms = typical_ms * load.get_slowness(now)
        wait_ms = min(wait_ms, queued / load.slots * service_ms)
        age_ms = min(age_ms, now - load.reported_at)
    if slots == 0:
        return None
    return ServiceRoom(slots=slots, occupied=occupied, wait_ms=wait_ms, age_ms=age_ms)
