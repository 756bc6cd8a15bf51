"""Messages of this package between instances, and inputs from other packages.

Every response repeats the incarnation of the requesting process, so that a restarted
process ignores responses to its predecessor.
"""

from __future__ import annotations

import msgspec

from skylarkcart.types import AccountId, GrantId, InstanceId, ZoneId


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """What is known about an entry instance.

    ``revision`` is the configuration revision that it last reported; 0 before its first
    report.
    """

    instance: InstanceId
    zone: ZoneId
    revision: int = 0
    leaving: bool = False


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base class of all messages of this package."""


class RenewalRequest(Message, kw_only=True, tag="limits.renew"):
    """Asks a zone member to agree to rights; also serves as a heartbeat.

    ``holding`` lists the groups whose rights the sender holds, ``seeking`` those whose
    rights it wants to acquire. ``eligible`` states whether it may acquire rights.
    """

    space: str
    incarnation: str
    attempt: int
    holding: tuple[int, ...] = ()
    seeking: tuple[int, ...] = ()
    eligible: bool = False
    revision: int = 0
    settled: bool = False


class BalanceTransfer(msgspec.Struct, frozen=True, kw_only=True):
    """The balance that the previous holder passes to the next one."""

    account: AccountId
    tokens: float


class ConsentResponse(Message, kw_only=True, tag="limits.consent"):
    """Agrees to rights for ``LEASE_MS`` after the receipt of a ``RenewalRequest``."""

    space: str
    incarnation: str
    attempt: int
    granted: tuple[int, ...] = ()
    transfers: tuple[BalanceTransfer, ...] = ()
    revision: int = 0
    settled: bool = False


class ReleaseNotice(Message, kw_only=True, tag="limits.release"):
    """Releases rights, or withdraws an attempt to acquire them.

    A sender that is ``leaving`` no longer seeks rights.
    """

    space: str
    incarnation: str
    attempt: int
    groups: tuple[int, ...]
    leaving: bool = False


class TokenRequest(Message, kw_only=True, tag="limits.ask"):
    """Requests tokens from the holder of an account's right."""

    incarnation: str
    request: int
    account: AccountId
    tokens: int


class TokenResponse(Message, kw_only=True, tag="limits.granted"):
    """Answers a ``TokenRequest``; ``tokens`` is 0 if none can be granted.

    The grant is valid for ``ttl_ms`` after the request was sent. ``left`` is the
    balance that remains with the issuer.
    """

    incarnation: str
    request: int
    account: AccountId
    grant: GrantId
    tokens: int
    ttl_ms: float
    left: float


class Redirect(Message, kw_only=True, tag="limits.redirect"):
    """Answers a ``TokenRequest`` at a non-holder; names the holder if known."""

    incarnation: str
    request: int
    account: AccountId
    holder: InstanceId | None = None


class GrantState(msgspec.Struct, frozen=True, kw_only=True):
    """The remaining tokens of a grant; ``returned`` ones go back to the issuer."""

    account: AccountId
    grant: GrantId
    remaining: int
    returned: int = 0


class GrantReport(Message, kw_only=True, tag="limits.report"):
    """Reports the remaining tokens of grants to their issuer."""

    states: tuple[GrantState, ...]


class GrantRecall(Message, kw_only=True, tag="limits.recall"):
    """Asks for the return of grants before a graceful release."""

    grants: tuple[GrantId, ...]


LimitsMessage = (
    RenewalRequest
    | ConsentResponse
    | ReleaseNotice
    | TokenRequest
    | TokenResponse
    | Redirect
    | GrantReport
    | GrantRecall
)


class OutgoingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """An action: send a message to an instance."""

    to: InstanceId
    message: LimitsMessage
