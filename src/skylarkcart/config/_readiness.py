"""Decides when a newly started instance has the newest known configuration."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.config._messages import RevisionHeartbeat
from skylarkcart.types import InstanceId

# Eight exchange intervals inside a zone, or two between zones.
PEER_WAIT_MS = 2_000.0
# After this time, a silent peer that reported a newer revision no longer delays
# readiness.
REPORT_TTL_MS = 5_000.0


class _PeerReport(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    settled: bool
    received_at: Millis


class Readiness:
    """The readiness check of an instance that starts without a configuration.

    A single read of the platform may be stale, so having a value is not enough. The
    instance is ready when it has the newest revision that its peers report, and either

    - the platform's instance list includes this instance, so it is not older than the
      start, and the instance has heard from every peer in it, or
    - ``PEER_WAIT_MS`` have passed and the instance has heard from a settled peer.

    An instance that hears from no peer although the list names some stays not ready.
    With ``alone_after_ms`` it trusts the platform after that time, at the risk of
    reverting to an older revision; None means never.
    """

    def __init__(self, *, now: Millis, alone_after_ms: float | None) -> None:
        self.settled = False
        self._started_at = now
        self._alone_after_ms = alone_after_ms
        self._reports: dict[InstanceId, _PeerReport] = {}
        self._peers: frozenset[InstanceId] = frozenset()
        self._was_listed = False

    def observe_peers(self, *, peers: Iterable[InstanceId], was_listed: bool) -> None:
        self._peers = frozenset(peers)
        self._was_listed = was_listed

    def observe_heartbeat(
        self, sender: InstanceId, heartbeat: RevisionHeartbeat, now: Millis
    ) -> None:
        self._reports[sender] = _PeerReport(
            revision=heartbeat.revision, settled=heartbeat.settled, received_at=now
        )

    def update(self, *, revision: int, now: Millis) -> bool:
        """Updates and returns ``settled``, which stays true once set."""
        if not self.settled:
            self.settled = self._is_newest(
                revision, now
            ) and self._has_heard_enough_peers(now)
        return self.settled

    def _is_newest(self, revision: int, now: Millis) -> bool:
        revisions = [
            report.revision
            for report in self._reports.values()
            if now - report.received_at <= REPORT_TTL_MS
        ]
        return revision > 0 and revision >= max(revisions, default=0)

    def _has_heard_enough_peers(self, now: Millis) -> bool:
        if self._was_listed and self._peers <= self._reports.keys():
            return True
        waited_ms = now - self._started_at
        if any(report.settled for report in self._reports.values()):
            return waited_ms >= PEER_WAIT_MS
        return self._alone_after_ms is not None and waited_ms >= self._alone_after_ms
