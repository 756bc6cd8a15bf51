"""The other members of the zone, as needed to acquire and renew rights."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from skylarkcart.clock import Millis
from skylarkcart.limits._helpers import JOIN_GRACE_MS, SILENCE_TIMEOUT_MS
from skylarkcart.types import InstanceId


class _Peer:
    def __init__(self, now: Millis) -> None:
        self.last_heard_at = now
        self.joined_at: Millis | None = None
        self.is_eligible = False

    def is_silent(self, now: Millis) -> bool:
        return now - self.last_heard_at > SILENCE_TIMEOUT_MS

    def is_joining(self, now: Millis) -> bool:
        return self.joined_at is None or now - self.joined_at < JOIN_GRACE_MS


class Peers:
    """Tracks when members were last heard from and whether they may acquire rights."""

    def __init__(self, *, instance: InstanceId) -> None:
        self._instance = instance
        self._peers: dict[InstanceId, _Peer] = {}

    def __iter__(self) -> Iterator[InstanceId]:
        return iter(list(self._peers))

    def observe(self, members: Iterable[InstanceId], now: Millis) -> None:
        """Sets the listed members; an unlisted one stays until it is silent."""
        known = set(members) - {self._instance}
        for name in sorted(known - self._peers.keys()):
            self._peers[name] = _Peer(now)
        for name in self._peers.keys() - known:
            if self._peers[name].is_silent(now):
                del self._peers[name]

    def record_message(self, sender: InstanceId, now: Millis) -> None:
        """Records a message; adds the sender if it is unknown."""
        peer = self._peers.setdefault(sender, _Peer(now))
        if peer.joined_at is None or peer.is_silent(now):
            peer.joined_at = now
        peer.last_heard_at = now

    def set_eligible(self, sender: InstanceId, is_eligible: bool) -> None:
        self._peers[sender].is_eligible = is_eligible

    def reset_silence(self, now: Millis) -> None:
        """Restarts the silence timers after a time without receiving messages."""
        for peer in self._peers.values():
            peer.last_heard_at = now

    def list_eligible(self, now: Millis) -> list[InstanceId]:
        return [
            name
            for name, peer in self._peers.items()
            if peer.is_eligible and not peer.is_silent(now)
        ]

    def list_required(self, now: Millis, *, for_renewal: bool) -> list[InstanceId]:
        """Returns the members whose consent is required.

        A renewal doesn't require the consent of joining members.
        """
        return [
            name
            for name, peer in self._peers.items()
            if not peer.is_silent(now) and not (for_renewal and peer.is_joining(now))
        ]
