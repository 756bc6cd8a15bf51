"""Enforces each client account's rate and burst across all instances."""

from __future__ import annotations

from skylarkcart.quotas._token_buckets import INITIAL_PART, AccountQuota, Quotas

__all__ = ["AccountQuota", "INITIAL_PART", "Quotas"]
