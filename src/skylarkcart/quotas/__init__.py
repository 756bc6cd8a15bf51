"""Keeps each client account's rate and burst over all instances."""

from __future__ import annotations

from skylarkcart.quotas._shared import INITIAL_PART, AccountQuota, Quotas

__all__ = ["AccountQuota", "INITIAL_PART", "Quotas"]
