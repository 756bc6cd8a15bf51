"""Identifiers, enumerations and value types that all subpackages share."""

from __future__ import annotations

import enum
from typing import Annotated, NewType

import msgspec

AccountId = NewType("AccountId", str)
ServiceId = NewType("ServiceId", str)
ZoneId = NewType("ZoneId", str)
InstanceId = NewType("InstanceId", str)
UpstreamId = NewType("UpstreamId", str)
ProcessId = NewType("ProcessId", str)
ShardId = NewType("ShardId", str)
SnapshotId = NewType("SnapshotId", str)
RequestId = NewType("RequestId", str)
CallId = NewType("CallId", int)
KeyId = NewType("KeyId", str)
Era = NewType("Era", int)
GrantId = NewType("GrantId", str)


# Numbers in messages of other processes. A message with a value out of its range, such
# as a negative count or NaN, is not decoded.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=600_000.0)]
MAX_NUMBER = 2.0**63
Ratio = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]


# Precedes all eras that the store states.
NO_ERA = Era(-1)


class StatePosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """How new published state is: the era of the store, then its revision.

    The store starts a new era when it is restored from a copy, and gives revisions out
    again. State of an era that isn't known precedes all other state.

    >>> StatePosition(Era(1), 900) < StatePosition(Era(2), 300)
    True
    """

    era: Era
    revision: int


class Role(enum.Enum):
    """Role of a process in the platform's instance list."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class ListState(enum.Enum):
    """State of a process in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class ZoneState(enum.Enum):
    """State of an availability zone in the operators' table.

    ``REMOVED`` declares that nothing runs in the zone any more, so that other zones may
    use its part of each rate without a confirmation from the zone.
    """

    OPEN = "open"
    CLOSED = "closed"
    REMOVED = "removed"


class LateShardPreference(enum.Enum):
    """Whether a service prefers timely or complete results if shards are late."""

    TIMELY = "timely"
    COMPLETE = "complete"


class PlatformLossPolicy(enum.Enum):
    """How a zone handles an account's requests while it can't reach the platform."""

    SERVE = "serve"
    REFUSE = "refuse"


class Spending(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Number of an account's requests that a process admitted since its start.

    ``total`` is the current count and ``earlier`` the count some seconds ago. A
    receiver that has no previous total for the account uses ``earlier`` as the previous
    total.
    """

    total: Count
    earlier: Count


class SlowCall(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A call that took much longer than usual, as one instance reports it to others.

    ``ended_ago_ms`` is the time from the end of the call to the report. ``ratio`` is
    the duration relative to the usual duration on the route.
    """

    upstream: UpstreamId
    ended_ago_ms: Duration
    duration_ms: Duration
    ratio: Ratio
