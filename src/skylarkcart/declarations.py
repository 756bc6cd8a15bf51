"""Typed values of what operators and the platform publish.

The configuration holds the operators' tables after validation. All values are
immutable, and decoding rejects unknown fields.
"""

from __future__ import annotations

import msgspec

from skylarkcart.types import (
    AccountId,
    InstanceId,
    KeyId,
    LateShardPreference,
    ListState,
    PlatformLossPolicy,
    Role,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
    ZoneId,
    ZoneState,
)


class Declaration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of published values."""


class AccountRow(Declaration, kw_only=True):
    """A client account's limits.

    ``rate_per_s`` and ``burst`` count requests. ``share`` is the account's weight under
    overload.
    """

    account: AccountId
    rate_per_s: float
    burst: int
    share: float
    on_platform_loss: PlatformLossPolicy = PlatformLossPolicy.SERVE
    refuse_after_s: float = 0.0


class ServiceRow(Declaration, kw_only=True):
    """How the upstreams of one service are called.

    ``slots`` and ``cold_slots`` are the concurrent calls that an upstream handles when
    warm and during its cold start. ``connections`` is the maximum number of connections
    to an upstream over all instances.
    """

    service: ServiceId
    open_to_all: bool = False
    slots: int
    cold_slots: int = 1
    connections: int
    connect_cost_ms: float
    answer_by_ms: float
    deadline_ms: float
    prefer: LateShardPreference = LateShardPreference.TIMELY
    extra_calls_ratio: float = 0.05


class ZoneRow(Declaration, kw_only=True):
    """An availability zone and the weight of its part in each account's limits."""

    zone: ZoneId
    state: ZoneState = ZoneState.OPEN
    weight: float = 1.0


class KeyRow(Declaration, kw_only=True):
    """A key of a client account.

    ``secret_sha256`` is the SHA-256 digest of salt and secret. Salt and digest are in
    hexadecimal.
    """

    key_id: KeyId
    account: AccountId
    salt: str
    secret_sha256: str


class Configuration(Declaration, kw_only=True):
    """One revision of the operators' configuration."""

    revision: int
    max_instances: int
    accounts: tuple[AccountRow, ...]
    services: tuple[ServiceRow, ...]
    zones: tuple[ZoneRow, ...]
    keys: tuple[KeyRow, ...]


class ShardPlacement(Declaration, kw_only=True):
    """The upstreams that hold a shard of an index snapshot."""

    shard: ShardId
    upstreams: tuple[UpstreamId, ...]


class IndexSnapshot(Declaration, kw_only=True):
    """One version of a service's index and its shard map."""

    service: ServiceId
    snapshot: SnapshotId
    sequence: int
    shards: tuple[ShardPlacement, ...]


class ListedProcess(Declaration, kw_only=True):
    """An entry of the platform's instance list, which may be out of date.

    ``address`` and ``peer_address`` have the form ``host:port``. ``service`` is set for
    upstreams only, and ``peer_address`` for entry instances only.
    """

    id: str
    role: Role
    zone: ZoneId
    address: str
    state: ListState
    incarnation: str
    peer_address: str = ""
    service: ServiceId = ServiceId("")

    @property
    def instance(self) -> InstanceId:
        return InstanceId(self.id)

    @property
    def upstream(self) -> UpstreamId:
        return UpstreamId(self.id)


class InstanceList(Declaration, kw_only=True):
    """The platform's instance list. ``version`` increases with each change."""

    version: int
    instances: tuple[ListedProcess, ...]
