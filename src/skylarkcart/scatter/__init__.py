"""Scatter-gather requests: calls to shards, hedges, coverage and merging."""

from __future__ import annotations

from skylarkcart.scatter._execution import GatherDecision, GatherExecution
from skylarkcart.scatter._merge import RECORD_BYTES, merge_records
from skylarkcart.scatter._omission import (
    choose_left_out_shards,
    count_dispensable,
)
from skylarkcart.scatter._part import Part

__all__ = [
    "GatherDecision",
    "GatherExecution",
    "Part",
    "RECORD_BYTES",
    "choose_left_out_shards",
    "count_dispensable",
    "merge_records",
]
