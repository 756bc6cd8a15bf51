"""What operators and upstreams publish, as the gateway's slices see it.

The adapter of a platform decodes its messages into these types once. Durations are in
milliseconds, rates in requests a second, coverage is a share between 0 and 1.
"""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.types import AccountId, ServiceId, UpstreamId, ZoneId


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """One of the services among which a route's requests are divided by weight."""

    service: ServiceId
    weight: float


class Gathering(msgspec.Struct, frozen=True, kw_only=True):
    """How a scatter-gather route forms its answer.

    ``shards`` are services, each of which holds one shard. The answer keeps the
    ``top_records`` greatest records. Below ``min_coverage`` it is no success.
    """

    shards: tuple[ServiceId, ...]
    top_records: int
    min_coverage: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host below one path prefix.

    Either ``gathering`` is set or ``shares`` names the services to choose from. An
    idempotent request may run more than once, on at most ``max_attempts`` upstreams of
    each service. ``priority`` 0 is the most urgent. ``is_public`` routes need no key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int
    is_public: bool
    shares: tuple[ServiceShare, ...] = ()
    gathering: Gathering | None = None


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the upstreams of a service, counted over all callers together.

    ``cold_calls_per_s`` is 0 where a cold upstream has no limit of its own.
    """

    service: ServiceId
    max_connections: int
    cold_start_ms: float
    cold_calls_per_s: float


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account. A ``rate_per_s`` of 0 means that it is not limited."""

    account: AccountId
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float

    def __repr__(self) -> str:
        return f"Account(account={self.account!r}, keys={len(self.keys)})"


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' configuration, in full."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    accounts: tuple[Account, ...]


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A registered upstream.

    ``cold_left_ms`` counts from the moment at which the entry was written. ``born_ms``
    is the upstream's start by its own time of day, or None if it did not say.
    """

    upstream: UpstreamId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_left_ms: float = 0.0
    born_ms: int | None = None


class Registered(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's entry, and when this process first saw it in this form."""

    entry: UpstreamEntry
    seen_at: Millis


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item of the platform's store; ``value`` is None once it was deleted."""

    key: str
    revision: int
    value: bytes | None
