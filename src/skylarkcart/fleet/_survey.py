"""Whether an instance knows what its peers keep from earlier eras of the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from skylarkcart.fleet._report import Member
from skylarkcart.types import NO_ERA, Era

# A peer that keeps something reports in each round, to all others or, in a large fleet,
# to some, who pass it on. One report may be lost.
MIN_ROUNDS = 4

# While peers are still discovered, further ones may know more.
MIN_QUIET_ROUNDS = 2

# Longest wait for peers that don't follow to this era or can't be asked.
MAX_ROUNDS = 8


class PeerSurvey:
    """Compares what this instance knows with what its peers keep, once in each era.

    What a restored store lacks is known to the instances that had seen it. An instance
    that has just started, or that was cut off before, may not be one of them, and does
    not know which peers are. The survey is complete when a peer was heard whose own is
    complete and nothing that any peer keeps is missing here. Without such a peer it is
    complete after some rounds of reports. Rounds pass only while the process runs.

    Nothing can be missing when the fleet starts for the first time.
    """

    def __init__(self, *, is_first_start: bool) -> None:
        self._is_complete = is_first_start
        self._era = NO_ERA
        self._rounds = 0
        self._quiet_rounds = 0
        self._known_peers = 0

    def is_complete(self, era: Era) -> bool:
        """Whether the survey of an era is complete."""
        return self._is_complete and self._era == era

    def follow_era(self, era: Era) -> None:
        """Begins a new survey if the store has been restored.

        What was heard before the first era was known counts for it.
        """
        if era == self._era:
            return
        if self._era != NO_ERA:
            self._is_complete = False
            self._rounds = self._quiet_rounds = 0
        self._era = era

    def begin_round(self, known_peers: int) -> None:
        """Records the start of a round of reports, and the number of known peers."""
        self._rounds += 1
        self._quiet_rounds += 1
        if known_peers > self._known_peers:
            self._quiet_rounds = 0
        self._known_peers = known_peers

    def update(
        self, peers: Sequence[Member], *, lacks_kept: Callable[[int], bool]
    ) -> None:
        """Compares the own state with what the responsive peers state.

        ``lacks_kept`` says whether a peer that states a digest may keep something that
        is missing here.
        """
        if self._is_complete:
            return
        is_waiting = any(
            self._is_behind(peer) or self._is_keeping(peer, lacks_kept)
            for peer in peers
        )
        if is_waiting and self._rounds < MAX_ROUNDS:
            return
        has_heard = any(
            peer.has_surveyed and peer.revision > 0 and peer.era == self._era
            for peer in peers
        )
        self._is_complete = has_heard or self._has_listened()

    def _is_behind(self, peer: Member) -> bool:
        """Whether a peer has state of an earlier era, which it will keep in this one.

        An older build does not state what it keeps.
        """
        return peer.era < self._era and peer.revision > 0 and peer.states_kept

    def _is_keeping(self, peer: Member, lacks_kept: Callable[[int], bool]) -> bool:
        """Whether a peer states something that may be missing here."""
        return (
            peer.era == self._era
            and peer.kept_digest > 0
            and lacks_kept(peer.kept_digest)
        )

    def _has_listened(self) -> bool:
        return self._rounds >= MAX_ROUNDS or (
            self._rounds >= MIN_ROUNDS and self._quiet_rounds >= MIN_QUIET_ROUNDS
        )
