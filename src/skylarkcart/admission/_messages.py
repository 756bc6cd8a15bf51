"""What an admission decision is made from, and the decision."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.types import AccountId, ServiceId


class Room(Protocol):
    """An estimate of the room of a service.

    ``occupied`` are the running and waiting calls, ``wait_ms`` is the estimated wait of
    one more call for a slot, and ``age_ms`` the age of the report behind the estimate.
    """

    @property
    def slots(self) -> float: ...

    @property
    def occupied(self) -> float: ...

    @property
    def wait_ms(self) -> float: ...

    @property
    def age_ms(self) -> float: ...


# The services that requests call together, named by the first of them and their number:
# hashing the names of all shards would cost more than the rest of a decision.
GroupKey = tuple[ServiceId, int]


def get_group_key(services: tuple[ServiceId, ...]) -> GroupKey:
    """Returns the name of a group of services."""
    return (services[0], len(services))


class AdmissionKind(enum.Enum):
    """What happens to a request."""

    ADMIT = "admit"
    HOLD = "hold"
    REFUSE = "refuse"


class AdmissionReason(enum.Enum):
    """Why a request is not simply admitted."""

    ROOM = "room"
    HOPELESS = "no_room_before_deadline"
    YIELDS = "yields_to_more_urgent"
    LATE = "no_room_in_time"
    BEFORE_SLOT = "returned_before_slot"
    INSTANCE_LATE = "instance_late"
    SHARDS_LEFT_OUT = "shards_left_out"


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request before its first call.

    ``services`` are the one service of a plain request or the shards of a search, of
    which it needs ``needed``. ``work_ms`` is the time that its calls take without
    waiting. ``is_returning`` holds if the caller probably made an earlier attempt.
    ``max_hold_ms`` is how long the request may be held, and ``was_held`` holds when it
    is decided again after that.
    """

    services: tuple[ServiceId, ...]
    needed: int
    priority: int
    account: AccountId | None
    caller: str
    soft_deadline: Millis
    hard_deadline: Millis
    work_ms: float
    is_returning: bool
    max_hold_ms: float = 0.0
    was_held: bool = False

    @property
    def group(self) -> GroupKey:
        return get_group_key(self.services)

    def get_tolerable_wait_ms(self, now: Millis) -> float:
        """Returns how long its calls may wait for the answer to be in time."""
        return max(0.0, self.soft_deadline - now - self.work_ms)


class RoomView(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision knew of the room, for log lines.

    Waits are the believed ones. ``wait_ms`` is that of the request, ``age_ms`` and
    ``trust`` those of the service that determines it, and ``full_reports`` the decayed
    number of reports that showed the request's services full.
    """

    wait_ms: float
    tolerable_ms: float
    time_left_ms: float
    work_ms: float
    age_ms: float
    trust: float
    slots: float
    occupied: float
    full_reports: float
    short_services: int


class AdmissionDecision(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to a request, and why.

    ``retry_after_ms`` is when a refused caller should come back, ``hold_ms`` how long a
    held request waits before it is decided again. ``urgent_priority`` and
    ``urgent_tolerable_ms`` describe the more urgent requests that it gives way to.
    """

    kind: AdmissionKind
    reason: AdmissionReason
    retry_after_ms: float = 0.0
    hold_ms: float = 0.0
    left_out: frozenset[ServiceId] = frozenset()
    view: RoomView | None = None
    urgent_priority: int | None = None
    urgent_tolerable_ms: float | None = None


ADMITTED = AdmissionDecision(kind=AdmissionKind.ADMIT, reason=AdmissionReason.ROOM)
