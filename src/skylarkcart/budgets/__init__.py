"""Limits the retries and hedges of each service across all instances."""

from __future__ import annotations

from skylarkcart.budgets._extra_calls import ExtraCallBudget, ExtraCallKind

__all__ = ["ExtraCallBudget", "ExtraCallKind"]
