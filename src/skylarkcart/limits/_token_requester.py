"""Requests tokens from holders in all zones and handles their responses."""

from __future__ import annotations

import random
from collections.abc import Iterable

from skylarkcart.clock import Millis
from skylarkcart.limits._allocation import ZoneAllocations
from skylarkcart.limits._grant_store import MAX_WAIT_MS, GrantStore
from skylarkcart.limits._helpers import ACCOUNT_GROUPS, GRANT_TTL_MS, find_group
from skylarkcart.limits._holder_selector import HolderSelector, RequestTarget
from skylarkcart.limits._messages import (
    MemberView,
    OutgoingMessage,
    Redirect,
    TokenRequest,
    TokenResponse,
)
from skylarkcart.types import AccountId, InstanceId, ZoneId

# A hundred round trips between zones. With 20 ms, a briefly busy event loop caused
# timeouts, and the holders were not asked again for a second.
REQUEST_TIMEOUT_MS = 100.0

# After this time, the tokens of a pending request no longer reduce further requests.
# Otherwise, requests to a partitioned zone would block those to the own zone.
REQUEST_OVERDUE_MS = 5.0


class _PendingRequest:
    """A pending request; a late response is used until its grant would expire."""

    def __init__(
        self, *, account: AccountId, target: RequestTarget, now: Millis
    ) -> None:
        self.account = account
        self.target = target
        self.sent_at = now
        self.is_awaited = True


class TokenRequester:
    """Requests grants for one instance and adds them to its grant store."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: str,
        zone: ZoneId,
        grant_store: GrantStore,
        random: random.Random,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._zone = zone
        self._grant_store = grant_store
        self._selector = HolderSelector(instance=instance, zone=zone, random=random)
        self._pending: dict[int, _PendingRequest] = {}
        self._last_request_id = 0

    def configure(self, allocations: dict[ZoneId, ZoneAllocations]) -> None:
        self._selector.configure(allocations)

    def observe_members(self, members: Iterable[MemberView]) -> None:
        self._selector.observe_members(members)

    def expects_grant(self, account: AccountId, now: Millis) -> bool:
        """Returns whether a request is pending or can be sent again soon."""
        is_pending = any(
            each.is_awaited
            and each.account == account
            and now - each.sent_at <= REQUEST_TIMEOUT_MS
            for each in self._pending.values()
        )
        return is_pending or self._selector.may_recheck(account, now, MAX_WAIT_MS)

    def request_tokens(
        self,
        account: AccountId,
        *,
        balance: float,
        holder: InstanceId | None,
        now: Millis,
    ) -> list[OutgoingMessage]:
        """Requests the tokens that are needed but neither held nor requested yet.

        Args:
            balance: the tokens that this instance may spend as a holder itself.
            holder: another instance that holds the right in the own zone, if known.
        """
        shortage = self._grant_store.compute_shortage(account, now)
        if shortage <= 0:
            return []
        shortage -= self._count_requested(account, now) + int(balance)
        if shortage <= 0:
            return []
        group = find_group(account, ACCOUNT_GROUPS)
        self._selector.record_holder(self._zone, group, holder)
        targets = self._selector.select_targets(account, group, shortage, now)
        return [self._send_request(account, target, now) for target in targets]

    def handle_response(
        self, sender: InstanceId, message: TokenResponse, now: Millis
    ) -> None:
        """Adds a grant to the grant store, or returns it if it came too late."""
        if message.incarnation != self._incarnation:
            return
        pending = self._pending.pop(message.request, None)
        if pending is None:
            self._return_late_grant(sender, message, now)
            return
        zone = pending.target.zone
        group = find_group(message.account, ACCOUNT_GROUPS)
        self._selector.record_response(zone, sender)
        self._selector.record_holder(zone, group, sender)
        self._selector.record_balance(zone, message.account, message.left, now)
        if message.tokens > 0:
            self._grant_store.add_grant(
                grant=message.grant,
                account=message.account,
                issuer=sender,
                tokens=message.tokens,
                ttl_ms=message.ttl_ms,
                requested_at=pending.sent_at,
                now=now,
            )

    def handle_redirect(
        self, sender: InstanceId, message: Redirect, now: Millis
    ) -> list[OutgoingMessage]:
        """Asks the holder that the response names, or records that there is none."""
        if message.incarnation != self._incarnation:
            return []
        pending = self._pending.pop(message.request, None)
        if pending is None:
            return []
        zone = pending.target.zone
        group = find_group(message.account, ACCOUNT_GROUPS)
        self._selector.record_response(zone, sender)
        if message.holder in (None, sender, self._instance):
            self._selector.record_no_holder(zone, message.account, group, now)
            return []
        self._selector.record_holder(zone, group, message.holder)
        target = RequestTarget(
            zone=zone, instance=message.holder, tokens=pending.target.tokens
        )
        return [self._send_request(message.account, target, now)]

    def expire_requests(self, now: Millis) -> None:
        """Times out requests, and removes them when their grant would have expired."""
        for request, each in list(self._pending.items()):
            age_ms = now - each.sent_at
            if each.is_awaited and age_ms > REQUEST_TIMEOUT_MS:
                each.is_awaited = False
                self._selector.record_timeout(
                    each.target.zone, each.target.instance, now
                )
            if age_ms > GRANT_TTL_MS:
                del self._pending[request]

    def _return_late_grant(
        self, sender: InstanceId, message: TokenResponse, now: Millis
    ) -> None:
        if message.tokens > 0:
            self._grant_store.return_late_grant(
                grant=message.grant,
                account=message.account,
                issuer=sender,
                tokens=message.tokens,
                now=now,
            )

    def _count_requested(self, account: AccountId, now: Millis) -> int:
        return sum(
            each.target.tokens
            for each in self._pending.values()
            if each.account == account and now - each.sent_at <= REQUEST_OVERDUE_MS
        )

    def _send_request(
        self, account: AccountId, target: RequestTarget, now: Millis
    ) -> OutgoingMessage:
        self._last_request_id += 1
        self._pending[self._last_request_id] = _PendingRequest(
            account=account, target=target, now=now
        )
        message = TokenRequest(
            incarnation=self._incarnation,
            request=self._last_request_id,
            account=account,
            tokens=target.tokens,
        )
        return OutgoingMessage(to=target.instance, message=message)
