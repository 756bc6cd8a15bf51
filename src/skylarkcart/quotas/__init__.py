"""Enforces each client account's rate and burst across all instances."""

from __future__ import annotations

from skylarkcart.quotas._token_buckets import (
    INITIAL_FILL_FRACTION,
    AccountQuota,
    Quotas,
)

__all__ = ["AccountQuota", "INITIAL_FILL_FRACTION", "Quotas"]
