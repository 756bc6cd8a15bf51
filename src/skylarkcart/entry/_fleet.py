"""Combines the agents that exchange messages with other instances, without I/O.

Membership selects the peers to exchange messages with. Each exchange carries the
heartbeats of membership, configuration, index snapshots and platform contact. The rate
limits send messages of their own.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Sequence
from typing import Protocol, get_args

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.config import ConfigAgent, ConfigMessage
from skylarkcart.declarations import InstanceList
from skylarkcart.entry._settings import Settings
from skylarkcart.keys import ContactHeartbeat, PlatformContact
from skylarkcart.limits import LimitsAgent, LimitsMessage, MemberView
from skylarkcart.membership import (
    Introduction,
    ListRequest,
    ListValue,
    Member,
    MemberHeartbeat,
    Members,
    MembershipMessage,
    MemberState,
)
from skylarkcart.snapshots import SnapshotAgent, SnapshotMessage
from skylarkcart.types import InstanceId
from skylarkcart.upstreams import UpstreamDirectory, UpstreamMessage, WarmRequest

# Includes the quarantine of two seconds and the few message exchanges that it takes to
# acquire the right to issue tokens.
TOKEN_ISSUERS_TIMEOUT_MS = 6_000.0

PEER_MESSAGE_TYPES = (
    *get_args(ConfigMessage),
    *get_args(LimitsMessage),
    *get_args(MembershipMessage),
    *get_args(SnapshotMessage),
    *get_args(UpstreamMessage),
    ContactHeartbeat,
)


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A message to an instance, or to an address whose instance is not yet known."""

    message: msgspec.Struct
    to: InstanceId | None = None
    address: str | None = None


class AddressedMessage(Protocol):
    """A message and its recipient, as the agents return them."""

    to: InstanceId
    message: msgspec.Struct


