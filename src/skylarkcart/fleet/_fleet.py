"""Gossip membership of the instances, without a member list from the platform."""

from __future__ import annotations

import heapq
import itertools
import random
import zlib
from collections.abc import Callable, Mapping, Sequence

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fleet._peer import Peer
from skylarkcart.fleet._reach import Reach, compute_reach
from skylarkcart.fleet._report import UNKNOWN_DIGEST, UNKNOWN_RATE, Member, Report
from skylarkcart.types import (
    NO_ERA,
    AccountId,
    Era,
    InstanceId,
    SlowCall,
    Spending,
    StatePosition,
    ZoneId,
)

REPORT_INTERVAL_MS = 200.0

# With fewer peers, every instance reports to every other one. With more, each instance
# asks a few others for a reply, and member descriptions spread by gossip.
MAX_FULL_MESH_PEERS = 16
GOSSIP_FANOUT = 3

# Traffic between zones is expensive. In a full mesh, instances of other zones get a
# report only once in this number of rounds. With gossip, one of them is asked once in
# this number of rounds.
FULL_MESH_OTHER_ZONES_ROUNDS = 2
GOSSIP_OTHER_ZONES_ROUNDS = 5

# Maximum number of other members that a report describes, half of them the most recent
# ones, so that it fits into one packet of 1,500 bytes.
MAX_RELAYED_MEMBERS = 14
MAX_RELAYED_MEMBERS_BETWEEN_ZONES = 6

# In a full mesh, reports describe other members only once in this number of rounds, so
# that instances discover each other.
FULL_MESH_RELAY_ROUNDS = 5

# Several lost reports in a row mean that the process or the network path to it has
# failed. With gossip, descriptions take longer to arrive.
FULL_MESH_UNRESPONSIVE_AFTER_MS = 1_500.0
GOSSIP_UNRESPONSIVE_AFTER_MS = 4_000.0

# An unresponsive instance may be partitioned, so it is assumed to use its share of the
# budgets until it is removed. A restart under the same name replaces it at once.
REMOVE_AFTER_MS = 20_000.0

SEED_CONTACT_INTERVAL_MS = 1_000.0

# A peer that stated a newer revision and then had no newer state is not asked again for
# this time.
MISSING_STATE_BACKOFF_MS = 2_000.0

# A peer may have started anew since its last report if that is older than this.
UNINFORMED_AFTER_MS = 2 * REPORT_INTERVAL_MS

# Number of instances that read the store for the others. The second one, in another
# zone if possible, covers the time until a failure of the first is detected.
READER_COUNT = 2

# Number of instances of a zone that add up usage for the others. The second one covers
# the time until a failure of the first is detected.
COLLECTOR_COUNT = 2

# With an older published state, every instance reads the store itself.
MAX_STATE_AGE_MS = 2_200.0


