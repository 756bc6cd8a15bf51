"""Stores the newest snapshot of each service and distributes it to zone peers.

A snapshot with a lower sequence never replaces a newer one. Running queries keep the
snapshot that they have pinned, so a newer one does not affect them.
"""

from __future__ import annotations

import enum
from functools import singledispatchmethod

import msgspec
from absl import logging

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.snapshots._messages import (
    OutgoingMessage,
    ServiceSequence,
    SnapshotHeartbeat,
    SnapshotMessage,
    SnapshotRequest,
    SnapshotValue,
)
from skylarkcart.types import InstanceId, ServiceId

MAX_SNAPSHOT_BYTES = 1_000_000

# Two exchange intervals inside a zone. After this time without an answer, the snapshot
# is requested from the next peer that announces it.
REQUEST_TIMEOUT_MS = 500.0


class SnapshotOutcome(enum.Enum):
    """Whether an offered snapshot was adopted, or why not."""

    ADOPTED = "adopted"
    NOT_NEWER = "not_newer"
    INVALID = "invalid"


class _StoredSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    snapshot: IndexSnapshot
    value: bytes


class SnapshotAgent:
    """Holds the index snapshots of an instance and exchanges them with its peers.

    >>> agent = SnapshotAgent()
    >>> agent.find(ServiceId("notarial")) is None
    True
    """

    def __init__(self) -> None:
        self._stored: dict[ServiceId, _StoredSnapshot] = {}
        self._requested_at: dict[ServiceId, Millis] = {}

    def find(self, service: ServiceId) -> IndexSnapshot | None:
        """Returns the newest snapshot of a service, or None if there is none."""
        stored = self._stored.get(service)
        return stored.snapshot if stored else None

    def offer(self, value: bytes) -> SnapshotOutcome:
        """Adopts a published snapshot if it is valid and its sequence is higher."""
        snapshot = _decode(value)
        if snapshot is None:
            return SnapshotOutcome.INVALID
        if snapshot.sequence <= self._get_sequence(snapshot.service):
            return SnapshotOutcome.NOT_NEWER
        self._stored[snapshot.service] = _StoredSnapshot(snapshot=snapshot, value=value)
        self._requested_at.pop(snapshot.service, None)
        return SnapshotOutcome.ADOPTED

    def heartbeat(self) -> SnapshotHeartbeat:
        """Returns the heartbeat to include in each exchange with zone peers."""
        known = tuple(
            ServiceSequence(service=service, sequence=stored.snapshot.sequence)
            for service, stored in self._stored.items()
        )
        return SnapshotHeartbeat(known=known)

    def handle(
        self, sender: InstanceId, message: SnapshotMessage, now: Millis
    ) -> list[OutgoingMessage]:
        """Handles a peer's message and returns the messages to send."""
        return [
            OutgoingMessage(to=sender, message=answer)
            for answer in self._handle(message, now)
        ]

    @singledispatchmethod
    def _handle(self, message: SnapshotMessage, now: Millis) -> list[SnapshotMessage]:
        raise TypeError(f"got a {type(message).__name__}, expected a SnapshotMessage")

    @_handle.register
    def _(self, message: SnapshotHeartbeat, now: Millis) -> list[SnapshotMessage]:
        requests: list[SnapshotMessage] = []
        for announced in message.known:
            own_sequence = self._get_sequence(announced.service)
            if announced.sequence <= own_sequence or self._is_request_pending(
                announced.service, now
            ):
                continue
            self._requested_at[announced.service] = now
            requests.append(
                SnapshotRequest(service=announced.service, sequence=own_sequence)
            )
        return requests

    @_handle.register
    def _(self, message: SnapshotRequest, now: Millis) -> list[SnapshotMessage]:
        stored = self._stored.get(message.service)
        if stored is None or stored.snapshot.sequence <= message.sequence:
            return []
        return [SnapshotValue(value=stored.value)]

    @_handle.register
    def _(self, message: SnapshotValue, now: Millis) -> list[SnapshotMessage]:
        self.offer(message.value)
        return []

    def _get_sequence(self, service: ServiceId) -> int:
        stored = self._stored.get(service)
        return stored.snapshot.sequence if stored else 0

    def _is_request_pending(self, service: ServiceId, now: Millis) -> bool:
        requested_at = self._requested_at.get(service)
        return requested_at is not None and now - requested_at < REQUEST_TIMEOUT_MS


def _decode(value: bytes) -> IndexSnapshot | None:
    if len(value) > MAX_SNAPSHOT_BYTES:
        logging.error(
            "event=snapshot_rejected detail='%d bytes, expected at most %d'",
            len(value),
            MAX_SNAPSHOT_BYTES,
        )
        return None
    try:
        return msgspec.json.decode(value, type=IndexSnapshot)
    except DECODING_ERRORS as error:
        logging.error("event=snapshot_rejected detail=%r", str(error))
        return None