class FleetAgent:
    """Handles all communication of this instance with the rest of the fleet."""

    def __init__(
        self,
        *,
        settings: Settings,
        incarnation: str,
        peer_address: str,
        random: random.Random,
        now: Millis,
        upstreams: UpstreamDirectory,
    ) -> None:
        self.upstreams = upstreams
        self.requests_warm_upstreams = True
        self.members = Members(
            instance=settings.instance,
            zone=settings.zone,
            peer_address=peer_address,
            incarnation=incarnation,
            seeds=settings.seeds,
        )
        self.config = ConfigAgent(
            instance=settings.instance, now=now, alone_after_ms=settings.alone_after_ms
        )
        self.platform_contact = PlatformContact(zone=settings.zone)
        self.snapshots = SnapshotAgent()
        self.limits = LimitsAgent(
            instance=settings.instance,
            incarnation=incarnation,
            zone=settings.zone,
            random=random,
            now=now,
        )
        self._started_at = now
        self._applied_revision = 0

    def observe_list(self, instances: InstanceList, now: Millis) -> None:
        self.members.observe_list(instances, now)
        self._propagate_members(now)

    def observe_configuration(self, now: Millis) -> None:
        """Passes a newly adopted configuration on to the rate limits."""
        current = self.config.current
        if current is not None and current.revision > self._applied_revision:
            self._applied_revision = current.revision
            self.limits.configure(current, now)

    def find_address(self, instance: InstanceId, now: Millis) -> str | None:
        """Returns the peer address of an instance, or None if it is no known member."""
        for member in self._list_members(now):
            if member.instance == instance:
                return member.peer_address
        return None

    def is_reader(self, now: Millis) -> bool:
        """Returns whether this instance watches the platform on behalf of its zone."""
        return self.config.is_reader(
            member.instance
            for member in self.members.zone_members(now)
            if member.state is MemberState.ALIVE
        )

    def is_ready(self, now: Millis) -> bool:
        """Returns whether this instance can serve requests.

        It needs the newest configuration and token issuers in its zone. Without issuers
        it would refuse requests that are within their rate. After
        ``TOKEN_ISSUERS_TIMEOUT_MS`` it relies on tokens lent by other zones.
        """
        if not self.config.is_ready(now):
            return False
        is_timed_out = now - self._started_at >= TOKEN_ISSUERS_TIMEOUT_MS
        return is_timed_out or self.limits.has_issuers(now)

    def count_instances(self, now: Millis) -> int:
        """Returns the number of known instances, this one included."""
        return len(self._list_members(now)) + 1

    def build_heartbeats(
        self, instance: InstanceId | None, now: Millis
    ) -> list[msgspec.Struct]:
        """Returns the heartbeats for an exchange with an instance.

        Platform contact and index snapshots are exchanged within a zone only. An
        unknown instance may belong to this zone, so it gets them, too.
        """
        heartbeats: list[msgspec.Struct] = [
            self.members.heartbeat(revision=self.limits.revision),
            self.config.heartbeat(),
        ]
        if not self._is_in_other_zone(instance, now):
            heartbeats.append(self.platform_contact.heartbeat(now))
            heartbeats.append(self.snapshots.heartbeat())
        return heartbeats

    def build_heartbeat_reply(
        self, instance: InstanceId, now: Millis
    ) -> list[msgspec.Struct]:
        """Returns the heartbeats that reply to an exchange started by a member."""
        self.members.record_answered_exchange(instance, now)
        return self.build_heartbeats(instance, now)

    def tick(self, now: Millis) -> list[PeerMessage]:
        """Returns the messages that are due."""
        exchanges = self.members.tick(now)
        self._propagate_members(now)
        peer_messages = []
        extra_messages = self.upstreams.build_messages(now) if exchanges else []
        if self.requests_warm_upstreams:
            extra_messages.append(WarmRequest())
        if self.members.needs_list:
            extra_messages.append(ListRequest())
        for exchange in exchanges:
            for message in (
                *self.build_heartbeats(exchange.instance, now),
                *extra_messages,
            ):
                peer_messages.append(
                    PeerMessage(
                        message=message,
                        to=exchange.instance,
                        address=exchange.address,
                    )
                )
        return peer_messages + build_peer_messages(self.limits.tick(now))

    def handle(
        self,
        sender: InstanceId,
        message: msgspec.Struct,
        now: Millis,
        *,
        asked_at: Millis | None,
    ) -> list[PeerMessage]:
        """Handles a message and returns the messages to send.

        ``asked_at`` is the start time of the exchange if this instance started it. It
        is None for a message from an exchange that a peer started.
        """
        if isinstance(message, ContactHeartbeat):
            if asked_at is not None:
                self.platform_contact.observe_heartbeat(message, asked_at=asked_at)
            return []
        return self._handle(message, sender, now)

    def begin_leave(self, now: Millis) -> list[PeerMessage]:
        self.members.begin_leaving()
        return build_peer_messages(self.limits.begin_leave(now))

    @functools.singledispatchmethod
    def _handle(
        self, message: msgspec.Struct, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        return build_peer_messages(self.limits.handle(sender, message, now))

    @_handle.register
    def _(
        self, message: MemberHeartbeat, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        introduction = self.members.observe_heartbeat(message, now)
        self._propagate_members(now)
        if introduction is None:
            return []
        return [PeerMessage(to=sender, message=introduction)]

    @_handle.register
    def _(
        self, message: ListRequest, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        answer = self.members.answer_list_request()
        return [] if answer is None else [PeerMessage(to=sender, message=answer)]

    @_handle.register
    def _(
        self, message: ListValue, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        self.members.observe_peer_list(message)
        return []

    @_handle.register
    def _(
        self, message: Introduction, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        self.members.observe_introduction(sender, message, now)
        self._propagate_members(now)
        return []

    @_handle.register
    def _(
        self, message: ConfigMessage, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        return build_peer_messages(self.config.handle(sender, message, now))

    @_handle.register
    def _(
        self, message: SnapshotMessage, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        return build_peer_messages(self.snapshots.handle(sender, message, now))

    @_handle.register
    def _(
        self, message: UpstreamMessage, sender: InstanceId, now: Millis
    ) -> list[PeerMessage]:
        replies = self.upstreams.handle(message, now)
        return [PeerMessage(to=sender, message=reply) for reply in replies]

    def _is_in_other_zone(self, instance: InstanceId | None, now: Millis) -> bool:
        others = self.members.other_members(now)
        return any(member.instance == instance for member in others)

    def _list_members(self, now: Millis) -> tuple[Member, ...]:
        return self.members.zone_members(now) + self.members.other_members(now)

    def _propagate_members(self, now: Millis) -> None:
        members = self._list_members(now)
        self.limits.observe_members(
            [
                MemberView(
                    instance=member.instance,
                    zone=member.zone,
                    revision=member.revision,
                    leaving=member.state is MemberState.LEAVING,
                )
                for member in members
            ],
            now,
        )
        if self.members.is_confirmed:
            self.limits.observe_listed(now)
        self.config.observe_peers(
            peers=(member.instance for member in members),
            was_listed=self.members.was_listed,
        )


def build_peer_messages(
    messages: Sequence[AddressedMessage],
) -> list[PeerMessage]:
    """Converts the messages of an agent to outgoing messages."""
    return [PeerMessage(to=each.to, message=each.message) for each in messages]
