"""Enforces the rate and burst of client accounts across all instances.

>>> import random
>>> from skylarkcart.clock import Millis
>>> from skylarkcart.types import AccountId, InstanceId, ZoneId
>>> agent = LimitsAgent(
...     instance=InstanceId("entry-1"),
...     incarnation="1",
...     zone=ZoneId("north"),
...     random=random.Random(1),
...     now=Millis(0),
... )
>>> agent.try_take_token(AccountId("museo-oro"), Millis(0))
False
"""

from __future__ import annotations

from skylarkcart.limits._agent import LimitsAgent
from skylarkcart.limits._allocation import (
    AllocationTracker,
    ZoneAllocation,
    compute_allocations,
)
from skylarkcart.limits._messages import LimitsMessage, MemberView, OutgoingMessage
from skylarkcart.limits._rights import Rights
from skylarkcart.limits._static import StaticAllocations

__all__ = [
    "LimitsAgent",
    "LimitsMessage",
    "MemberView",
    "ZoneAllocation",
    "AllocationTracker",
    "Rights",
    "OutgoingMessage",
    "StaticAllocations",
    "compute_allocations",
]
