"""Totals that show how well the load of upstreams is estimated."""

from __future__ import annotations

import msgspec


class LoadStatistics(msgspec.Struct, kw_only=True):
    """Totals of one instance since its start.

    ``error_calls`` sums the differences between expected and reported calls.
    ``misplaced`` are the refused calls for which another upstream of the service was
    expected to have a free slot.
    """

    reports: int = 0
    error_calls: float = 0.0
    contradictions: int = 0
    refused: int = 0
    misplaced: int = 0
