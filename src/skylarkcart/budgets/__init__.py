"""Limits the retries and hedges of each service across all instances."""

from __future__ import annotations

from skylarkcart.budgets._extra_calls import ExtraCallKind, ExtraCalls

__all__ = ["ExtraCallKind", "ExtraCalls"]
