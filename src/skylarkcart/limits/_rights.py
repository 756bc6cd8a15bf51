"""Exclusive rights per zone and group: leases that all zone members agree to.

A candidate asks every known member of its zone. A member agrees to one candidate at a
time, itself included, for ``LEASE_MS`` after receipt; the candidate counts from the
time of sending, so its lease ends first. For two instances to hold a right at the same
time, each would have to be absent from the members that the other requires, either
unknown or silent. Neither can happen:

- An instance acquires rights only after ``QUARANTINE_MS`` of uninterrupted operation
  and after it was listed or introduced. By then, it knows the other members.
- A holder doesn't use its right if its last tick is older than ``MAX_TICK_AGE_MS``. It
  sends to each known member at every renewal, so no member considers it silent before
  that.
- A restarted member has lost its agreements. It agrees to a new candidate only after
  ``QUARANTINE_MS``, when the lost agreements have expired, or if it has agreed to a
  renewal by a holder of the group since its start.

``docs/design-limits.md`` gives the whole argument with its assumptions.

The group space is a parameter: a group of accounts gives the right to issue their
tokens, a group of upstreams the right to send to them while they are cold.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkcart.clock import Millis
from skylarkcart.limits._agreements import Agreements, Candidate
from skylarkcart.limits._candidacy import (
    Candidacy,
    RightAcquired,
    RightChange,
    RightLost,
)
from skylarkcart.limits._helpers import (
    LEASE_MS,
    MAX_PAUSE_MS,
    MAX_TICK_AGE_MS,
    NEVER,
    QUARANTINE_MS,
    RENEWAL_INTERVAL_MS,
    SEEK_RETRY_INTERVAL_MS,
    rank_candidate,
)
from skylarkcart.limits._messages import (
    ConsentResponse,
    OutgoingMessage,
    ReleaseNotice,
    RenewalRequest,
)
from skylarkcart.limits._peers import Peers
from skylarkcart.types import InstanceId


class Rights:
    """Acquires, renews, checks and releases the rights of one group space.

    ``now`` must not decrease between calls, and ``tick`` must be called every 50 ms.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: str,
        space: str,
        groups: int,
        now: Millis,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._space = space
        self._groups = groups
        self._running_since = now
        self._last_tick = now
        self._last_renewal = NEVER
        self._introduced = False
        self._leaving = False
        self._revision = 0
        self._settled = False
        self._peers = Peers(instance=instance)
        self._agreements = Agreements(started_at=now)
        self._candidacies: dict[int, Candidacy] = {}
        self._attempt = 0
        self._sent_at: dict[int, Millis] = {}
        self._epoch = 0
        self._changes: list[RightChange] = []

    # Inputs from other packages.

    def observe_members(self, members: Iterable[InstanceId], now: Millis) -> None:
        """Sets the known members of the zone, which may include this instance.

        An unlisted member that was heard from recently stays known until it is silent.
        """
        self._peers.observe(members, now)

    def record_introduced(self) -> None:
        """Records that the list or a zone member includes this instance."""
        self._introduced = True

    def set_revision(self, revision: int, settled: bool) -> None:
        """Sets the adopted configuration revision, which messages carry.

        A member doesn't agree to a candidate with an older revision than its own.
        """
        self._revision = revision
        self._settled = settled

    def begin_leave(self) -> list[OutgoingMessage]:
        """Stops seeking rights; held rights stay until ``release``."""
        self._leaving = True
        sought = [
            group
            for group, candidacy in self._candidacies.items()
            if not candidacy.is_acquired
        ]
        return self.release(sought) if sought else []

    # State of rights.

    def holds(self, group: int, now: Millis) -> bool:
        """Returns whether this instance may use the right now."""
        return self.get_lease_end(group, now) is not None

    def get_lease_end(self, group: int, now: Millis) -> Millis | None:
        """Returns when the right ends unless it is renewed, or None if not held."""
        candidacy = self._candidacies.get(group)
        if (
            candidacy is None
            or not candidacy.is_acquired
            or candidacy.expires_at <= now
        ):
            return None
        if now - self._last_tick > MAX_TICK_AGE_MS:
            return None
        return candidacy.expires_at

    def list_held(self, now: Millis) -> list[int]:
        return [group for group in self._candidacies if self.holds(group, now)]

    def find_holder(self, group: int, now: Millis) -> InstanceId | None:
        """Returns the candidate that this instance currently agrees to."""
        return self._agreements.find_candidate(group, now)

    def take_changes(self) -> list[RightChange]:
        """Returns the changes of rights since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    # Ticks and messages.

    def tick(self, now: Millis) -> list[OutgoingMessage]:
        """Ends expired rights and sends renewals when they are due."""
        self._handle_pause(now)
        self._last_tick = now
        self._end_expired(now)
        wait_ms = (
            SEEK_RETRY_INTERVAL_MS if self._list_sought(now) else RENEWAL_INTERVAL_MS
        )
        if now - self._last_renewal < wait_ms:
            return []
        return self._renew(now)

    def handle_renew(
        self, sender: InstanceId, message: RenewalRequest, now: Millis
    ) -> tuple[list[OutgoingMessage], ConsentResponse]:
        """Returns the withdrawals to send, and the consent for the sender."""
        self._handle_pause(now)
        self._end_expired(now)
        self._peers.record_message(sender, now)
        is_current = message.revision >= self._revision
        self._peers.set_eligible(sender, message.eligible and is_current)
        outgoing_messages: list[OutgoingMessage] = []
        granted = []
        for group in message.holding + message.seeking:
            if not 0 <= group < self._groups:
                continue
            if self._yields_to(sender, message, group):
                outgoing_messages += self.release((group,))
            if self._agree(sender, message, group, now):
                granted.append(group)
        consent = ConsentResponse(
            space=self._space,
            incarnation=message.incarnation,
            attempt=message.attempt,
            granted=tuple(granted),
            revision=self._revision,
            settled=self._settled,
        )
        return outgoing_messages, consent

    def handle_consent(
        self, sender: InstanceId, message: ConsentResponse, now: Millis
    ) -> list[OutgoingMessage]:
        self._handle_pause(now)
        self._end_expired(now)
        if message.incarnation != self._incarnation:
            return []
        self._peers.record_message(sender, now)
        sent_at = self._sent_at.get(message.attempt)
        if sent_at is None:
            return []
        for group in message.granted:
            candidacy = self._candidacies.get(group)
            if candidacy is None or message.attempt < candidacy.first_attempt:
                continue
            agreed_at = candidacy.agreed_at.get(sender, NEVER)
            candidacy.agreed_at[sender] = max(agreed_at, sent_at)
            self._record_transfers(candidacy, message, sent_at)
            self._update_expiry(group, candidacy, now)
        return []

    def handle_release(
        self, sender: InstanceId, message: ReleaseNotice, now: Millis
    ) -> list[OutgoingMessage]:
        self._handle_pause(now)
        self._peers.record_message(sender, now)
        for group in message.groups:
            self._agreements.release(group, _build_candidate(sender, message), now)
        if not message.leaving:
            # A renewal in response to a withdrawal would let two candidates that refuse
            # each other withdraw and retry as fast as messages travel.
            return []
        self._peers.set_eligible(sender, False)
        return self._renew(now) if self._list_sought(now) else []

    def release(self, groups: Iterable[int]) -> list[OutgoingMessage]:
        """Releases rights and attempts; none of their grants may still be valid."""
        released = tuple(groups)
        for group in released:
            self._end_candidacy(group)
            self._agreements.withdraw(group)
        message = ReleaseNotice(
            space=self._space,
            incarnation=self._incarnation,
            attempt=self._attempt,
            groups=released,
            leaving=self._leaving,
        )
        return [OutgoingMessage(to=member, message=message) for member in self._peers]

    # Consent to other candidates.

    def _agree(
        self, sender: InstanceId, message: RenewalRequest, group: int, now: Millis
    ) -> bool:
        if message.revision < self._revision:
            return False
        return self._agreements.agree(
            group,
            _build_candidate(sender, message),
            is_holding=group in message.holding,
            now=now,
        )

    def _yields_to(
        self, sender: InstanceId, message: RenewalRequest, group: int
    ) -> bool:
        """Returns whether an unfinished attempt yields to a better candidate."""
        candidacy = self._candidacies.get(group)
        if candidacy is None or candidacy.is_acquired:
            return False
        if message.revision != self._revision:
            # Members would refuse a candidate with an older revision.
            return message.revision > self._revision
        if group in message.holding:
            return True
        return self._rank(group, sender) < self._rank(group, self._instance)

    # Own candidacies.

    @property
    def _own_candidate(self) -> Candidate:
        return Candidate(
            instance=self._instance,
            incarnation=self._incarnation,
            attempt=self._attempt,
        )

    def _renew(self, now: Millis) -> list[OutgoingMessage]:
        self._attempt += 1
        self._sent_at[self._attempt] = now
        self._last_renewal = now
        self._remove_old_attempts(now)
        holding = tuple(self.list_held(now))
        seeking = tuple(self._list_sought(now))
        for group in seeking:
            if group not in self._candidacies:
                self._candidacies[group] = Candidacy(first_attempt=self._attempt)
        for group in holding + seeking:
            self._agree_to_self(group, now)
        message = RenewalRequest(
            space=self._space,
            incarnation=self._incarnation,
            attempt=self._attempt,
            holding=holding,
            seeking=seeking,
            eligible=self.is_eligible(now),
            revision=self._revision,
            settled=self._settled,
        )
        return [OutgoingMessage(to=member, message=message) for member in self._peers]

    def _agree_to_self(self, group: int, now: Millis) -> None:
        self._agreements.set(group, self._own_candidate, now)
        candidacy = self._candidacies[group]
        candidacy.agreed_at[self._instance] = now
        self._update_expiry(group, candidacy, now)

    def _list_sought(self, now: Millis) -> list[int]:
        if not self.is_eligible(now):
            return []
        return [group for group in range(self._groups) if self._may_seek(group, now)]

    def is_eligible(self, now: Millis) -> bool:
        uninterrupted = now - self._running_since >= QUARANTINE_MS
        return uninterrupted and self._introduced and not self._leaving

    def _may_seek(self, group: int, now: Millis) -> bool:
        candidacy = self._candidacies.get(group)
        if candidacy is not None:
            return not candidacy.is_acquired
        if self.find_holder(group, now) is not None:
            return False
        own_rank = self._rank(group, self._instance)
        return all(
            self._rank(group, peer) > own_rank
            for peer in self._peers.list_eligible(now)
        )

    def _update_expiry(self, group: int, candidacy: Candidacy, now: Millis) -> None:
        """Updates the expiry of a right from the agreements of the required members."""
        peers = self._peers.list_required(now, for_renewal=candidacy.is_acquired)
        required = [self._instance, *peers]
        candidacy.expires_at = candidacy.compute_expiry(required)
        if candidacy.expires_at <= now or candidacy.is_acquired:
            return
        self._epoch += 1
        candidacy.epoch = self._epoch
        transfers = candidacy.list_transfers(now)
        self._changes.append(
            RightAcquired(group=group, epoch=candidacy.epoch, transfers=transfers)
        )

    def _record_transfers(
        self, candidacy: Candidacy, message: ConsentResponse, sent_at: Millis
    ) -> None:
        if not candidacy.is_acquired:
            candidacy.transfers += [(sent_at, each) for each in message.transfers]

    def _end_expired(self, now: Millis) -> None:
        for group, candidacy in list(self._candidacies.items()):
            if candidacy.is_acquired and candidacy.expires_at <= now:
                self._end_candidacy(group)

    def _end_candidacy(self, group: int) -> None:
        """Ends a candidacy or right.

        This member's own agreement stays until it expires, because grants issued under
        the right may be valid until then.
        """
        candidacy = self._candidacies.pop(group, None)
        if candidacy is not None and candidacy.is_acquired:
            self._changes.append(RightLost(group=group))

    # Pauses of this process.

    def _handle_pause(self, now: Millis) -> None:
        """Ends rights after a pause, and restarts silence timers after a stall.

        Messages that arrived during a stall may be handled only after the next tick.
        """
        tick_delay_ms = now - self._last_tick
        if tick_delay_ms > MAX_TICK_AGE_MS:
            self._peers.reset_silence(now)
        if tick_delay_ms > MAX_PAUSE_MS:
            self._running_since = now
            for group in list(self._candidacies):
                self._end_candidacy(group)

    def _remove_old_attempts(self, now: Millis) -> None:
        for attempt, sent_at in list(self._sent_at.items()):
            if now - sent_at > LEASE_MS:
                del self._sent_at[attempt]

    def _rank(self, group: int, instance: InstanceId) -> int:
        return rank_candidate(self._space, group, instance)


def _build_candidate(
    sender: InstanceId, message: RenewalRequest | ReleaseNotice
) -> Candidate:
    return Candidate(
        instance=sender, incarnation=message.incarnation, attempt=message.attempt
    )
