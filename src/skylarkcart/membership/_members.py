"""Tracks the fleet's members from the platform's instance list and from heartbeats.

The list lags behind reality; heartbeats come directly from the members.
"""

from __future__ import annotations

from collections.abc import Iterator

from skylarkcart.clock import Millis
from skylarkcart.declarations import InstanceList, ListedProcess
from skylarkcart.membership._messages import (
    IntroducedMember,
    Introduction,
    ListValue,
    MemberHeartbeat,
    PeerExchange,
)
from skylarkcart.membership._record import Member, MemberRecord
from skylarkcart.types import InstanceId, ListState, Role, ZoneId

ZONE_EXCHANGE_INTERVAL_MS = 250.0
REMOTE_EXCHANGE_INTERVAL_MS = 1_000.0
# A member is removed when a list that was read this long after its last heartbeat does
# not contain it.
REMOVE_AFTER_MS = 10_000.0


class Members:
    """The other instances and the listed upstreams, as known to this instance.

    Args:
        instance: this instance; it is not one of its own members.
        incarnation: an id of this process that no earlier process of the instance used.
        seeds: peer addresses from the settings, contacted while no list has been read
            or no other member is heard from.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        zone: ZoneId,
        peer_address: str,
        incarnation: str,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._own = IntroducedMember(
            instance=instance,
            zone=zone,
            peer_address=peer_address,
            incarnation=incarnation,
        )
        self._seeds = tuple(seed for seed in seeds if seed != peer_address)
        self._seeds_tried_at: Millis | None = None
        self._records: dict[InstanceId, MemberRecord] = {}
        self._list: InstanceList | None = None
        self._list_read_at: Millis | None = None
        self._peer_list: InstanceList | None = None
        self._sequence = 0
        self._leaving = False
        self._was_listed = False
        self._introduced = False

    @property
    def needs_list(self) -> bool:
        """Whether no instance list is known yet."""
        return self._list is None

    @property
    def was_listed(self) -> bool:
        """Whether any list included the present process; stays true once set."""
        return self._was_listed

    @property
    def is_confirmed(self) -> bool:
        """Whether this process was listed, or introduced by a confirmed zone member."""
        return self._was_listed or self._introduced

    @property
    def live_upstreams(self) -> tuple[ListedProcess, ...]:
        return self._select_upstreams(ListState.LIVE)

    @property
    def leaving_upstreams(self) -> tuple[ListedProcess, ...]:
        return self._select_upstreams(ListState.LEAVING)

    def observe_list(self, instances: InstanceList, now: Millis) -> None:
        """Applies a list read from the platform, unless a newer one is known."""
        if self._list is not None and instances.version < self._list.version:
            return
        self._list = instances
        self._list_read_at = now
        for record in self._records.values():
            record.is_listed = False
        for row in instances.instances:
            if row.role is Role.ENTRY:
                self._observe_row(row, now)

    def answer_list_request(self) -> ListValue | None:
        """Returns the newest list for an instance that has none."""
        return None if self._list is None else ListValue(instances=self._list)

    def observe_peer_list(self, message: ListValue) -> None:
        """Keeps a peer's list for the driver if this instance has not read one.

        With the upstreams in the list, an instance can serve callers although it has
        never reached the platform.
        """
        if self._list is None:
            self._peer_list = message.instances

    def take_peer_list(self) -> InstanceList | None:
        """Returns the list that a peer sent and clears it, or None."""
        peer_list, self._peer_list = self._peer_list, None
        return peer_list

    def observe_heartbeat(
        self, heartbeat: MemberHeartbeat, now: Millis
    ) -> Introduction | None:
        """Applies a heartbeat; returns the introduction to answer with, or None.

        An instance sends an introduction to a process of its zone with the first
        heartbeat that it receives from it.
        """
        if heartbeat.instance == self._own.instance:
            return None
        record = self._records.get(heartbeat.instance)
        if record is None:
            record = self._add_record(_member_from_heartbeat(heartbeat), now)
        was_heard = record.was_heard and record.incarnation == heartbeat.incarnation
        is_newer = record.observe_heartbeat(heartbeat, now)
        is_first_contact_in_zone = heartbeat.zone == self._own.zone and not was_heard
        return (
            self._build_introduction(now)
            if is_newer and is_first_contact_in_zone
            else None
        )

    def record_answered_exchange(self, instance: InstanceId, now: Millis) -> None:
        """Records that this instance answered a member's exchange with heartbeats.

        Both sides have then sent heartbeats, so the next exchange is due after a full
        interval.
        """
        record = self._records.get(instance)
        if record is not None:
            record.exchanged_at = now

    def observe_introduction(
        self, sender: InstanceId, introduction: Introduction, now: Millis
    ) -> None:
        """Adds the members named in an introduction from a zone member."""
        record = self._records.get(sender)
        if record is None or record.zone != self._own.zone:
            return
        for member in introduction.members:
            if member.instance not in (self._own.instance, *self._records):
                self._add_record(member, now)
        self._introduced = self._introduced or introduction.grounded

    def heartbeat(self, *, revision: int) -> MemberHeartbeat:
        """Returns the next heartbeat; it is the same for every peer."""
        self._sequence += 1
        return MemberHeartbeat(
            instance=self._own.instance,
            zone=self._own.zone,
            peer_address=self._own.peer_address,
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            revision=revision,
            leaving=self._leaving,
        )

    def begin_leaving(self) -> None:
        """Marks this instance as leaving in all further heartbeats."""
        self._leaving = True

    def zone_members(self, now: Millis) -> tuple[Member, ...]:
        """Returns the other members of this zone, including silent ones."""
        return tuple(self._list_members(now, is_local=True))

    def other_members(self, now: Millis) -> tuple[Member, ...]:
        """Returns the members of other zones, including silent ones."""
        return tuple(self._list_members(now, is_local=False))

    def get_zone_revision(self, zone: ZoneId) -> int:
        """Returns the revision that all known members of another zone have reached.

        It is 0 if the revision is unknown: a member has sent no heartbeat in its
        present incarnation, no member is known, or no list has been read.
        """
        if self._list is None:
            return 0
        revisions = [
            record.revision for record in self._records.values() if record.zone == zone
        ]
        return min(revisions, default=0)

    def tick(self, now: Millis) -> list[PeerExchange]:
        """Removes departed members and returns the exchanges that are due now.

        Silent members are contacted at the interval of other zones.
        """
        self._remove_departed_members()
        due = [record for record in self._records.values() if self._is_due(record, now)]
        for record in due:
            record.exchanged_at = now
        exchanges = [
            PeerExchange(address=record.peer_address, instance=record.instance)
            for record in due
        ]
        return exchanges + self._start_seed_exchanges(now)

    def _observe_row(self, row: ListedProcess, now: Millis) -> None:
        if row.instance == self._own.instance:
            if row.incarnation == self._own.incarnation:
                self._was_listed = True
            return
        record = self._records.get(row.instance)
        if record is None:
            record = self._add_record(_member_from_row(row), now)
        record.observe_listed(row, now)

    def _add_record(self, member: IntroducedMember, now: Millis) -> MemberRecord:
        is_local = member.zone == self._own.zone
        record = MemberRecord(member=member, is_local=is_local, now=now)
        self._records[member.instance] = record
        return record

    def _build_introduction(self, now: Millis) -> Introduction:
        members = tuple(
            record.to_introduced_member()
            for record in self._records.values()
            if record.is_listed or not record.is_silent(now)
        )
        return Introduction(members=members, grounded=self.is_confirmed)

    def _list_members(self, now: Millis, *, is_local: bool) -> Iterator[Member]:
        for record in self._records.values():
            if (record.zone == self._own.zone) is is_local:
                yield record.to_member(now)

    def _remove_departed_members(self) -> None:
        # Until a later list is read, a silent member may be alive on the other side of
        # a partition. If it were removed, its zone could wrongly count as having
        # confirmed a revision.
        list_read_at = self._list_read_at
        if list_read_at is None:
            return
        self._records = {
            instance: record
            for instance, record in self._records.items()
            if record.is_listed or record.get_silence_ms(list_read_at) < REMOVE_AFTER_MS
        }

    def _is_due(self, record: MemberRecord, now: Millis) -> bool:
        if record.exchanged_at is None:
            return True
        is_local_and_heard = record.zone == self._own.zone and not record.is_silent(now)
        interval_ms = (
            ZONE_EXCHANGE_INTERVAL_MS
            if is_local_and_heard
            else REMOTE_EXCHANGE_INTERVAL_MS
        )
        return now - record.exchanged_at >= interval_ms

    def _start_seed_exchanges(self, now: Millis) -> list[PeerExchange]:
        hears_any_member = any(
            record.was_heard and not record.is_silent(now)
            for record in self._records.values()
        )
        if self._list is not None and hears_any_member:
            return []
        tried_at = self._seeds_tried_at
        if tried_at is not None and now - tried_at < REMOTE_EXCHANGE_INTERVAL_MS:
            return []
        self._seeds_tried_at = now
        known_addresses = {record.peer_address for record in self._records.values()}
        return [
            PeerExchange(address=seed)
            for seed in self._seeds
            if seed not in known_addresses
        ]

    def _select_upstreams(self, state: ListState) -> tuple[ListedProcess, ...]:
        if self._list is None:
            return ()
        return tuple(
            row
            for row in self._list.instances
            if row.role is Role.UPSTREAM and row.state is state
        )


def _member_from_heartbeat(heartbeat: MemberHeartbeat) -> IntroducedMember:
    return IntroducedMember(
        instance=heartbeat.instance,
        zone=heartbeat.zone,
        peer_address=heartbeat.peer_address,
        incarnation=heartbeat.incarnation,
    )


def _member_from_row(row: ListedProcess) -> IntroducedMember:
    return IntroducedMember(
        instance=row.instance,
        zone=row.zone,
        peer_address=row.peer_address,
        incarnation=row.incarnation,
    )
