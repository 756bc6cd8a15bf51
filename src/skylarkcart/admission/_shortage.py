"""The believed waits of the services that a request calls."""

from __future__ import annotations

from collections.abc import Callable

from skylarkcart.admission._evidence import ServiceEvidence
from skylarkcart.admission._messages import AdmissionRequest, Room, RoomView
from skylarkcart.clock import Millis
from skylarkcart.types import ServiceId

# Returns the room of a service where a typical call takes so many milliseconds.
GetRoom = Callable[[ServiceId, float], Room | None]

# Full reports of services that one search calls together, from which the shortage of
# each counts as shown.
MIN_FULL_REPORTS_OF_GROUP = 6.0


class Shortage:
    """Believed waits in ms of a request's services; services with room have none."""

    def __init__(
        self,
        *,
        waits: dict[ServiceId, float],
        rooms: dict[ServiceId, Room],
        evidence: dict[ServiceId, ServiceEvidence],
        full_reports: float,
        service_count: int,
    ) -> None:
        self.waits = waits
        self._rooms = rooms
        self._evidence = evidence
        self._full_reports = full_reports
        self._service_count = service_count
        self._sorted_waits = sorted(waits.values())

    def get_wait_ms(self, needed: int) -> float:
        """Returns the wait of the service that completes the needed ones."""
        index = needed - 1 - (self._service_count - len(self._sorted_waits))
        return self._sorted_waits[index] if index >= 0 else 0.0

    def get_slots(self) -> float:
        """Returns the slots of the smallest of the short services."""
        slots = [self._rooms[name].slots for name in self.waits if name in self._rooms]
        return min(slots, default=0.0)

    def build_view(
        self, request: AdmissionRequest, *, wait_ms: float, now: Millis
    ) -> RoomView:
        worst = max(self.waits, key=self.waits.__getitem__)
        room = self._rooms.get(worst)
        return RoomView(
            wait_ms=round(wait_ms, 1),
            tolerable_ms=round(request.get_tolerable_wait_ms(now), 1),
            time_left_ms=round(request.hard_deadline - now, 1),
            work_ms=round(request.work_ms, 1),
            age_ms=0.0 if room is None else round(room.age_ms, 1),
            trust=round(self._evidence[worst].trust, 2),
            slots=0.0 if room is None else room.slots,
            occupied=0.0 if room is None else round(room.occupied, 1),
            full_reports=round(self._full_reports, 1),
            short_services=len(self.waits),
        )


def find_shortage(
    services: tuple[ServiceId, ...],
    evidence: dict[ServiceId, ServiceEvidence],
    get_room: GetRoom,
    *,
    tolerable_ms: float,
    work_ms: float,
    now: Millis,
) -> Shortage | None:
    """Returns which of the services are short of room, or None if none is.

    The room is asked for only of services that were reported to be full lately.
    ``work_ms`` is the typical work of their calls.
    """
    suspects = {
        name: evidence[name]
        for name in services
        if name in evidence and evidence[name].is_suspect(now)
    }
    if not suspects:
        return None
    full_reports = sum(each.count_full_reports(now) for each in suspects.values())
    is_proven = full_reports >= MIN_FULL_REPORTS_OF_GROUP
    waits: dict[ServiceId, float] = {}
    rooms: dict[ServiceId, Room] = {}
    for name, each in suspects.items():
        room = get_room(name, work_ms)
        wait_ms = each.update(
            room, tolerable_ms=tolerable_ms, is_proven=is_proven, now=now
        )
        if room is not None:
            rooms[name] = room
        if wait_ms > 0.0:
            waits[name] = wait_ms
    if not waits:
        return None
    return Shortage(
        waits=waits,
        rooms=rooms,
        evidence=evidence,
        full_reports=full_reports,
        service_count=len(services),
    )
