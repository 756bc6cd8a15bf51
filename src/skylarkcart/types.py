"""Identifiers, enumerations and plain values shared by every slice."""

from __future__ import annotations

import enum
from typing import NewType

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
GrantId = NewType("GrantId", str)


class Role(enum.Enum):
    """What a listed process does."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class ListState(enum.Enum):
    """State of a process in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ZoneState(enum.Enum):
    """State of an availability zone in the operators' table.

    ``REMOVED`` declares that nothing in the zone runs any more, so that its part of
    each rate may be used elsewhere without its confirmation.
    """

    OPEN = "open"
    CLOSED = "closed"
    REMOVED = "removed"


class Preference(enum.Enum):
    """What a service prefers when shards are late."""

    TIMELY = "timely"
    COMPLETE = "complete"


class PlatformLoss(enum.Enum):
    """What a zone cut off from the platform does with an account's requests."""

    SERVE = "serve"
    REFUSE = "refuse"


class Spending(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Requests of an account that a process admitted.

    ``total`` counts since the start of the process, ``earlier`` until some seconds
    ago: what a receiver deducts that did not know the account's total before.
    """

    total: int
    earlier: int


class SlowCall(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A call that took much longer than usual, as one instance tells others.

    ``ended_ago_ms`` counts from the report, ``ratio`` is the duration relative to the
    route's usual one.
    """

    upstream: UpstreamId
    ended_ago_ms: float
    duration_ms: float
    ratio: float
