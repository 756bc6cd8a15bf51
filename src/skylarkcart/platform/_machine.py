"""Decodes the settings file that the platform places on each machine."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec

from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.gateway_settings import Bounds, GatewaySettings
from skylarkcart.platform._documents import decode_address
from skylarkcart.types import InstanceId, ZoneId

MILLISECONDS_PER_SECOND = 1000.0

# Lower bound, because a rate of zero in the settings file says nothing about the link.
# If the file states no rate, the default of `_Limits` applies.
MIN_LINK_MBPS = 1.0

# Less memory and fewer descriptors do not suffice for the process itself.
MIN_MEMORY_MB = 64.0
MIN_DESCRIPTORS = 256


class _Section(msgspec.Struct, frozen=True, rename="camel"):
    pass


class _Listen(_Section, frozen=True):
    front: str
    ready: str
    control: str


class _Bounds(_Section, frozen=True):
    grace_s: float = 6.0
    revoke_strict: bool = True
    revoke_ms: float = 5_000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 50.0
    catch_up_s: float = 4.0
    config_apply_ms: float = 3_000.0
    evacuate_ms: float = 5_000.0
    drain_ms: float = 3_000.0
    max_stretch_ms: float = 12_000.0


class _Limits(_Section, frozen=True):
    link_mbps: float = 1_000.0
    memory_mb: float = 200.0
    max_fds: int = 4_100


class _Store(_Section, frozen=True):
    address: str


class _Machine(_Section, frozen=True):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen_addrs: _Listen
    platform: _Store
    # True only if the whole system is started for the first time.
    bootstrap: bool = False
    zones: dict[str, str] = {}
    seeds: tuple[str, ...] = ()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def read_machine_settings(path: pathlib.Path) -> GatewaySettings:
    """Reads the platform's settings file and ignores unknown fields.

    Raises:
        InvalidValueError: the file can't be read, or a field is missing or invalid.
        ExceptionGroup: one or more addresses are invalid.
    """
    try:
        data = path.read_bytes()
        document = msgspec.toml.decode(data, type=_Machine)
    except OSError as error:
        raise InvalidValueError(
            where="settings file", value=str(path), expected="a readable file"
        ) from error
    except DECODING_ERRORS as error:
        raise InvalidValueError(
            where=str(path), value=data[:80], expected=f"valid settings: {error}"
        ) from error
    return _convert(document)


def _convert(document: _Machine) -> GatewaySettings:
    address_texts = {
        "listenAddrs.front": document.listen_addrs.front,
        "listenAddrs.ready": document.listen_addrs.ready,
        "platform.address": document.platform.address,
    }
    address_texts.update({f"seeds.{i}": seed for i, seed in enumerate(document.seeds)})
    addresses: dict[str, Any] = {}
    errors = []
    for where, text in address_texts.items():
        try:
            addresses[where] = decode_address(where, text)
        except InvalidValueError as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("invalid addresses in the settings file", errors)
    return GatewaySettings(
        instance=InstanceId(document.node_name),
        zone=ZoneId(document.zone),
        zones=tuple(ZoneId(name) for name in document.zones),
        caller_address=addresses["listenAddrs.front"],
        readiness_address=addresses["listenAddrs.ready"],
        platform_address=addresses["platform.address"],
        peer_host=document.ip,
        peer_port=document.internal_ports[0],
        metrics_port=document.internal_ports[1],
        seed_hosts=tuple(
            addresses[f"seeds.{i}"].host for i in range(len(document.seeds))
        ),
        is_first_start=document.bootstrap,
        link_mbps=max(MIN_LINK_MBPS, document.limits.link_mbps),
        memory_mb=max(MIN_MEMORY_MB, document.limits.memory_mb),
        max_descriptors=max(MIN_DESCRIPTORS, document.limits.max_fds),
        bounds=_convert_bounds(document.bounds),
    )


def _convert_bounds(bounds: _Bounds) -> Bounds:
    return Bounds(
        shutdown_grace_ms=bounds.grace_s * MILLISECONDS_PER_SECOND,
        key_revocation_ms=bounds.revoke_ms if bounds.revoke_strict else float("inf"),
        extra_calls_ratio=bounds.retry_budget_ratio,
        extra_calls_window_ms=bounds.budget_window_s * MILLISECONDS_PER_SECOND,
        extra_calls_slack=bounds.retry_budget_slack,
        catch_up_ms=bounds.catch_up_s * MILLISECONDS_PER_SECOND,
        configuration_ms=bounds.config_apply_ms,
        evacuation_ms=bounds.evacuate_ms,
        upstream_drain_ms=bounds.drain_ms,
        unstable_store_ms=bounds.max_stretch_ms,
    )
