"""Limits the retries and hedges of each service across all instances."""

from __future__ import annotations

from skylarkcart.budgets._extra_calls import (
    ExtraCallBudget,
    ExtraCallKind,
    FleetShare,
)
from skylarkcart.budgets._request_rate import RequestRate

__all__ = ["ExtraCallBudget", "ExtraCallKind", "FleetShare", "RequestRate"]
