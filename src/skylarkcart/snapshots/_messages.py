"""Messages with which instances exchange index snapshots."""

from __future__ import annotations

import msgspec

from skylarkcart.types import InstanceId, ServiceId


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="type",
):
    """Base class of the snapshot messages."""


class ServiceSequence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A service and the sequence of its newest snapshot."""

    service: ServiceId
    sequence: int


class SnapshotHeartbeat(Message, kw_only=True, tag="snapshots.heartbeat"):
    """The sequences of the snapshots that the sender has."""

    known: tuple[ServiceSequence, ...]


class SnapshotRequest(Message, kw_only=True, tag="snapshots.request"):
    """Requests a snapshot of a service that is newer than ``sequence``."""

    service: ServiceId
    sequence: int


class SnapshotValue(Message, kw_only=True, tag="snapshots.value"):
    """A snapshot; ``value`` is its published encoding, base64 in JSON."""

    value: bytes


SnapshotMessage = SnapshotHeartbeat | SnapshotRequest | SnapshotValue


class OutgoingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Instructs the caller to send ``message`` to the instance ``to``."""

    to: InstanceId
    message: SnapshotMessage
