"""Scatter-gather requests: calls to shards, hedges, coverage and merging."""

from __future__ import annotations

from skylarkcart.scatter._execution import GatherDecision, GatherExecution
from skylarkcart.scatter._merge import RECORD_BYTES, merge_records
from skylarkcart.scatter._part import Part

__all__ = [
    "GatherDecision",
    "GatherExecution",
    "Part",
    "RECORD_BYTES",
    "merge_records",
]
