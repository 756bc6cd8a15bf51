"""Membership messages, and the exchanges that membership schedules."""

from __future__ import annotations

import msgspec

from skylarkcart.declarations import InstanceList
from skylarkcart.types import InstanceId, ZoneId


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag_field="type",
):
    """Base class of the membership messages."""


class MemberHeartbeat(Message, kw_only=True, tag="membership.heartbeat"):
    """An instance's description of itself, sent in every exchange.

    ``sequence`` increases within an incarnation, so a duplicate message does not make a
    dead member appear alive. ``revision`` is the configuration revision in force at the
    sender.
    """

    instance: InstanceId
    zone: ZoneId
    peer_address: str
    incarnation: str
    sequence: int
    revision: int
    leaving: bool = False


class IntroducedMember(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A member that the sender of an introduction hears from or has in its list."""

    instance: InstanceId
    zone: ZoneId
    peer_address: str
    incarnation: str


class Introduction(Message, kw_only=True, tag="membership.introduction"):
    """Tells a new instance which other instances are in the fleet.

    ``grounded`` means that the sender itself was listed or introduced. Without this
    flag, instances that know only each other would confirm one another.
    """

    members: tuple[IntroducedMember, ...]
    grounded: bool


class ListRequest(Message, kw_only=True, tag="membership.list_request"):
    """Requests the platform's list, which the sender has not been able to read."""


class ListValue(Message, kw_only=True, tag="membership.list"):
    """The newest instance list known to the sender."""

    instances: InstanceList


MembershipMessage = MemberHeartbeat | Introduction | ListRequest | ListValue


class PeerExchange(msgspec.Struct, frozen=True, kw_only=True):
    """Instructs the caller to exchange messages with a peer.

    ``instance`` is None for a seed address.
    """

    address: str
    instance: InstanceId | None = None
