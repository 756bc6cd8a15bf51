"""Messages with which instances exchange configuration revisions."""

from __future__ import annotations

import msgspec

from skylarkcart.declarations import AccountRow, KeyRow, ServiceRow, ZoneRow
from skylarkcart.types import AccountId, InstanceId, KeyId, ServiceId, ZoneId


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag_field="type",
):
    """Base class of the configuration messages."""


class RevisionHeartbeat(Message, kw_only=True, tag="config.heartbeat"):
    """The sender's current revision.

    ``settled`` means that the sender has passed its own readiness check, so its
    revision does not rest on a single, possibly stale read of the platform.
    """

    revision: int
    digest: str
    settled: bool = False


class ChangeRequest(Message, kw_only=True, tag="config.request"):
    """Requests the delta from the sender's revision, or the whole value."""

    revision: int
    digest: str
    whole: bool = False


class ChangeDelta(Message, kw_only=True, tag="config.delta"):
    """The rows that differ between two revisions.

    ``digest`` is that of the resulting configuration; the receiver verifies it.
    """

    from_revision: int
    revision: int
    digest: str
    max_instances: int
    accounts: tuple[AccountRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    zones: tuple[ZoneRow, ...] = ()
    keys: tuple[KeyRow, ...] = ()
    removed_accounts: tuple[AccountId, ...] = ()
    removed_services: tuple[ServiceId, ...] = ()
    removed_zones: tuple[ZoneId, ...] = ()
    removed_keys: tuple[KeyId, ...] = ()


class WholeValue(Message, kw_only=True, tag="config.whole"):
    """A whole configuration; ``value`` is its canonical encoding, base64 in JSON."""

    revision: int
    digest: str
    value: bytes


ConfigMessage = RevisionHeartbeat | ChangeRequest | ChangeDelta | WholeValue


class OutgoingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Instructs the caller to send ``message`` to the instance ``to``."""

    to: InstanceId
    message: ConfigMessage
