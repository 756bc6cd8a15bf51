"""Which part of the requests of a kind gives way, and to whom."""

from __future__ import annotations

import msgspec

from skylarkcart.admission._demand import UrgentDemand
from skylarkcart.admission._messages import AdmissionReason, AdmissionRequest
from skylarkcart.admission._shortage import Shortage
from skylarkcart.clock import Millis

# Requests begin to give way when the wait reaches this part of what more urgent ones
# tolerate, and all of them do so at twice that wait. In between, a part does: instances
# that see the same shortage don't all close at once.
YIELD_START_RATIO = 0.75
YIELD_FULL_FACTOR = 2.0

# An urgent request is refused with certainty when the wait is this many times what it
# tolerates.
LATE_FULL_FACTOR = 1.5

# Waits are estimated no more exactly than this.
MIN_TOLERABLE_MS = 5.0


class Pressure(msgspec.Struct, frozen=True, kw_only=True):
    """The part of such requests that gives way, from 0 to 1.

    ``excess_ms`` is the time until the wait has fallen so far that none does.
    """

    reason: AdmissionReason
    part: float
    wait_ms: float
    excess_ms: float
    urgent: UrgentDemand | None = None


def find_pressure(
    request: AdmissionRequest,
    shortage: Shortage,
    more_urgent: list[UrgentDemand],
    *,
    is_highest_priority: bool,
    now: Millis,
) -> Pressure:
    """Compares the wait with the request's deadlines and those of more urgent ones."""
    wait_ms = shortage.get_wait_ms(request.needed)
    tolerable_ms = request.get_tolerable_wait_ms(now)
    # Without a wait, it is not room that the request lacks.
    if wait_ms > 0.0 and wait_ms > request.hard_deadline - now - request.work_ms:
        return Pressure(
            reason=AdmissionReason.HOPELESS,
            part=1.0,
            wait_ms=wait_ms,
            excess_ms=wait_ms - tolerable_ms,
        )
    if more_urgent:
        return _find_yielding(shortage, more_urgent)
    if tolerable_ms <= 0.0 or not is_highest_priority:
        # It is late for other reasons than room, so that a refusal would not help its
        # caller, or it keeps enough of its worth when it is late.
        return Pressure(
            reason=AdmissionReason.ROOM, part=0.0, wait_ms=wait_ms, excess_ms=0.0
        )
    return Pressure(
        reason=AdmissionReason.LATE,
        part=_interpolate(wait_ms, tolerable_ms, LATE_FULL_FACTOR * tolerable_ms),
        wait_ms=wait_ms,
        excess_ms=max(0.0, wait_ms - tolerable_ms),
    )


def _find_yielding(shortage: Shortage, more_urgent: list[UrgentDemand]) -> Pressure:
    """Returns the strongest pressure of more urgent requests.

    The further a priority lies above, the earlier the request gives way to it.
    """
    found: list[Pressure] = []
    for index, demand in enumerate(more_urgent):
        distance = len(more_urgent) - index
        tolerable_ms = max(MIN_TOLERABLE_MS, demand.tolerable_ms)
        start_ms = YIELD_START_RATIO * tolerable_ms / distance
        wait_ms = shortage.get_wait_ms(demand.needed)
        found.append(
            Pressure(
                reason=AdmissionReason.YIELDS,
                part=_interpolate(wait_ms, start_ms, YIELD_FULL_FACTOR * start_ms),
                wait_ms=wait_ms,
                excess_ms=max(0.0, wait_ms - start_ms),
                urgent=demand,
            )
        )
    return max(found, key=lambda pressure: (pressure.part, pressure.excess_ms))


def _interpolate(value: float, start: float, end: float) -> float:
    """Returns 0 up to ``start``, 1 from ``end`` on, and a line in between."""
    return min(1.0, max(0.0, (value - start) / (end - start)))
