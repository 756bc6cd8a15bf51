"""Rate limiting of requests by client account."""

from __future__ import annotations

from skylarkcart.entry._fleet import build_peer_messages
from skylarkcart.entry._peers import PeerExchange
from skylarkcart.entry._state import InstanceState
from skylarkcart.errors import RequestRefusedError
from skylarkcart.types import AccountId
from skylarkcart.verdict import RunVerdict

GRANT_TIMEOUT_MS = 200.0
BATCH_WAIT_MS = 5.0


class Admission:
    """Takes one rate limit token per request.

    If no token is available but another instance is expected to grant some, a request
    waits for the grant for up to ``GRANT_TIMEOUT_MS``.
    """

    def __init__(self, *, state: InstanceState, peers: PeerExchange) -> None:
        self._state = state
        self._peers = peers

    async def admit(self, account: AccountId) -> None:
        """Returns after taking a token for a request of the account.

        Raises:
            RequestRefusedError: the account exceeds its rate and burst, or this zone
                has been out of contact with the platform for longer than the account's
                ``refuse_after_s``.
        """
        try:
            await self._admit(account)
        except RequestRefusedError as error:
            self._state.metrics.count_account(account, error.code)
            raise

    async def _admit(self, account: AccountId) -> None:
        self._check_platform_contact(account)
        if not await self._spend_token(account):
            raise RequestRefusedError(
                code="rate_exceeded",
                detail=f"account {account} is over its rate and burst",
                status=429,
                verdict=RunVerdict.NOT_RUN,
                retry_after_ms=self._compute_retry_after_ms(account),
            )

    def _check_platform_contact(self, account: AccountId) -> None:
        row = self._state.find_account(account)
        platform_contact = self._state.fleet.platform_contact
        if row is not None and not platform_contact.may_serve(row, self._state.now):
            raise RequestRefusedError(
                code="platform_unreachable",
                detail=f"account {account} is not served without the platform",
                status=503,
                verdict=RunVerdict.NOT_RUN,
            )

    async def _spend_token(self, account: AccountId) -> bool:
        state = self._state
        limits = state.fleet.limits
        is_spent = limits.try_take_token(account, state.now)
        self._send_limits_messages()
        wait_deadline = state.now + GRANT_TIMEOUT_MS
        while not is_spent and state.now < wait_deadline:
            if not limits.expects_grant(account, state.now):
                return False
            await self._peers.wait_for_batch(BATCH_WAIT_MS)
            is_spent = limits.try_take_token(account, state.now, retried=True)
            self._send_limits_messages()
        return is_spent

    def _send_limits_messages(self) -> None:
        limits = self._state.fleet.limits
        if limits.has_outgoing:
            self._peers.send(build_peer_messages(limits.take_outgoing(self._state.now)))

    def _compute_retry_after_ms(self, account: AccountId) -> int | None:
        row = self._state.find_account(account)
        return None if row is None else max(1, round(1000.0 / row.rate_per_s))
