"""Stores the newest valid configuration."""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.config._checks import check_change
from skylarkcart.config._delta import apply_delta, select_changed_rows
from skylarkcart.config._encoding import (
    decode_configuration,
    digest_canonical,
    encode_sorted,
    sort_rows,
)
from skylarkcart.config._messages import ChangeDelta
from skylarkcart.declarations import Configuration
from skylarkcart.invariants import Invariant, check


class OfferOutcome(enum.Enum):
    """Whether an offered configuration was adopted, or why not."""

    ADOPTED = "adopted"
    ALREADY_KNOWN = "already_known"
    STALE = "stale"
    CONFLICTING = "conflicting"
    INVALID = "invalid"


class OfferResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of an offer; ``detail`` gives the reason for a rejection."""

    outcome: OfferOutcome
    detail: str = ""


class RevisionStore:
    """Stores the valid configuration with the highest revision.

    An older revision never replaces a newer one, whether it comes from a stale read of
    the platform, from a peer that lags behind or in a duplicate message.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._value = b""
        self._digest = ""

    @property
    def current(self) -> Configuration | None:
        return self._current

    @property
    def value(self) -> bytes:
        """The canonical encoding of the current configuration, or empty bytes."""
        return self._value

    @property
    def digest(self) -> str:
        """The digest of ``value``, or an empty string without a configuration."""
        return self._digest

    @property
    def revision(self) -> int:
        """The current revision, or 0 without a configuration."""
        return self._current.revision if self._current else 0

    def offer(self, value: bytes, *, expected_digest: str | None = None) -> OfferResult:
        """Adopts ``value`` if it is valid and its revision is newer."""
        try:
            offered = decode_configuration(value)
        except ExceptionGroup as group:
            return _build_invalid_result(group)
        return self._adopt_if_newer(offered, expected_digest)

    def offer_delta(self, delta: ChangeDelta) -> OfferResult:
        """Applies a delta to the current configuration and offers the result."""
        if self._current is None or delta.from_revision != self.revision:
            return OfferResult(outcome=OfferOutcome.STALE)
        result = apply_delta(self._current, delta)
        try:
            check_change(result, select_changed_rows(result, delta))
        except ExceptionGroup as group:
            return _build_invalid_result(group)
        return self._adopt_if_newer(sort_rows(result), delta.digest)

    def _adopt_if_newer(
        self, offered: Configuration, expected_digest: str | None
    ) -> OfferResult:
        canonical = encode_sorted(offered)
        digest = digest_canonical(canonical)
        if expected_digest not in (None, digest):
            detail = f"digest {digest}, expected {expected_digest}"
            return OfferResult(outcome=OfferOutcome.INVALID, detail=detail)
        if not self._supersedes(offered.revision):
            return self._classify_rejection(offered.revision, digest)
        self._adopt(offered, canonical, digest)
        return OfferResult(outcome=OfferOutcome.ADOPTED)

    def _supersedes(self, revision: int) -> bool:
        return revision > self.revision

    def _classify_rejection(self, revision: int, digest: str) -> OfferResult:
        if revision < self.revision:
            return OfferResult(outcome=OfferOutcome.STALE)
        if digest == self._digest:
            return OfferResult(outcome=OfferOutcome.ALREADY_KNOWN)
        detail = (
            f"revision {self.revision} has digest {digest}, "
            f"expected {self._digest} as adopted before"
        )
        return OfferResult(outcome=OfferOutcome.CONFLICTING, detail=detail)

    def _adopt(self, offered: Configuration, canonical: bytes, digest: str) -> None:
        check(
            offered.revision > self.revision,
            Invariant.CONFIG_ADVANCES,
            f"revision {offered.revision} follows {self.revision}",
        )
        self._current = offered
        self._value = canonical
        self._digest = digest


def _build_invalid_result(group: ExceptionGroup) -> OfferResult:
    detail = "; ".join(str(error) for error in group.exceptions)
    return OfferResult(outcome=OfferOutcome.INVALID, detail=detail)
