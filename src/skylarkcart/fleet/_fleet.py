"""Membership by direct reports, without a list from the platform."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fleet._report import Report
from skylarkcart.types import InstanceId, ZoneId

REPORT_INTERVAL_MS = 200.0

# Five lost reports in a row mean that the path or the process is gone.
SILENT_AFTER_MS = 1_100.0

# A silent instance may be cut off and still spend budgets until then. A restart under
# the same name replaces it at once.
FORGET_AFTER_MS = 20_000.0

SEED_INTERVAL_MS = 1_000.0

# Addresses of other instances change rarely and go into one of so many rounds.
INTRODUCTION_ROUNDS = 5

# An introduced address that never reported is dropped after this time.
INTRODUCTION_LIFETIME_MS = 5_000.0

# Instances that read the store for all that hear them; the second one, in another
# zone where there is one, bridges the time until the loss of the first is noticed.
READERS = 2

# A published state older than this makes any instance read the store itself.
READ_ANYWAY_AFTER_MS = 2_200.0


class Peer(msgspec.Struct, kw_only=True):
    """Another instance, as last heard."""

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    host: str
    sequence: int
    heard_at: Millis
    their_sent_at_ms: float
    revision: int
    is_leaving: bool
    reaches_store: bool


class Fleet:
    """The instances known to this one."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        zone: ZoneId,
        zones: tuple[ZoneId, ...],
        host: str,
        incarnation: int,
        seed_hosts: tuple[str, ...],
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._zones = zones
        self._host = host
        self._incarnation = incarnation
        self._seed_hosts = tuple(seed for seed in seed_hosts if seed != host)
        self._seeds_due_at = Millis(0)
        self._round = 0
        self._introduced: dict[str, Millis] = {}
        self.peers: dict[InstanceId, Peer] = {}

    def hear(self, report: Report, now: Millis) -> bool:
        """Records a report; tells whether it is newer than what was known."""
        if report.instance == self._instance:
            return False
        known = self.peers.get(report.instance)
        if known is not None:
            order = (known.incarnation, known.sequence)
            if (report.incarnation, report.sequence) <= order:
                return False
        self._introduced.pop(report.host, None)
        self.peers[report.instance] = Peer(
            instance=report.instance,
            zone=report.zone,
            incarnation=report.incarnation,
            host=report.host,
            sequence=report.sequence,
            heard_at=now,
            their_sent_at_ms=report.sent_at_ms,
            revision=report.revision,
            is_leaving=report.is_leaving,
            reaches_store=report.reaches_store,
        )
        for host in report.known_hosts:
            self._introduce(host, now)
        return True

    def forget_lost(self, now: Millis) -> tuple[Peer, ...]:
        """Drops the peers that were silent for long and returns them."""
        lost = tuple(
            peer
            for peer in self.peers.values()
            if now - peer.heard_at > FORGET_AFTER_MS
            or (peer.is_leaving and now - peer.heard_at > SILENT_AFTER_MS)
        )
        for peer in lost:
            del self.peers[peer.instance]
        return lost

    def start_round(self, now: Millis) -> tuple[str, ...]:
        """Starts a round of reports and returns the hosts that get one."""
        self._round += 1
        hosts = dict.fromkeys(peer.host for peer in self.peers.values())
        hosts.update(dict.fromkeys(self._introduced))
        if now >= self._seeds_due_at:
            self._seeds_due_at = Millis(now + SEED_INTERVAL_MS)
            hosts.update(dict.fromkeys(self._seed_hosts))
        expired = [
            host
            for host, introduced_at in self._introduced.items()
            if now - introduced_at > INTRODUCTION_LIFETIME_MS
        ]
        for host in expired:
            del self._introduced[host]
        return tuple(hosts)

    def build_report(
        self,
        *,
        to_host: str,
        now: Millis,
        revision: int,
        confirmed_age_ms: float,
        is_leaving: bool,
        reaches_store: bool,
        spent: dict,
    ) -> Report:
        peer = self._find_by_host(to_host)
        known = tuple(p.host for p in self.peers.values()) if self._introduces() else ()
        return Report(
            instance=self._instance,
            zone=self._zone,
            incarnation=self._incarnation,
            host=self._host,
            sequence=self._round,
            sent_at_ms=now,
            echo_ms=-1.0 if peer is None else peer.their_sent_at_ms,
            revision=revision,
            confirmed_age_ms=confirmed_age_ms,
            is_leaving=is_leaving,
            reaches_store=reaches_store,
            spent=spent,
            known_hosts=known,
        )

    def count_assumed(self) -> int:
        """Returns the fleet's size for dividing budgets, itself included.

        Instances of zones that were never heard are assumed to be as many as here.
        """
        by_zone: dict[ZoneId, int] = {zone: 0 for zone in self._zones}
        by_zone[self._zone] = 1
        for peer in self.peers.values():
            by_zone[peer.zone] = by_zone.get(peer.zone, 0) + 1
        usual = max(by_zone.values())
        return sum(count or max(2, usual) for count in by_zone.values())

    def get_reachable_part(self, now: Millis) -> float:
        """Returns the part of the assumed fleet that is being heard."""
        heard = 1 + len(self._list_heard(now))
        return heard / max(heard, self.count_assumed())

    def is_reader(
        self, now: Millis, *, state_age_ms: float, reaches_store: bool
    ) -> bool:
        """Whether this instance reads the store for the others.

        The readers are the first by a hash among the instances that are heard and reach
        the store. When published state grows old, every instance reads for itself.
        """
        if state_age_ms > READ_ANYWAY_AFTER_MS:
            return True
        candidates = [(self._instance, self._zone)] if reaches_store else []
        candidates += [
            (peer.instance, peer.zone)
            for peer in self._list_heard(now)
            if peer.reaches_store and not peer.is_leaving
        ]
        if not candidates:
            return True
        return self._instance in _choose_readers(candidates)

    def list_ahead(self, revision: int, now: Millis) -> tuple[Peer, ...]:
        """Returns heard peers with newer published state, own zone first."""
        ahead = [peer for peer in self._list_heard(now) if peer.revision > revision]
        ahead.sort(key=lambda peer: (peer.zone != self._zone, -peer.revision))
        return tuple(ahead)

    def _list_heard(self, now: Millis) -> list[Peer]:
        return [
            peer
            for peer in self.peers.values()
            if now - peer.heard_at <= SILENT_AFTER_MS
        ]

    def _introduce(self, host: str, now: Millis) -> None:
        if host == self._host or self._find_by_host(host) is not None:
            return
        self._introduced.setdefault(host, now)

    def _introduces(self) -> bool:
        return self._round % INTRODUCTION_ROUNDS == 1

    def _find_by_host(self, host: str) -> Peer | None:
        for peer in self.peers.values():
            if peer.host == host:
                return peer
        return None


def _choose_readers(
    candidates: Sequence[tuple[InstanceId, ZoneId]],
) -> list[InstanceId]:
    ranked = sorted(candidates, key=lambda candidate: _hash_instance(candidate[0]))
    first_zone = ranked[0][1]
    # Sorting is stable, so that other zones come next in the order of the hash.
    others = sorted(ranked[1:], key=lambda candidate: candidate[1] == first_zone)
    return [instance for instance, _ in (ranked[0], *others)][:READERS]


def _hash_instance(instance: InstanceId) -> int:
    return zlib.crc32(instance.encode())
