"""Limits the retries and hedges of each service across all instances."""

from __future__ import annotations

from skylarkcart.budgets._extra_calls import (
    ExtraCallBudget,
    ExtraCallClaim,
    ExtraCallKind,
    FleetShare,
)
from skylarkcart.budgets._request_rate import RequestRate
from skylarkcart.budgets._usage import (
    ZONE_EXCHANGE_ROUNDS,
    SharedUsage,
    UsageCollector,
    UsageView,
)
from skylarkcart.budgets._usage_messages import (
    USAGE_PREFIX,
    FleetUsage,
    InstanceUsage,
    ServiceUsage,
    UsageMessage,
    ZoneUsage,
    decode_usage,
    encode_usage,
    hash_service,
)

__all__ = [
    "ExtraCallBudget",
    "ExtraCallClaim",
    "ExtraCallKind",
    "FleetShare",
    "FleetUsage",
    "InstanceUsage",
    "RequestRate",
    "ServiceUsage",
    "SharedUsage",
    "USAGE_PREFIX",
    "UsageCollector",
    "UsageMessage",
    "UsageView",
    "ZONE_EXCHANGE_ROUNDS",
    "ZoneUsage",
    "decode_usage",
    "encode_usage",
    "hash_service",
]
