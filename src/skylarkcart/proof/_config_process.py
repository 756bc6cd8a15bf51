"""A simulated process of an entry instance in the configuration runs."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.config import ConfigAgent
from skylarkcart.declarations import ListedProcess
from skylarkcart.membership import Members, MemberState
from skylarkcart.types import InstanceId, ListState, Role, ZoneId

PLATFORM_READ_INTERVAL_MS = 250.0


class EntryProcess:
    """Configuration and membership of one process; the simulation does its I/O."""

    def __init__(
        self, *, instance: InstanceId, zone: ZoneId, incarnation: str, now: Millis
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.incarnation = incarnation
        self.agent = ConfigAgent(instance=instance, now=now)
        self.members = Members(
            instance=instance,
            zone=zone,
            peer_address=instance,
            incarnation=incarnation,
            seeds=(f"{zone}-0", "a-0"),
        )
        self.started_at = now
        self.is_ready = False
        self.ready_at: Millis | None = None
        self.configuration_read_at = self.list_read_at = Millis(
            -PLATFORM_READ_INTERVAL_MS
        )
        self.adoptions: list[tuple[Millis, int]] = []

    def build_list_row(self) -> ListedProcess:
        return ListedProcess(
            id=self.instance,
            role=Role.ENTRY,
            zone=self.zone,
            address=self.instance,
            peer_address=self.instance,
            state=ListState.LIVE,
            incarnation=self.incarnation,
        )

    def update(self, now: Millis) -> None:
        """Passes members to the configuration agent and records state changes."""
        known_members = (
            *self.members.zone_members(now),
            *self.members.other_members(now),
        )
        self.agent.observe_peers(
            peers=[member.instance for member in known_members],
            was_listed=self.members.was_listed,
        )
        if not self.is_ready and self.agent.is_ready(now):
            self.is_ready, self.ready_at = True, now
        if not self.adoptions or self.adoptions[-1][1] != self.agent.revision:
            self.adoptions.append((now, self.agent.revision))

    def is_read_due(self, now: Millis) -> bool:
        if now - self.configuration_read_at < PLATFORM_READ_INTERVAL_MS:
            return False
        responsive = [
            member.instance
            for member in self.members.zone_members(now)
            if member.state is not MemberState.SILENT
        ]
        return not self.is_ready or self.agent.is_reader(responsive)

    def find_adoption_time(self, revision: int) -> Millis | None:
        return next((at for at, held in self.adoptions if held >= revision), None)
