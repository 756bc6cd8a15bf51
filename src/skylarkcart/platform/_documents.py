"""Decodes the JSON documents that operators and upstreams store on the platform."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any

import msgspec

from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.platform._names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from skylarkcart.published import (
    Account,
    Address,
    CallerLimits,
    Configuration,
    Route,
    ScatterGather,
    Service,
    ServiceShare,
    UpstreamEntry,
    UpstreamState,
)
from skylarkcart.types import AccountId, Count, ServiceId, UpstreamId, ZoneId

MILLISECONDS_PER_SECOND = 1000.0

MAX_PORT = 65_535

# Integers beyond 64 bits can't be passed on to other instances.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# Reports between instances name zones and must fit into a datagram. Keys of the store
# have at most as many bytes.
Name = Annotated[str, msgspec.Meta(max_length=200)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class _Document(msgspec.Struct, frozen=True, rename="camel"):
    pass


class _Share(_Document, frozen=True):
    service: str
    weight: float


class _Route(_Document, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    max_attempts: Integer = 1
    priority: Integer = 0
    public: bool = False
    service: str | None = None
    split: tuple[_Share, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: Count = 0
    min_coverage: float = 0.0


class _Service(_Document, frozen=True):
    name: str
    max_conns: Count = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(_Document, frozen=True):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Integer | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class ConfigurationDocument(_Document, frozen=True):
    version: Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # Without the field, requests need no keys; with an empty list, no key is valid.
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType = msgspec.UNSET


class _Server(_Document, frozen=True):
    service: Name
    address: str
    zone: Name
    slots: Slots
    state: str
    cold_left_ms: float
    # Start time of the upstream's process in Unix milliseconds.
    born: Integer | None = None


def decode_configuration(data: bytes) -> Configuration:
    """Decodes the operators' configuration.

    Raises:
        InvalidValueError: the document is malformed or a field is missing.
    """
    document = _decode(CONFIGURATION_KEY, data, ConfigurationDocument)
    requires_keys = document.tenants is not msgspec.UNSET
    tenants = document.tenants if requires_keys else ()
    return Configuration(
        version=document.version,
        routes=tuple(_convert_route(route) for route in document.routes),
        services=tuple(_convert_service(service) for service in document.services),
        limits=CallerLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_timeout_ms=document.limits.header_timeout_ms,
            idle_timeout_ms=document.limits.idle_timeout_ms,
        ),
        accounts=tuple(_convert_account(tenant) for tenant in tenants),
        requires_keys=requires_keys,
    )


def decode_upstream(key: str, data: bytes) -> UpstreamEntry:
    """Decodes the registry entry of an upstream.

    Raises:
        InvalidValueError: a field is missing, has the wrong type or an invalid value.
    """
    document = _decode(key, data, _Server)
    try:
        state = UpstreamState(document.state)
    except ValueError as error:
        raise InvalidValueError(
            where=f"{key}: state", value=document.state, expected="ready or draining"
        ) from error
    if not document.service:
        raise InvalidValueError(
            where=f"{key}: service", value="", expected="the name of a service"
        )
    return UpstreamEntry(
        upstream=UpstreamId(key.removeprefix(UPSTREAM_PREFIX)),
        service=ServiceId(document.service),
        address=decode_address(f"{key}: address", document.address),
        zone=ZoneId(document.zone),
        slots=max(1, document.slots),
        state=state,
        cold_left_ms=document.cold_left_ms,
        born_ms=document.born,
    )


def decode_address(where: str, value: str) -> Address:
    """Parses an address in the form ``a.b.c.d:port``.

    >>> decode_address("address", "10.0.0.1:8080")
    Address(host='10.0.0.1', port=8080)

    Raises:
        InvalidValueError: it is not an IPv4 address with a port.
    """
    host, _, port_text = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        port = int(port_text) if port_text.isdecimal() else 0
    except ValueError:
        port = 0
    if not 0 < port <= MAX_PORT:
        raise InvalidValueError(
            where=where, value=value[:80], expected="an address such as 10.0.0.1:8080"
        )
    return Address(host=host, port=port)


def _decode(where: str, data: bytes, document_type: type) -> Any:
    try:
        return msgspec.json.decode(data, type=document_type)
    except DECODING_ERRORS as error:
        raise InvalidValueError(
            where=where, value=data[:80], expected=f"a valid document: {error}"
        ) from error


def _convert_route(route: _Route) -> Route:
    shares = route.split
    if route.service:
        shares = (_Share(service=route.service, weight=1.0),)
    gathering = None
    if route.gather:
        gathering = ScatterGather(
            shards=tuple(ServiceId(name) for name in route.gather),
            top_records=route.top_k,
            min_coverage=route.min_coverage,
        )
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        is_idempotent=route.kind == "safe",
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        is_public=route.public,
        shares=tuple(
            ServiceShare(service=ServiceId(share.service), weight=share.weight)
            for share in shares
        ),
        gathering=gathering,
    )


def _convert_service(service: _Service) -> Service:
    return Service(
        service=ServiceId(service.name),
        max_connections=service.max_conns,
        cold_start_ms=service.cold_start_s * MILLISECONDS_PER_SECOND,
        cold_calls_per_s=service.cold_per_s,
    )


def _convert_account(tenant: _Tenant) -> Account:
    return Account(
        account=AccountId(tenant.name),
        keys=tenant.api_keys,
        priority=tenant.priority or 0,
        has_priority=tenant.priority is not None,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
    )
