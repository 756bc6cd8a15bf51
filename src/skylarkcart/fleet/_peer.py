"""What an instance knows of another one."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fleet._report import Member
from skylarkcart.types import NO_ERA


class Peer(msgspec.Struct, kw_only=True):
    """Another instance: its latest self-description and the last direct contact."""

    member: Member
    reported_at: Millis
    last_contact_at: Millis
    known_since: Millis
    last_sent_at_ms: float = -1.0
    lacks_stated_state_until: Millis = Millis(float("-inf"))

    @property
    def has_state_without_era(self) -> bool:
        """Whether its build, or the store that it reads, states no era."""
        return self.member.revision > 0 and self.member.era == NO_ERA

    @property
    def version(self) -> tuple[int, int]:
        return self.member.incarnation, self.member.sequence
