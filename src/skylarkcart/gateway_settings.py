"""Settings of a gateway instance, whatever file they came from."""

from __future__ import annotations

import msgspec

from skylarkcart.published import Address
from skylarkcart.types import InstanceId, ZoneId


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform's operators set for the whole fleet.

    ``withdrawal_ms`` is the time after which a withdrawn key may not work anywhere.
    In any ``extra_calls_window_ms``, the fleet may send a service
    ``extra_calls_ratio`` extra calls for each request, and ``extra_calls_slack`` more.
    """

    shutdown_grace_ms: float
    withdrawal_ms: float
    extra_calls_ratio: float
    extra_calls_window_ms: float
    extra_calls_slack: float


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway instance is told at its start.

    ``seed_hosts`` are instances that may be stale or down. All instances of a fleet
    use the same ``peer_port``. ``is_first_start`` holds if no instance of the fleet ran
    before. ``link_mbps`` is the rate of the machine's own link in megabits a second.
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
    bounds: Bounds
