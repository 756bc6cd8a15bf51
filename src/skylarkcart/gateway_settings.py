"""Settings of a gateway instance, independent of the file format."""

from __future__ import annotations

import msgspec

from skylarkcart.published import Address
from skylarkcart.types import InstanceId, ZoneId


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform's operators set for the whole fleet.

    A revoked key must not work on any instance later than ``key_revocation_ms`` after
    its revocation. In any period of ``extra_calls_window_ms``, the fleet may send a
    service ``extra_calls_ratio`` extra calls for each request, plus
    ``extra_calls_slack``.

    Writers that were cut off from the store have caught up after ``catch_up_ms``. A
    configuration is in force after ``configuration_ms``, an evacuation after
    ``evacuation_ms`` and the drain of an upstream after ``upstream_drain_ms``; while
    the store is not stable, the first two may take ``unstable_store_ms`` longer.
    """

    shutdown_grace_ms: float
    key_revocation_ms: float
    extra_calls_ratio: float
    extra_calls_window_ms: float
    extra_calls_slack: float
    catch_up_ms: float = 4_000.0
    configuration_ms: float = 3_000.0
    evacuation_ms: float = 5_000.0
    upstream_drain_ms: float = 3_000.0
    unstable_store_ms: float = 12_000.0


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a gateway instance reads at its start.

    ``seed_hosts`` are instances to contact first; the list may be out of date and the
    instances may be down. All instances of a fleet use the same ``peer_port``.
    ``is_first_start`` is true if no instance of the fleet has run before. ``link_mbps``
    is the rate of the machine's network link in megabits per second, ``memory_mb`` the
    memory that the process may use, in megabytes, and ``max_descriptors`` the file
    descriptors that it may have open. With ``spreads_calls``, calls to busy upstreams
    that state a work factor are spread by draws of their load.
    """

    instance: InstanceId
    zone: ZoneId
    zones: tuple[ZoneId, ...]
    caller_address: Address
    readiness_address: Address
    platform_address: Address
    peer_host: str
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    is_first_start: bool
    link_mbps: float
    memory_mb: float
    max_descriptors: int
    bounds: Bounds
    spreads_calls: bool = False
