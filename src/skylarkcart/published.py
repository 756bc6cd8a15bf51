"""Types that the gateway uses for what operators and upstreams publish.

The adapter of a platform decodes each of the platform's documents into these types
once. Durations are in milliseconds, rates in requests per second, and coverage is a
ratio between 0 and 1.
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
    """A service and its weight in the distribution of a route's requests."""

    service: ServiceId
    weight: float


class ScatterGather(msgspec.Struct, frozen=True, kw_only=True):
    """How a scatter-gather route merges the responses of its shards.

    ``shards`` are services, each of which holds one shard. The merged response contains
    the ``top_records`` greatest records. With a coverage below ``min_coverage``, the
    request fails.
    """

    shards: tuple[ServiceId, ...]
    top_records: int
    min_coverage: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for the requests to one host whose path starts with one prefix.

    Either ``gathering`` is set, or ``shares`` lists the services to choose from. An
    idempotent request may run more than once, on at most ``max_attempts`` upstreams of
    each service. ``priority`` 0 is the highest. Routes with ``is_public`` need no key.
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
    gathering: ScatterGather | None = None


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of each upstream of a service, summed over all instances.

    With a ``cold_calls_per_s`` of 0, an upstream has no separate limit during its cold
    start.
    """

    service: ServiceId
    max_connections: int
    cold_start_ms: float
    cold_calls_per_s: float


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of a caller's request, its duration and idle connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account. With a ``rate_per_s`` of 0, its rate is not limited.

    Its ``priority`` goes before the one of the route if ``has_priority`` holds. Older
    builds send no ``has_priority``, and a priority of 0 if none is stated.
    """

    account: AccountId
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    has_priority: bool = False

    def choose_priority(self, route: Route) -> int:
        """Returns the priority of this account's requests on a route."""
        return self.priority if self.has_priority else route.priority

    def __repr__(self) -> str:
        return f"Account(account={self.account!r}, keys={len(self.keys)})"


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The complete configuration of the operators.

    If ``requires_keys`` holds, requests need the key of one of the ``accounts``, except
    on public routes. With no accounts, no key is valid then. It is None in state that
    comes from an older build.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    accounts: tuple[Account, ...]
    requires_keys: bool | None = None

    @property
    def is_ambiguous(self) -> bool:
        """Whether keys may or may not be needed.

        An older build passes on the same state for an empty list of accounts as for a
        configuration that asks for no keys.
        """
        return self.requires_keys is None and not self.accounts


class UpstreamState(enum.Enum):
    """The state that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A registered upstream.

    ``cold_left_ms`` is the remaining time of the cold start when the entry was written.
    ``born_ms`` is the start time of the upstream's process in Unix milliseconds by its
    own clock, or None if it is not stated.
    """

    upstream: UpstreamId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_left_ms: float = 0.0
    born_ms: int | None = None


class RegisteredUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's entry, and when this process first saw this version of it."""

    entry: UpstreamEntry
    first_seen_at: Millis


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item of the platform's store; ``value`` is None if it was deleted."""

    key: str
    revision: int
    value: bytes | None
