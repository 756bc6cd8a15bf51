"""Authenticates client accounts by their keys."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

import msgspec

from skylarkcart.declarations import KeyRow
from skylarkcart.types import AccountId, KeyId

BEARER_PREFIX = "Bearer "
MAX_AUTHORIZATION_CHARACTERS = 512

# Compared if the key id is unknown, so that both cases take the same time.
_UNKNOWN_KEY_DIGEST = hashlib.sha256(b"unknown key").hexdigest()


class Authenticated(msgspec.Struct, frozen=True, kw_only=True):
    """The account of a valid key.

    ``secret_sha256`` identifies the published row, so that a key counts as revoked if
    its secret is replaced under the same id. The ``repr`` omits it.
    """

    account: AccountId
    key_id: KeyId
    secret_sha256: str

    def __repr__(self) -> str:
        return f"Authenticated(account={self.account!r}, key_id={self.key_id!r})"


class KeyDirectory:
    """The keys of one configuration revision."""

    def __init__(self, *, keys: tuple[KeyRow, ...]) -> None:
        self._rows_by_id = {row.key_id: row for row in keys}

    def authenticate(self, authorization: str | None) -> Authenticated | None:
        """Returns the account for an ``Authorization`` header, or None if refused."""
        if authorization is None or len(authorization) > MAX_AUTHORIZATION_CHARACTERS:
            return None
        if not authorization.startswith(BEARER_PREFIX):
            return None
        token = authorization[len(BEARER_PREFIX) :]
        key_id, _, secret = token.partition(".")
        row = self._rows_by_id.get(KeyId(key_id))
        salt = row.salt if row else ""
        expected = row.secret_sha256 if row else _UNKNOWN_KEY_DIGEST
        matches = hmac.compare_digest(hash_secret(salt, secret), expected)
        if row is None or not matches:
            return None
        return Authenticated(
            account=row.account, key_id=row.key_id, secret_sha256=row.secret_sha256
        )

    def is_valid(self, authenticated: Authenticated) -> bool:
        """Returns whether an earlier accepted key is still published.

        The key of a queued request is checked again when it leaves the queue.
        """
        row = self._rows_by_id.get(authenticated.key_id)
        return (
            row is not None
            and row.account == authenticated.account
            and row.secret_sha256 == authenticated.secret_sha256
        )

    def find_revoked(
        self, accepted: Iterable[Authenticated]
    ) -> tuple[Authenticated, ...]:
        """Returns those of the accepted keys that are no longer valid."""
        return tuple(key for key in accepted if not self.is_valid(key))


def hash_secret(salt: str, secret: str) -> str:
    """Returns the hexadecimal SHA-256 digest of salt and secret.

    Secrets are random 256-bit values, so a slow password hash would make each request
    more expensive without adding security.
    """
    data = f"{salt}:{secret}".encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).hexdigest()
