"""Balances of released rights, which are passed to the next holder."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.limits._helpers import ACCOUNT_GROUPS, find_group
from skylarkcart.limits._messages import BalanceTransfer
from skylarkcart.types import AccountId


class ReleasedBalances:
    """Passes each balance on at most once, and only before the old lease ends.

    After the lease ends, another instance may have acquired the right without the
    consent of this one.
    """

    def __init__(self) -> None:
        self._balances: dict[AccountId, tuple[float, Millis]] = {}

    def record(self, account: AccountId, tokens: float, lease_end: Millis) -> None:
        self._balances[account] = (tokens, lease_end)

    def pop(self, groups: set[int], now: Millis) -> tuple[BalanceTransfer, ...]:
        """Removes and returns the balances of the accounts in ``groups``."""
        transfers = []
        for account, (tokens, lease_end) in list(self._balances.items()):
            if find_group(account, ACCOUNT_GROUPS) not in groups:
                continue
            del self._balances[account]
            if now < lease_end:
                transfers.append(BalanceTransfer(account=account, tokens=tokens))
        return tuple(transfers)
