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
>>> agent.try_spend(AccountId("museo-oro"), Millis(0))
False
"""

from __future__ import annotations

from skylarkcart.limits._agent import LimitsAgent
from skylarkcart.limits._apportion import Part, PartsKeeper, compute_parts
from skylarkcart.limits._messages import LimitsMessage, MemberView, Send
from skylarkcart.limits._rights import Rights
from skylarkcart.limits._static import StaticParts

__all__ = [
    "LimitsAgent",
    "LimitsMessage",
    "MemberView",
    "Part",
    "PartsKeeper",
    "Rights",
    "Send",
    "StaticParts",
    "compute_parts",
]
