"""Selects the upstream of a service with the lowest expected latency."""

from __future__ import annotations

from skylarkcart.replicas._latency import RouteLatency
from skylarkcart.replicas._replica import CallEnd, Replica
from skylarkcart.replicas._replicas import Access, Replicas

__all__ = ["Access", "CallEnd", "Replica", "Replicas", "RouteLatency"]
