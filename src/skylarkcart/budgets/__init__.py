"""Bounds the calls beyond the first of each request, over all instances."""

from __future__ import annotations

from skylarkcart.budgets._extra_calls import ExtraCallKind, ExtraCalls

__all__ = ["ExtraCallKind", "ExtraCalls"]
