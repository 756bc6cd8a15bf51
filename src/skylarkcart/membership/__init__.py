"""Tracks the instances and upstreams of the fleet."""

from __future__ import annotations

from skylarkcart.membership._members import (
    REMOTE_EXCHANGE_INTERVAL_MS,
    REMOVE_AFTER_MS,
    ZONE_EXCHANGE_INTERVAL_MS,
    Members,
)
from skylarkcart.membership._messages import (
    IntroducedMember,
    Introduction,
    ListRequest,
    ListValue,
    MemberHeartbeat,
    MembershipMessage,
    PeerExchange,
)
from skylarkcart.membership._record import (
    REMOTE_SILENT_AFTER_MS,
    SILENT_AFTER_MS,
    Member,
    MemberState,
)

__all__ = [
    "REMOTE_EXCHANGE_INTERVAL_MS",
    "REMOTE_SILENT_AFTER_MS",
    "REMOVE_AFTER_MS",
    "SILENT_AFTER_MS",
    "ZONE_EXCHANGE_INTERVAL_MS",
    "IntroducedMember",
    "Introduction",
    "ListRequest",
    "ListValue",
    "Member",
    "MemberHeartbeat",
    "MemberState",
    "Members",
    "MembershipMessage",
    "PeerExchange",
]
