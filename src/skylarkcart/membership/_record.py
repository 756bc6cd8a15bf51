"""The state that an instance keeps about one other instance."""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import ListedProcess
from skylarkcart.membership._messages import IntroducedMember, MemberHeartbeat
from skylarkcart.types import InstanceId, ListState, ZoneId

# Three exchange intervals inside a zone.
SILENT_AFTER_MS = 800.0
# Exchanges with members of other zones are four times less frequent.
REMOTE_SILENT_AFTER_MS = 3_200.0


class MemberState(enum.Enum):
    """Whether a member sends heartbeats, and whether it is leaving."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SILENT = "silent"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A member at one point in time; ``revision`` is 0 before its first heartbeat."""

    instance: InstanceId
    zone: ZoneId
    peer_address: str
    incarnation: str
    state: MemberState
    revision: int


class MemberRecord:
    """The state of one member.

    Incarnations have no order. A heartbeat with another incarnation is therefore
    accepted, unless it returns to an earlier incarnation while the present one is not
    silent. A late message of an earlier process has no effect, or at worst an effect
    that lasts until the member is silent.
    """

    def __init__(
        self, *, member: IntroducedMember, is_local: bool, now: Millis
    ) -> None:
        self.instance = member.instance
        self.zone = member.zone
        self.peer_address = member.peer_address
        self.incarnation = member.incarnation
        self.is_listed = False
        self.exchanged_at: Millis | None = None
        self._silent_after_ms = SILENT_AFTER_MS if is_local else REMOTE_SILENT_AFTER_MS
        self._earlier_incarnations: set[str] = set()
        self._known_at = now
        self._heard_at: Millis | None = None
        self._sequence = -1
        self._revision = 0
        self._leaving = False

    @property
    def was_heard(self) -> bool:
        """Whether a heartbeat of the present incarnation was received."""
        return self._heard_at is not None

    @property
    def revision(self) -> int:
        return self._revision

    def get_silence_ms(self, now: Millis) -> float:
        """Returns the time since the last heartbeat, or else since it became known."""
        since = self._known_at if self._heard_at is None else self._heard_at
        return now - since

    def is_silent(self, now: Millis) -> bool:
        return self.get_silence_ms(now) >= self._silent_after_ms

    def observe_listed(self, row: ListedProcess, now: Millis) -> None:
        """Applies a row of the list, which lags behind heartbeats."""
        self.is_listed = True
        if row.incarnation != self.incarnation and self._may_replace_incarnation(
            row.incarnation, now
        ):
            self._start_incarnation(row.incarnation, now)
        if row.incarnation != self.incarnation:
            return
        if not self.was_heard:
            self.zone, self.peer_address = row.zone, row.peer_address
        self._leaving = self._leaving or row.state is ListState.LEAVING

    def observe_heartbeat(self, heartbeat: MemberHeartbeat, now: Millis) -> bool:
        """Applies a heartbeat; returns False if it is late or a duplicate."""
        if heartbeat.incarnation != self.incarnation:
            if (
                heartbeat.incarnation in self._earlier_incarnations
                and not self.is_silent(now)
            ):
                return False
            self._start_incarnation(heartbeat.incarnation, now)
        if heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self._heard_at = now
        self._revision = max(self._revision, heartbeat.revision)
        self._leaving = self._leaving or heartbeat.leaving
        self.zone, self.peer_address = heartbeat.zone, heartbeat.peer_address
        return True

    def to_member(self, now: Millis) -> Member:
        return Member(
            instance=self.instance,
            zone=self.zone,
            peer_address=self.peer_address,
            incarnation=self.incarnation,
            state=self._get_state(now),
            revision=self._revision,
        )

    def to_introduced_member(self) -> IntroducedMember:
        return IntroducedMember(
            instance=self.instance,
            zone=self.zone,
            peer_address=self.peer_address,
            incarnation=self.incarnation,
        )

    def _get_state(self, now: Millis) -> MemberState:
        if self.is_silent(now):
            return MemberState.SILENT
        return MemberState.LEAVING if self._leaving else MemberState.ALIVE

    def _may_replace_incarnation(self, incarnation: str, now: Millis) -> bool:
        """Returns whether a listed incarnation may replace the present one.

        The list lags behind, so it does not override a member that is not silent.
        """
        return incarnation not in self._earlier_incarnations and self.is_silent(now)

    def _start_incarnation(self, incarnation: str, now: Millis) -> None:
        self._earlier_incarnations.add(self.incarnation)
        self._earlier_incarnations.discard(incarnation)
        self.incarnation = incarnation
        self._known_at = now
        self._heard_at = None
        self._sequence = -1
        self._revision = 0
        self._leaving = False
