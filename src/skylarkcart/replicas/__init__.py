"""Selects the upstream of a service with the lowest expected latency."""

from __future__ import annotations

from skylarkcart.replicas._cost import Access
from skylarkcart.replicas._even_choice import RefusedCall
from skylarkcart.replicas._latency import RouteLatency
from skylarkcart.replicas._replica import CallEnd, Replica
from skylarkcart.replicas._replicas import Replicas

__all__ = ["Access", "CallEnd", "RefusedCall", "Replica", "Replicas", "RouteLatency"]
