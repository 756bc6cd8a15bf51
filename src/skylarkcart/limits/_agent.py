"""The entry point of the package: the rate limiter of one instance."""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import Configuration
from skylarkcart.limits._allocation import AllocationTracker
from skylarkcart.limits._candidacy import RightAcquired
from skylarkcart.limits._grant_store import GrantStore
from skylarkcart.limits._helpers import ACCOUNT_GROUPS, find_group
from skylarkcart.limits._issuer import Issuer
from skylarkcart.limits._messages import (
    ConsentResponse,
    GrantRecall,
    GrantReport,
    LimitsMessage,
    MemberView,
    OutgoingMessage,
    Redirect,
    ReleaseNotice,
    RenewalRequest,
    TokenRequest,
    TokenResponse,
)
from skylarkcart.limits._released import ReleasedBalances
from skylarkcart.limits._rights import Rights
from skylarkcart.limits._token_requester import TokenRequester
from skylarkcart.types import AccountId, InstanceId, ZoneId

ACCOUNT_SPACE = "accounts"
UPSTREAM_SPACE = "upstreams"
UPSTREAM_GROUPS = 16


class LimitsAgent:
    """Enforces the rate and burst of all accounts at one instance.

    The caller invokes ``tick`` every 50 ms and sends the messages that the methods
    return. After a refused request, it also sends those of ``take_outgoing``:

        if not agent.try_take_token(account, now):
            send(agent.take_outgoing(now))
            # While agent.expects_grant(account, now), wait for the next message or a
            # few milliseconds, then agent.try_take_token(account, now, retried=True).

    Args:
        incarnation: unique to each process that runs under the same instance id.
        random: chooses which instance of another zone to ask for tokens.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: str,
        zone: ZoneId,
        random: random.Random,
        now: Millis,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._zone = zone
        self._allocations = AllocationTracker(zone=zone)
        self._rights = self._build_rights(ACCOUNT_SPACE, ACCOUNT_GROUPS, now)
        self._upstream_rights = self._build_rights(UPSTREAM_SPACE, UPSTREAM_GROUPS, now)
        self._spaces = {
            ACCOUNT_SPACE: self._rights,
            UPSTREAM_SPACE: self._upstream_rights,
        }
        self._issuer = Issuer(instance=instance, incarnation=incarnation)
        self._grant_store = GrantStore(now=now)
        self._requester = TokenRequester(
            instance=instance,
            incarnation=incarnation,
            zone=zone,
            grant_store=self._grant_store,
            random=random,
        )
        self._members: tuple[MemberView, ...] = ()
        self._other_zone_instances: set[InstanceId] = set()
        self._accounts: dict[AccountId, int] = {}
        self._accounts_short_of_tokens: set[AccountId] = set()
        self._released = ReleasedBalances()
        self._leaving = False

    def _build_rights(self, space: str, groups: int, now: Millis) -> Rights:
        return Rights(
            instance=self._instance,
            incarnation=self._incarnation,
            space=space,
            groups=groups,
            now=now,
        )

    # Inputs from other packages.

    @property
    def revision(self) -> int:
        """The adopted configuration revision; 0 before the first one."""
        return self._allocations.revision

    def configure(self, configuration: Configuration, now: Millis) -> None:
        """Adopts a newer configuration; ignores an older one."""
        if configuration.revision <= self._allocations.revision:
            return
        self._allocations.adopt(configuration)
        self._accounts = {
            row.account: find_group(row.account, ACCOUNT_GROUPS)
            for row in configuration.accounts
        }
        bursts = {row.account: row.burst for row in configuration.accounts}
        self._grant_store.configure(bursts)
        self._requester.configure(self._allocations.allocations)
        self._apply_allocations(now)

    def observe_members(self, members: Iterable[MemberView], now: Millis) -> None:
        """Sets the known entry instances of all zones."""
        self._members = tuple(members)
        self._other_zone_instances = {
            each.instance for each in self._members if each.zone != self._zone
        }
        zone_instances = [
            each.instance for each in self._members if each.zone == self._zone
        ]
        self._rights.observe_members(zone_instances, now)
        self._upstream_rights.observe_members(zone_instances, now)
        self._requester.observe_members(self._members)
        self._observe_revisions(now)

    def observe_listed(self, now: Millis) -> None:
        """Records that the platform's list or a zone member includes this instance."""
        self._rights.record_introduced()
        self._upstream_rights.record_introduced()

    observe_introduced = observe_listed

    def _observe_revisions(self, now: Millis) -> None:
        was_settled = self._allocations.is_settled
        self._allocations.observe(self._members, now)
        if self._allocations.is_settled and not was_settled:
            self._apply_allocations(now)

    def _record_settled(
        self, message: RenewalRequest | ConsentResponse, now: Millis
    ) -> None:
        if message.settled and not self._allocations.is_settled:
            self._allocations.record_settled(message.revision)
            self._apply_allocations(now)

    def _apply_allocations(self, now: Millis) -> None:
        self._issuer.configure(self._allocations.current, now)
        self._rights.set_revision(
            self._allocations.revision, self._allocations.is_settled
        )
        for account, group in self._accounts.items():
            is_held = self._rights.holds(group, now)
            if is_held and not self._issuer.has_bucket(account):
                self._issuer.open_bucket(account, now)

    # Requests.

    def try_take_token(
        self, account: AccountId, now: Millis, *, retried: bool = False
    ) -> bool:
        """Takes one token for a request; returns False if none is available.

        Args:
            retried: whether the same request was refused before and waited for a grant.
        """
        if not self._grant_store.has_account(account):
            return False
        if not retried:
            self._grant_store.record_arrival(account, now)
        if self._grant_store.take_token(account, now) or self._take_from_own_bucket(
            account, now
        ):
            if retried:
                self._grant_store.record_served(account)
            return True
        if not retried:
            self._grant_store.record_waiting(account, now)
        self._accounts_short_of_tokens.add(account)
        return False

    def _take_from_own_bucket(self, account: AccountId, now: Millis) -> bool:
        is_held = self._rights.holds(self._accounts[account], now)
        return is_held and self._issuer.take_token(account, now)

    def expects_grant(self, account: AccountId, now: Millis) -> bool:
        """Returns whether a refused request should wait a few milliseconds."""
        return account in self._accounts and self._requester.expects_grant(account, now)

    @property
    def has_outgoing(self) -> bool:
        """Whether ``take_outgoing`` has something to send before the next tick."""
        return (
            bool(self._accounts_short_of_tokens) or self._grant_store.has_urgent_reports
        )

    def take_outgoing(self, now: Millis) -> list[OutgoingMessage]:
        """Returns token requests and urgent reports to send before the next tick."""
        outgoing_messages = []
        for account in sorted(self._accounts_short_of_tokens):
            outgoing_messages += self._request_tokens(account, now)
        self._accounts_short_of_tokens.clear()
        if self._grant_store.has_urgent_reports:
            outgoing_messages += self._build_reports()
        return outgoing_messages

    def has_issuers(self, now: Millis) -> bool:
        """Returns whether this zone has a known issuer for every account.

        This instance must also be past its quarantine: if the other members of the zone
        were replaced earlier, no instance could take over their rights.
        """
        if not self._allocations.is_settled or not self._rights.is_eligible(now):
            return False
        groups = set(self._accounts.values())
        return all(
            self._rights.holds(group, now)
            or self._find_other_holder(group, now) is not None
            for group in groups
        )

    def holds_group(self, group_key: str, now: Millis) -> bool:
        """Returns whether only this instance may send to a cold upstream."""
        group = find_group(group_key, UPSTREAM_GROUPS)
        return not self._leaving and self._upstream_rights.holds(group, now)

    def list_held(self, now: Millis) -> list[int]:
        """Returns the groups of accounts whose tokens this instance may issue."""
        return self._rights.list_held(now)

    # Ticks and messages.

    def tick(self, now: Millis) -> list[OutgoingMessage]:
        """Renews rights, prefetches tokens, and reports and returns grants."""
        outgoing_messages = self._rights.tick(now) + self._upstream_rights.tick(now)
        self._apply_changes(now)
        self._observe_revisions(now)
        self._requester.expire_requests(now)
        self._grant_store.return_surplus(now)
        self._grant_store.remove_old_grants(now)
        for account in self._accounts:
            outgoing_messages += self._request_tokens(account, now)
        outgoing_messages += self._build_reports()
        return outgoing_messages + self._try_release(now)

    @functools.singledispatchmethod
    def _handle(
        self, message: LimitsMessage, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        raise TypeError(f"message is {message!r}, expected a LimitsMessage")

    def handle(
        self, sender: InstanceId, message: LimitsMessage, now: Millis
    ) -> list[OutgoingMessage]:
        """Handles a message and returns the messages to send.

        Messages about rights from members of other zones are ignored.
        """
        if isinstance(message, RenewalRequest | ConsentResponse | ReleaseNotice):
            if (
                sender in self._other_zone_instances
                or message.space not in self._spaces
            ):
                return []
        outgoing_messages = self._handle(message, sender, now)
        self._apply_changes(now)
        return outgoing_messages + self._try_release(now)

    @_handle.register
    def _(
        self, message: RenewalRequest, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        outgoing_messages, consent = self._spaces[message.space].handle_renew(
            sender, message, now
        )
        if message.space == ACCOUNT_SPACE:
            self._record_settled(message, now)
            sought = set(message.seeking) & set(consent.granted)
            transfers = self._released.pop(sought, now)
            consent = msgspec.structs.replace(consent, transfers=transfers)
        return [*outgoing_messages, OutgoingMessage(to=sender, message=consent)]

    @_handle.register
    def _(
        self, message: ConsentResponse, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        if message.space == ACCOUNT_SPACE:
            self._record_settled(message, now)
        return self._spaces[message.space].handle_consent(sender, message, now)

    @_handle.register
    def _(
        self, message: ReleaseNotice, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        return self._spaces[message.space].handle_release(sender, message, now)

    @_handle.register
    def _(
        self, message: TokenRequest, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        group = find_group(message.account, ACCOUNT_GROUPS)
        lease_end = self._rights.get_lease_end(group, now)
        reply: LimitsMessage
        if lease_end is None or self._leaving:
            reply = Redirect(
                incarnation=message.incarnation,
                request=message.request,
                account=message.account,
                holder=self._find_other_holder(group, now),
            )
        else:
            reply = self._issuer.handle_request(message, sender, lease_end, now)
        return [OutgoingMessage(to=sender, message=reply)]

    @_handle.register
    def _(
        self, message: TokenResponse, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        self._requester.handle_response(sender, message, now)
        return self._request_tokens(message.account, now) + self.take_outgoing(now)

    @_handle.register
    def _(
        self, message: Redirect, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        outgoing_messages = self._requester.handle_redirect(sender, message, now)
        return outgoing_messages + self._request_tokens(message.account, now)

    @_handle.register
    def _(
        self, message: GrantReport, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        for state in message.states:
            self._issuer.record_report(state, now)
        return []

    @_handle.register
    def _(
        self, message: GrantRecall, sender: InstanceId, now: Millis
    ) -> list[OutgoingMessage]:
        self._grant_store.return_recalled_grants(set(message.grants))
        return self._build_reports()

    # Token requests and reports.

    def _find_other_holder(self, group: int, now: Millis) -> InstanceId | None:
        holder = self._rights.find_holder(group, now)
        return None if holder == self._instance else holder

    def _request_tokens(self, account: AccountId, now: Millis) -> list[OutgoingMessage]:
        """Requests the tokens that are needed but neither held nor requested yet."""
        group = self._accounts.get(account)
        if group is None:
            return []
        balance = 0.0
        if self._rights.holds(group, now):
            balance = self._issuer.get_balance(account, now)
        holder = self._find_other_holder(group, now)
        return self._requester.request_tokens(
            account, balance=balance, holder=holder, now=now
        )

    def _build_reports(self) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(to=issuer, message=GrantReport(states=states))
            for issuer, states in self._grant_store.take_reports().items()
        ]

    # Changes of rights, and leaving.

    def _apply_changes(self, now: Millis) -> None:
        self._upstream_rights.take_changes()
        for change in self._rights.take_changes():
            accounts = [
                account
                for account, group in self._accounts.items()
                if group == change.group
            ]
            for account in accounts:
                self._issuer.close(account)
            if isinstance(change, RightAcquired):
                self._open_buckets(accounts, change, now)

    def _open_buckets(
        self, accounts: list[AccountId], acquired: RightAcquired, now: Millis
    ) -> None:
        balances = {each.account: each.tokens for each in acquired.transfers}
        for account in accounts:
            self._issuer.open_bucket(account, now, balance=balances.get(account, 0.0))

    def begin_leave(self, now: Millis) -> list[OutgoingMessage]:
        """Stops issuing, recalls grants, and releases rights when none is outstanding.

        Requests that still arrive are served with grants of other instances.
        """
        if self._leaving:
            return []
        self._leaving = True
        outgoing_messages = (
            self._rights.begin_leave() + self._upstream_rights.begin_leave()
        )
        for receiver, grants in self._issuer.list_outstanding(now).items():
            outgoing_messages.append(
                OutgoingMessage(to=receiver, message=GrantRecall(grants=tuple(grants)))
            )
        return outgoing_messages + self._try_release(now)

    def _try_release(self, now: Millis) -> list[OutgoingMessage]:
        if not self._leaving:
            return []
        held = self._rights.list_held(now)
        if not held or self._issuer.list_outstanding(now):
            return []
        for account, group in self._accounts.items():
            lease_end = self._rights.get_lease_end(group, now)
            if lease_end is not None:
                balance = self._issuer.get_balance(account, now)
                self._released.record(account, balance, lease_end)
        outgoing_messages = self._rights.release(held)
        self._apply_changes(now)
        return outgoing_messages

    def release_upstreams(self, now: Millis) -> list[OutgoingMessage]:
        """Releases the rights to cold upstreams; no call to one may be in flight."""
        return self._upstream_rights.release(self._upstream_rights.list_held(now))

    def has_released(self, now: Millis) -> bool:
        """Returns whether this instance is leaving and holds no issuing right."""
        return self._leaving and not self._rights.list_held(now)
