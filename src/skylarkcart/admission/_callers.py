"""What an instance knows of callers that compete for room: shares and slots."""

from __future__ import annotations

from collections.abc import Hashable

from skylarkcart.admission._fairness import RequestShares
from skylarkcart.admission._messages import AdmissionRequest
from skylarkcart.admission._returns import ReturnSlots, ReturnState
from skylarkcart.clock import Millis

# A request that returns from an instance that is not known here gives way less: it has
# probably been refused once. One that repeats at once looks the same.
UNKNOWN_RETURN_FACTOR = 0.5


class Callers:
    """Weighs requests by the shares of their account and caller in the requests.

    Shares are counted within one priority. A caller is named by its address.
    """

    def __init__(self) -> None:
        self._account_shares: dict[int, RequestShares] = {}
        self._caller_shares: dict[int, RequestShares] = {}
        self._slots = ReturnSlots()

    def record(self, request: AdmissionRequest, now: Millis) -> None:
        """Counts a request that competes for room."""
        if request.was_held:
            return
        if request.account is not None:
            shares = _get_shares(self._account_shares, request)
            shares.record(request.account, now)
        _get_shares(self._caller_shares, request).record(request.caller, now)

    def weigh(self, request: AdmissionRequest, part: float) -> float:
        """Returns the part that gives way of requests of this account and caller.

        A part of 0 or 1 concerns all of them, whatever their shares are.
        """
        weight = _get_shares(self._caller_shares, request).get_weight(request.caller)
        if request.account is not None:
            shares = _get_shares(self._account_shares, request)
            weight *= shares.get_weight(request.account)
        if request.is_returning:
            weight *= UNKNOWN_RETURN_FACTOR
        return part ** (1.0 / weight)

    def find_return_state(self, request: AdmissionRequest, now: Millis) -> ReturnState:
        """Returns whether the request comes back at a slot, before it, or neither."""
        if not request.is_returning:
            return ReturnState.UNKNOWN
        return self._slots.find_state(_get_name(request), now)

    def use_slot(self, request: AdmissionRequest) -> None:
        self._slots.use(_get_name(request))

    def get_time_to_slot_ms(self, request: AdmissionRequest, now: Millis) -> float:
        due_at = self._slots.get_due_at(_get_name(request))
        return 0.0 if due_at is None else max(0.0, due_at - now)

    def reserve_slot(
        self,
        request: AdmissionRequest,
        *,
        wait_ms: float,
        spacing_ms: float,
        max_wait_ms: float,
        now: Millis,
    ) -> float:
        """Hands out the next slot of the request's kind; returns the time until it."""
        return self._slots.reserve(
            _get_name(request),
            (request.group, request.priority),
            wait_ms=wait_ms,
            spacing_ms=spacing_ms,
            max_wait_ms=max_wait_ms,
            now=now,
        )


def _get_shares(
    shares: dict[int, RequestShares], request: AdmissionRequest
) -> RequestShares:
    return shares.setdefault(request.priority, RequestShares())


def _get_name(request: AdmissionRequest) -> Hashable:
    return (request.account, request.caller, request.group, request.priority)
