"""Distributes configuration revisions between instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import msgspec
from absl import logging

from skylarkcart.clock import Millis
from skylarkcart.config._delta import DeltaHistory, compute_delta
from skylarkcart.config._messages import (
    ChangeDelta,
    ChangeRequest,
    ConfigMessage,
    OutgoingMessage,
    RevisionHeartbeat,
    WholeValue,
)
from skylarkcart.config._readers import select_readers
from skylarkcart.config._readiness import Readiness
from skylarkcart.config._revisions import OfferOutcome, OfferResult, RevisionStore
from skylarkcart.declarations import Configuration
from skylarkcart.types import InstanceId

# One exchange interval inside a zone. After this time without an answer, a request goes
# to the next peer with a newer revision; a late answer is still accepted.
REQUEST_TIMEOUT_MS = 250.0


class _PendingRequest(msgspec.Struct, frozen=True, kw_only=True):
    to: InstanceId
    sent_at: Millis


class ConfigAgent:
    """Holds an instance's configuration and exchanges revisions with its peers.

    The agent does no I/O. The driver passes in values read from the platform and
    messages from peers, includes ``heartbeat()`` in every exchange and sends the
    returned messages.

    Args:
        instance: this instance.
        now: the start time.
        alone_after_ms: see ``Readiness``; with None, an instance that hears from no
            peer never becomes ready.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        now: Millis,
        alone_after_ms: float | None = None,
    ) -> None:
        self._instance = instance
        self._store = RevisionStore()
        self._readiness = Readiness(now=now, alone_after_ms=alone_after_ms)
        self._history = DeltaHistory()
        self._pending_request: _PendingRequest | None = None
        self._needs_whole_value = False
        self._conflicts: dict[tuple[int, str], str] = {}

    @property
    def current(self) -> Configuration | None:
        return self._store.current

    @property
    def revision(self) -> int:
        return self._store.revision

    @property
    def digest(self) -> str:
        return self._store.digest

    @property
    def conflicts(self) -> tuple[str, ...]:
        """Conflicts between two contents of one revision, each logged once."""
        return tuple(self._conflicts.values())

    def offer_published(self, value: bytes, now: Millis) -> OfferResult:
        """Adopts a value read from the platform if its revision is newer."""
        offer = self._offer(lambda: self._store.offer(value))
        if offer.outcome is OfferOutcome.INVALID:
            logging.error("event=config_invalid detail=%r", offer.detail)
        return offer

    def heartbeat(self) -> RevisionHeartbeat:
        """Returns the heartbeat to include in each exchange."""
        return RevisionHeartbeat(
            revision=self.revision,
            digest=self.digest,
            settled=self._readiness.settled,
        )

    def handle(
        self, sender: InstanceId, message: ConfigMessage, now: Millis
    ) -> list[OutgoingMessage]:
        """Handles a peer's message and returns the messages to send."""
        return [
            OutgoingMessage(to=sender, message=answer)
            for answer in self._handle(message, sender, now)
        ]

    def observe_peers(self, *, peers: Iterable[InstanceId], was_listed: bool) -> None:
        """Sets the peers to hear from before the instance becomes ready."""
        self._readiness.observe_peers(peers=peers, was_listed=was_listed)

    def is_reader(self, zone_members: Iterable[InstanceId]) -> bool:
        """Returns whether this instance watches the platform for its zone."""
        return self._instance in select_readers({*zone_members, self._instance})

    def is_ready(self, now: Millis) -> bool:
        """Returns whether the configuration is recent enough to serve callers."""
        return self._readiness.update(revision=self.revision, now=now)

    @singledispatchmethod
    def _handle(
        self, message: ConfigMessage, sender: InstanceId, now: Millis
    ) -> list[ConfigMessage]:
        raise TypeError(f"got a {type(message).__name__}, expected a ConfigMessage")

    @_handle.register
    def _(self, message: RevisionHeartbeat, sender, now):
        self._readiness.observe_heartbeat(sender, message, now)
        if message.revision == self.revision and message.digest != self.digest:
            self._report_conflict(sender, message.revision, message.digest)
        if message.revision <= self.revision or self._is_request_pending(now):
            return []
        return [self._start_request(sender, now)]

    @_handle.register
    def _(self, message: ChangeRequest, sender, now):
        if message.revision >= self.revision:
            return []
        delta = None
        if not message.whole:
            delta = self._history.merge_since(message.revision, message.digest)
        return [delta or self._build_whole_value()]

    @_handle.register
    def _(self, message: ChangeDelta, sender, now):
        if message.from_revision != self.revision:
            return []
        self._pending_request = None
        offer = self._offer(lambda: self._store.offer_delta(message), delta=message)
        if offer.outcome is not OfferOutcome.INVALID:
            return []
        logging.warning("event=config_delta_rejected detail=%r", offer.detail)
        self._needs_whole_value = True
        return [self._start_request(sender, now)]

    @_handle.register
    def _(self, message: WholeValue, sender, now):
        if message.revision <= self.revision:
            return []
        self._pending_request = None
        offer = self._offer(
            lambda: self._store.offer(message.value, expected_digest=message.digest)
        )
        if offer.outcome is OfferOutcome.INVALID:
            logging.error("event=config_invalid detail=%r", offer.detail)
        return []

    def _offer(
        self,
        offer_to_store: Callable[[], OfferResult],
        delta: ChangeDelta | None = None,
    ) -> OfferResult:
        base, base_digest = self.current, self.digest
        offer = offer_to_store()
        if offer.outcome is OfferOutcome.ADOPTED:
            self._pending_request = None
            self._needs_whole_value = False
            self._record_delta(base, base_digest, delta)
        if offer.outcome is OfferOutcome.CONFLICTING:
            self._report_conflict(self._instance, self.revision, offer.detail)
        return offer

    def _record_delta(
        self, base: Configuration | None, base_digest: str, delta: ChangeDelta | None
    ) -> None:
        if base is None:
            return
        if delta is None:
            delta = compute_delta(base, self.current, digest=self.digest)
        self._history.add(delta, base_digest=base_digest)

    def _is_request_pending(self, now: Millis) -> bool:
        return (
            self._pending_request is not None
            and now - self._pending_request.sent_at < REQUEST_TIMEOUT_MS
        )

    def _start_request(self, to: InstanceId, now: Millis) -> ChangeRequest:
        self._pending_request = _PendingRequest(to=to, sent_at=now)
        return ChangeRequest(
            revision=self.revision,
            digest=self.digest,
            whole=self._needs_whole_value or self.revision == 0,
        )

    def _build_whole_value(self) -> WholeValue:
        return WholeValue(
            revision=self.revision, digest=self.digest, value=self._store.value
        )

    def _report_conflict(self, sender: InstanceId, revision: int, detail: str) -> None:
        if (revision, detail) in self._conflicts:
            return
        text = f"revision {revision} has two contents, reported by {sender}: {detail}"
        self._conflicts[revision, detail] = text
        logging.error("event=config_conflict detail=%r", text)
