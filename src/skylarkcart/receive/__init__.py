"""Bounds the memory and descriptors that connections can make a process hold."""

from __future__ import annotations

from skylarkcart.receive._account import Account, Activity, Refusal, Share
from skylarkcart.receive._memory import Memory
from skylarkcart.receive._sizes import (
    CallerSizes,
    derive_caller_sizes,
    derive_upstream_bytes,
)

__all__ = [
    "Account",
    "Activity",
    "CallerSizes",
    "Memory",
    "Refusal",
    "Share",
    "derive_caller_sizes",
    "derive_upstream_bytes",
]
