"""Membership by reports between instances, without a list from the platform."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping, Sequence

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fleet._report import Member, Report
from skylarkcart.types import AccountId, InstanceId, SlowCall, Spending, ZoneId

REPORT_INTERVAL_MS = 200.0

# Up to this size every instance reports to every other one. Above it, each asks a few
# others in turn for a reply, and descriptions travel on through them.
MAX_DIRECT_FLEET = 16
ZONE_FANOUT = 3

# Bytes between zones are dear: instances of other zones get a report in one of so many
# rounds, and in a large fleet one of them is asked in one of so many.
DIRECT_OTHER_ZONES_ROUNDS = 2
OTHER_ZONES_ROUNDS = 5

# Descriptions of others in a report, half of them the newest ones, so that it fits
# into one packet of 1,500 bytes.
MAX_OTHERS = 14
MAX_OTHERS_BETWEEN_ZONES = 6

# Where all report to all, others are only described in one of so many rounds, to
# introduce instances to each other.
INTRODUCTION_ROUNDS = 5

# Several lost reports in a row mean that the path or the process is gone. Descriptions
# that travel through others take longer.
SILENT_AFTER_MS = 1_500.0
INDIRECT_SILENT_AFTER_MS = 4_000.0

# A silent instance may be cut off and still spend budgets until then. A restart under
# the same name replaces it at once.
FORGET_AFTER_MS = 20_000.0

SEED_INTERVAL_MS = 1_000.0

# Instances that read the store for all that hear them; the second one, in another
# zone where there is one, bridges the time until the loss of the first is noticed.
READERS = 2

# A published state older than this makes any instance read the store itself.
READ_ANYWAY_AFTER_MS = 2_200.0


class Peer(msgspec.Struct, kw_only=True):
    """Another instance as it last described itself, and the way to it."""

    member: Member
    described_at: Millis
    reached_at: Millis
    their_sent_at_ms: float = -1.0

    @property
    def order(self) -> tuple[int, int]:
        return self.member.incarnation, self.member.sequence


class OwnState(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance tells others of itself."""

    revision: int
    confirmed_age_ms: float
    is_leaving: bool
    reaches_store: bool
    spending: Mapping[AccountId, Spending]
    slow_calls: tuple[SlowCall, ...] = ()
    lost_zones: tuple[ZoneId, ...] = ()


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
        random: random.Random,
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._zones = zones
        self._host = host
        self._incarnation = incarnation
        self._seed_hosts = tuple(seed for seed in seed_hosts if seed != host)
        self._random = random
        self._seeds_due_at = Millis(0)
        self._sequence = 0
        self._round = 0
        # Instances that start together ask other zones in different rounds.
        self._offset = random.randrange(OTHER_ZONES_ROUNDS)
        self._peers_by_host: dict[str, Peer] = {}
        self.peers: dict[InstanceId, Peer] = {}
        # The fleet's size for dividing budgets, this instance included.
        self.assumed_size = self._assume_size()

    def hear(self, report: Report, now: Millis) -> list[Member]:
        """Records a report; returns the descriptions that are news."""
        news = []
        if self._hear_of(report.sender, now, reached_at=now):
            news.append(report.sender)
        peer = self.peers.get(report.sender.instance)
        if peer is not None:
            peer.reached_at = now
            peer.their_sent_at_ms = max(peer.their_sent_at_ms, report.sent_at_ms)
        for member in report.others:
            if self._hear_of(member, now, reached_at=Millis(float("-inf"))):
                news.append(member)
        if news:
            self.assumed_size = self._assume_size()
        return news

    def forget_lost(self, now: Millis) -> tuple[Member, ...]:
        """Drops the peers that were silent for long and returns them."""
        lost = tuple(
            peer.member
            for peer in self.peers.values()
            if now - peer.described_at > FORGET_AFTER_MS
            or (peer.member.is_leaving and not self._is_heard(peer, now))
        )
        for member in lost:
            del self.peers[member.instance]
            self._peers_by_host.pop(member.host, None)
        if lost:
            self.assumed_size = self._assume_size()
        return lost

    def start_round(self, now: Millis) -> tuple[str, ...]:
        """Starts a round of reports and returns the hosts that get one."""
        self._round += 1
        if self._is_direct():
            hosts = dict.fromkeys(self._list_direct_hosts())
        else:
            hosts = dict.fromkeys(self._draw_hosts())
        if now >= self._seeds_due_at or not hosts:
            self._seeds_due_at = Millis(now + SEED_INTERVAL_MS)
            unknown = [seed for seed in self._seed_hosts if not self._knows(seed)]
            if unknown or not hosts:
                hosts.update(dict.fromkeys(self._seed_hosts))
        return tuple(hosts)

    def build_report(
        self, own: OwnState, *, to_host: str, now: Millis, wants_reply: bool
    ) -> Report:
        """Describes this instance, and others where they may be news."""
        self._sequence += 1
        peer = self._peers_by_host.get(to_host)
        sender = Member(
            instance=self._instance,
            zone=self._zone,
            incarnation=self._incarnation,
            host=self._host,
            sequence=self._sequence,
            age_ms=0.0,
            revision=own.revision,
            is_leaving=own.is_leaving,
            reaches_store=own.reaches_store,
            spending=dict(own.spending),
            slow_calls=own.slow_calls,
            lost_zones=own.lost_zones,
        )
        return Report(
            sender=sender,
            sent_at_ms=now,
            echo_ms=-1.0 if peer is None else peer.their_sent_at_ms,
            confirmed_age_ms=own.confirmed_age_ms,
            wants_reply=wants_reply and (peer is None or not self._is_direct()),
            others=self._describe_others(to_host, now),
        )

    def get_reachable_part(self, now: Millis) -> float:
        """Returns the part of the assumed fleet that is being heard."""
        heard = 1 + len(self._list_heard(now))
        return heard / max(heard, self.assumed_size)

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
            (peer.member.instance, peer.member.zone)
            for peer in self._list_heard(now)
            if peer.member.reaches_store and not peer.member.is_leaving
        ]
        if not candidates:
            return True
        return self._instance in _choose_readers(candidates)

    def list_ahead(self, revision: int, now: Millis) -> tuple[Member, ...]:
        """Returns peers with newer published state, own zone first."""
        ahead = [
            peer.member
            for peer in self._list_heard(now)
            if peer.member.revision > revision
            and now - peer.reached_at <= INDIRECT_SILENT_AFTER_MS
        ]
        ahead.sort(key=lambda member: (member.zone != self._zone, -member.revision))
        return tuple(ahead)

    def _hear_of(self, member: Member, now: Millis, *, reached_at: Millis) -> bool:
        if member.instance == self._instance:
            return False
        order = (member.incarnation, member.sequence)
        known = self.peers.get(member.instance)
        if known is not None and order <= known.order:
            return False
        peer = Peer(
            member=member,
            described_at=Millis(now - member.age_ms),
            reached_at=reached_at,
        )
        if known is not None and known.member.incarnation == member.incarnation:
            peer.reached_at = max(reached_at, known.reached_at)
            peer.their_sent_at_ms = known.their_sent_at_ms
        self.peers[member.instance] = peer
        self._peers_by_host[member.host] = peer
        return True

    def _describe_others(self, to_host: str, now: Millis) -> tuple[Member, ...]:
        if self._is_direct() and self._round % INTRODUCTION_ROUNDS != 1:
            return ()
        peers = sorted(
            (peer for peer in self.peers.values() if peer.member.host != to_host),
            key=lambda peer: peer.described_at,
            reverse=True,
        )
        most = MAX_OTHERS
        receiver = self._peers_by_host.get(to_host)
        if receiver is not None and receiver.member.zone != self._zone:
            most = MAX_OTHERS_BETWEEN_ZONES
        newest, rest = peers[: most // 2], peers[most // 2 :]
        # The newest descriptions alone would leave out those that few have heard of.
        drawn = self._random.sample(rest, min(most - len(newest), len(rest)))
        return tuple(
            msgspec.structs.replace(peer.member, age_ms=now - peer.described_at)
            for peer in (*newest, *drawn)
        )

    def _list_direct_hosts(self) -> list[str]:
        turn = self._round + self._offset
        includes_others = turn % DIRECT_OTHER_ZONES_ROUNDS == 0
        return [
            peer.member.host
            for peer in self.peers.values()
            if includes_others or peer.member.zone == self._zone
        ]

    def _draw_hosts(self) -> list[str]:
        own = [
            p.member.host for p in self.peers.values() if p.member.zone == self._zone
        ]
        hosts = self._random.sample(own, min(ZONE_FANOUT, len(own)))
        others = [
            p.member.host for p in self.peers.values() if p.member.zone != self._zone
        ]
        if others and (self._round + self._offset) % OTHER_ZONES_ROUNDS == 0:
            hosts.append(self._random.choice(others))
        return hosts

    def _assume_size(self) -> int:
        """Counts known instances and those of zones that were never heard.

        These are assumed to have as many instances as the largest zone.
        """
        by_zone: dict[ZoneId, int] = {zone: 0 for zone in self._zones}
        by_zone[self._zone] = 1
        for peer in self.peers.values():
            by_zone[peer.member.zone] = by_zone.get(peer.member.zone, 0) + 1
        usual = max(by_zone.values())
        return sum(count or max(2, usual) for count in by_zone.values())

    def _is_direct(self) -> bool:
        return len(self.peers) < MAX_DIRECT_FLEET

    def _is_heard(self, peer: Peer, now: Millis) -> bool:
        limit_ms = SILENT_AFTER_MS if self._is_direct() else INDIRECT_SILENT_AFTER_MS
        return now - peer.described_at <= limit_ms

    def _list_heard(self, now: Millis) -> list[Peer]:
        return [peer for peer in self.peers.values() if self._is_heard(peer, now)]

    def _knows(self, host: str) -> bool:
        return host in self._peers_by_host


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