class OwnState(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance reports about itself."""

    revision: int
    confirmed_age_ms: float
    is_leaving: bool
    reaches_store: bool
    spending: Mapping[AccountId, Spending]
    slow_calls: tuple[SlowCall, ...] = ()
    lost_zones: tuple[ZoneId, ...] = ()
    requests_per_s: float = UNKNOWN_RATE
    era: Era = NO_ERA
    kept_digest: int = UNKNOWN_DIGEST
    has_surveyed: bool = False


class Fleet:
    """The other instances that this instance knows."""

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
        self._next_seed_contact_at = Millis(0)
        self._sequence = 0
        self._round = 0
        # With different offsets, instances that start together contact other zones in
        # different rounds.
        self._round_offset = random.randrange(GOSSIP_OTHER_ZONES_ROUNDS)
        self._peers_by_host: dict[str, Peer] = {}
        self.peers: dict[InstanceId, Peer] = {}
        # The instances of this zone and of the others, in the order in which news of
        # them arrived.
        self._arrivals_here: dict[InstanceId, None] = {}
        self._arrivals_elsewhere: dict[InstanceId, None] = {}
        # Estimated number of instances, including this one. Budgets are divided by it.
        self.estimated_size = self._estimate_size()

    def apply_report(self, report: Report, now: Millis) -> list[Member]:
        """Records a report and returns the new and updated descriptions."""
        updated = []
        if self._update_peer(report.sender, now, last_contact_at=now):
            updated.append(report.sender)
        peer = self.peers.get(report.sender.instance)
        if peer is not None:
            peer.last_contact_at = now
            peer.last_sent_at_ms = max(peer.last_sent_at_ms, report.sent_at_ms)
        for member in report.others:
            if self._update_peer(member, now, last_contact_at=Millis(float("-inf"))):
                updated.append(member)
        return updated

    def remove_lost_peers(self, now: Millis) -> tuple[Member, ...]:
        """Removes and returns the peers that left or were unresponsive for too long."""
        lost = tuple(
            peer.member
            for peer in self.peers.values()
            if now - peer.reported_at > REMOVE_AFTER_MS
            or (peer.member.is_leaving and not self._is_responsive(peer, now))
        )
        for member in lost:
            del self.peers[member.instance]
            self._arrivals_here.pop(member.instance, None)
            self._arrivals_elsewhere.pop(member.instance, None)
            self._peers_by_host.pop(member.host, None)
        if lost:
            self.estimated_size = self._estimate_size()
        return lost

    def choose_report_targets(
        self, now: Millis, *, kept_digest: int = 0
    ) -> tuple[str, ...]:
        """Starts a round of reports and returns the hosts to send them to.

        If this instance keeps something from earlier eras, they include peers that
        don't state the same ``kept_digest``, as these may have started since then.
        """
        self._round += 1
        if self._is_full_mesh():
            hosts = dict.fromkeys(self._list_full_mesh_hosts())
        else:
            hosts = dict.fromkeys(self._sample_gossip_hosts())
        if kept_digest > 0:
            hosts.update(dict.fromkeys(self._sample_uninformed(kept_digest, now)))
        if now >= self._next_seed_contact_at or not hosts:
            self._next_seed_contact_at = Millis(now + SEED_CONTACT_INTERVAL_MS)
            unknown = [
                seed for seed in self._seed_hosts if not self._is_known_host(seed)
            ]
            if unknown or not hosts:
                hosts.update(dict.fromkeys(self._seed_hosts))
        return tuple(hosts)

    def build_report(
        self, own: OwnState, *, to_host: str, now: Millis, wants_reply: bool
    ) -> Report:
        """Builds a report on this instance and members that may be new to the host."""
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
            requests_per_s=own.requests_per_s,
            era=own.era,
            kept_digest=own.kept_digest,
            has_surveyed=own.has_surveyed,
        )
        return Report(
            sender=sender,
            sent_at_ms=now,
            echo_ms=-1.0 if peer is None else peer.last_sent_at_ms,
            confirmed_age_ms=own.confirmed_age_ms,
            wants_reply=wants_reply and (peer is None or not self._is_full_mesh()),
            others=self._select_relayed_members(to_host, now),
        )

    def is_in_other_zone(self, host: str) -> bool:
        """Whether a known instance on this host is in another availability zone."""
        peer = self._peers_by_host.get(host)
        return peer is not None and peer.member.zone != self._zone

    def get_reach(self, now: Millis) -> Reach:
        """Returns which part of the estimated fleet this instance hears."""
        unresponsive = [
            peer for peer in self.peers.values() if not self._is_responsive(peer, now)
        ]
        return compute_reach(
            self.peers.values(),
            unresponsive=unresponsive,
            zone=self._zone,
            estimated_size=self.estimated_size,
            uses_gossip=self.uses_gossip(),
            now=now,
        )

    def get_traffic_fraction(self, requests_per_s: float) -> float:
        """Returns this instance's fraction of the fleet's requests.

        An instance whose rate is unknown is taken for as busy as this one, so that
        instances that start together don't each take the whole.
        """
        if requests_per_s < 0:
            return 1.0 / self.estimated_size
        if requests_per_s == 0:
            return 0.0
        rates = [peer.member.requests_per_s for peer in self.peers.values()]
        known = sum(rate for rate in rates if rate >= 0)
        unknown = self.estimated_size - 1 - sum(rate >= 0 for rate in rates)
        total = known + (1 + max(0, unknown)) * requests_per_s
        return requests_per_s / total

    def is_reader(
        self,
        now: Millis,
        *,
        state_age_ms: float,
        reaches_store: bool,
        era: Era = NO_ERA,
    ) -> bool:
        """Whether this instance reads the store.

        The readers are the first, in the order of a hash, of the responsive instances
        that reach the store. If the published state is too old, or no instance is known
        to reach the store, every instance reads it. In a known ``era``, peers whose
        state is of none don't read for this instance: their build states no era.
        """
        if state_age_ms > MAX_STATE_AGE_MS:
            return True
        candidates = [(self._instance, self._zone)] if reaches_store else []
        candidates += [
            (peer.member.instance, peer.member.zone)
            for peer in self._list_responsive_peers(now)
            if peer.member.reaches_store
            and not peer.member.is_leaving
            and (era == NO_ERA or not peer.has_state_without_era)
        ]
        if not candidates:
            return True
        return self._instance in _select_readers(candidates)

    def uses_gossip(self) -> bool:
        """Whether the fleet is too large for reports to every other instance."""
        return not self._is_full_mesh()

    def list_collectors(self, now: Millis) -> dict[ZoneId, tuple[str, ...]]:
        """Returns the hosts of the collectors of each zone with known instances.

        They are the first, in the order of a hash, of a zone's responsive instances.
        """
        by_zone: dict[ZoneId, list[tuple[int, str]]] = {
            self._zone: [(_hash_instance(self._instance), self._host)]
        }
        for peer in self._list_responsive_peers(now):
            if not peer.member.is_leaving:
                by_zone.setdefault(peer.member.zone, []).append(
                    (_hash_instance(peer.member.instance), peer.member.host)
                )
        return {
            zone: tuple(host for _, host in sorted(ranked)[:COLLECTOR_COUNT])
            for zone, ranked in by_zone.items()
        }

    def list_own_zone(self, now: Millis) -> tuple[Member, ...]:
        """Returns the responsive peers of this zone."""
        return tuple(
            peer.member
            for peer in self._list_responsive_peers(now)
            if peer.member.zone == self._zone
        )

    def count_settled(self, now: Millis, *, min_age_ms: float) -> int:
        """Returns how many responsive peers of this zone are known for long enough."""
        return sum(
            peer.member.zone == self._zone and now - peer.known_since >= min_age_ms
            for peer in self._list_responsive_peers(now)
        )

    def list_peers_ahead(
        self, position: StatePosition, now: Millis
    ) -> tuple[Member, ...]:
        """Returns the peers with newer published state, those of this zone first."""
        ahead = [
            peer.member
            for peer in self._list_responsive_peers(now)
            if peer.member.position > position
            and now >= peer.lacks_stated_state_until
            and now - peer.last_contact_at <= GOSSIP_UNRESPONSIVE_AFTER_MS
        ]
        ahead.sort(key=lambda member: member.position, reverse=True)
        # The sort is stable.
        ahead.sort(key=lambda member: member.zone != self._zone)
        return tuple(ahead)

    def list_responsive_members(self, now: Millis) -> tuple[Member, ...]:
        """Returns the latest descriptions of the responsive peers."""
        return tuple(peer.member for peer in self._list_responsive_peers(now))

    def list_keeping_peers(
        self, era: Era, lacks_kept: Callable[[int], bool], now: Millis
    ) -> tuple[Member, ...]:
        """Returns the peers of an era that keep what may be missing here.

        Those of this zone come first, otherwise in random order, so that not all ask
        the same one.
        """
        keeping = [
            peer.member
            for peer in self._list_responsive_peers(now)
            if peer.member.era == era
            and peer.member.kept_digest > 0
            and lacks_kept(peer.member.kept_digest)
            and now >= peer.lacks_stated_state_until
        ]
        self._random.shuffle(keeping)
        return tuple(sorted(keeping, key=lambda member: member.zone != self._zone))

    def record_missing_state(self, instance: InstanceId, now: Millis) -> None:
        """Records that a peer did not have the newer state that it stated."""
        peer = self.peers.get(instance)
        if peer is not None:
            peer.lacks_stated_state_until = Millis(now + MISSING_STATE_BACKOFF_MS)

    def _update_peer(
        self, member: Member, now: Millis, *, last_contact_at: Millis
    ) -> bool:
        if member.instance == self._instance:
            return False
        version = (member.incarnation, member.sequence)
        known = self.peers.get(member.instance)
        if known is not None and version <= known.version:
            return False
        peer = Peer(
            member=member,
            reported_at=Millis(now - member.age_ms),
            last_contact_at=last_contact_at,
            known_since=now,
        )
        if known is not None and known.member.incarnation == member.incarnation:
            peer.last_contact_at = max(last_contact_at, known.last_contact_at)
            peer.known_since = known.known_since
            peer.last_sent_at_ms = known.last_sent_at_ms
            peer.lacks_stated_state_until = known.lacks_stated_state_until
        self.peers[member.instance] = peer
        self._peers_by_host[member.host] = peer
        arrivals = (
            self._arrivals_here
            if member.zone == self._zone
            else self._arrivals_elsewhere
        )
        arrivals.pop(member.instance, None)
        arrivals[member.instance] = None
        if known is None or known.member.zone != member.zone:
            self.estimated_size = self._estimate_size()
        return True

    def _select_relayed_members(self, to_host: str, now: Millis) -> tuple[Member, ...]:
        if self._is_full_mesh() and self._round % FULL_MESH_RELAY_ROUNDS != 1:
            return ()
        receiver = self._peers_by_host.get(to_host)
        if receiver is not None and receiver.member.zone != self._zone:
            limit, arrivals = MAX_RELAYED_MEMBERS_BETWEEN_ZONES, self._arrivals_here
        else:
            # The instances of a zone hear each other directly.
            limit, arrivals = MAX_RELAYED_MEMBERS, self._arrivals_elsewhere
        relayed = {
            peer.member.instance: peer
            for peer in self._list_newest_peers(arrivals, limit * 2 // 3)
            if peer.member.host != to_host
        }
        # The most recent descriptions alone would omit members that few instances know.
        for peer in self._random.sample(
            list(self.peers.values()), min(2 * limit, len(self.peers))
        ):
            if len(relayed) >= limit:
                break
            if peer.member.host != to_host:
                relayed[peer.member.instance] = peer
        return tuple(
            msgspec.structs.replace(peer.member, age_ms=now - peer.reported_at)
            for peer in relayed.values()
        )

    def _list_newest_peers(
        self, arrivals: Mapping[InstanceId, None], count: int
    ) -> list[Peer]:
        """Returns peers with new descriptions, among those that news arrived of last.

        News of an instance usually arrives in the order in which it was made.
        """
        latest = itertools.islice(reversed(arrivals), 4 * count)
        return heapq.nlargest(
            count,
            (self.peers[instance] for instance in latest),
            key=lambda peer: peer.reported_at,
        )

    def _list_full_mesh_hosts(self) -> list[str]:
        round_number = self._round + self._round_offset
        includes_other_zones = round_number % FULL_MESH_OTHER_ZONES_ROUNDS == 0
        return [
            peer.member.host
            for peer in self.peers.values()
            if includes_other_zones or peer.member.zone == self._zone
        ]

    def _sample_gossip_hosts(self) -> list[str]:
        own_zone = [
            p.member.host for p in self.peers.values() if p.member.zone == self._zone
        ]
        hosts = self._random.sample(own_zone, min(GOSSIP_FANOUT, len(own_zone)))
        other_zones = [
            p.member.host for p in self.peers.values() if p.member.zone != self._zone
        ]
        if (
            other_zones
            and (self._round + self._round_offset) % GOSSIP_OTHER_ZONES_ROUNDS == 0
        ):
            hosts.append(self._random.choice(other_zones))
        return hosts

    def _sample_uninformed(self, kept_digest: int, now: Millis) -> list[str]:
        """Returns peers that may not know what this instance keeps."""
        uninformed = [
            peer.member.host
            for peer in self.peers.values()
            if peer.member.kept_digest != kept_digest
            or now - peer.reported_at > UNINFORMED_AFTER_MS
        ]
        limit = MAX_FULL_MESH_PEERS if self._is_full_mesh() else GOSSIP_FANOUT
        return self._random.sample(uninformed, min(limit, len(uninformed)))

    def _estimate_size(self) -> int:
        """Estimates the number of instances.

        A configured zone without a known instance is assumed to be as large as the
        largest zone, with at least 2 instances.
        """
        by_zone: dict[ZoneId, int] = {zone: 0 for zone in self._zones}
        by_zone[self._zone] = 1
        for peer in self.peers.values():
            by_zone[peer.member.zone] = by_zone.get(peer.member.zone, 0) + 1
        largest_zone = max(by_zone.values())
        return sum(count or max(2, largest_zone) for count in by_zone.values())

    def _is_full_mesh(self) -> bool:
        return len(self.peers) < MAX_FULL_MESH_PEERS

    def _is_responsive(self, peer: Peer, now: Millis) -> bool:
        limit_ms = (
            FULL_MESH_UNRESPONSIVE_AFTER_MS
            if self._is_full_mesh()
            else GOSSIP_UNRESPONSIVE_AFTER_MS
        )
        return now - peer.reported_at <= limit_ms

    def _list_responsive_peers(self, now: Millis) -> list[Peer]:
        return [peer for peer in self.peers.values() if self._is_responsive(peer, now)]

    def _is_known_host(self, host: str) -> bool:
        return host in self._peers_by_host


def _select_readers(
    candidates: Sequence[tuple[InstanceId, ZoneId]],
) -> list[InstanceId]:
    ranked = sorted(candidates, key=lambda candidate: _hash_instance(candidate[0]))
    first_zone = ranked[0][1]
    # The sort is stable: other zones come next, in the order of the hash.
    remaining = sorted(ranked[1:], key=lambda candidate: candidate[1] == first_zone)
    return [instance for instance, _ in (ranked[0], *remaining)][:READER_COUNT]


def _hash_instance(instance: InstanceId) -> int:
    return zlib.crc32(instance.encode())
