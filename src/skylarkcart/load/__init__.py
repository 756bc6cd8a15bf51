"""Estimates the present load of upstreams from their earlier reports.

The calls of others at an upstream are drawn or expected for now, given the age of its
last report and how fast such reports have lost their meaning before.

    service = ServiceLoad()
    load = UpstreamLoad(service=service, now=now, slots=4)
    load.record(report, now=now, own_calls=2)
    load.expect_calls(now, own_calls=2)
"""

from __future__ import annotations

from skylarkcart.load._room import ServiceRoom, compute_room
from skylarkcart.load._statistics import LoadStatistics
from skylarkcart.load._upstream import ServiceLoad, UpstreamLoad

__all__ = [
    "LoadStatistics",
    "ServiceLoad",
    "ServiceRoom",
    "UpstreamLoad",
    "compute_room",
]
