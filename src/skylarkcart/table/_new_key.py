"""Creates keys for client accounts."""

from __future__ import annotations

import secrets

import msgspec

from skylarkcart.config import check_configuration
from skylarkcart.declarations import AccountRow, Configuration, KeyRow
from skylarkcart.keys import hash_secret
from skylarkcart.types import AccountId, KeyId

SECRET_BYTES = 32
SALT_BYTES = 16
KEY_ID_BYTES = 4
MAX_KEY_ID_PREFIX_CHARS = 48


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A new key and its declaration; ``repr`` does not show the secret."""

    row: KeyRow
    secret: str

    @property
    def token(self) -> str:
        """The bearer token that a caller sends in the ``Authorization`` header."""
        return f"{self.row.key_id}.{self.secret}"

    @property
    def csv_row(self) -> str:
        return ",".join(msgspec.structs.astuple(self.row))

    def __repr__(self) -> str:
        return f"NewKey(key_id={self.row.key_id!r})"


def create_key(account: str) -> NewKey:
    """Creates a random key for ``account``.

    Raises:
        ExceptionGroup: of InvalidValueError; the account's name is invalid.
    """
    salt = secrets.token_hex(SALT_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    row = KeyRow(
        key_id=KeyId(
            f"{account[:MAX_KEY_ID_PREFIX_CHARS]}-{secrets.token_hex(KEY_ID_BYTES)}"
        ),
        account=AccountId(account),
        salt=salt,
        secret_sha256=hash_secret(salt, secret),
    )
    _check_row(row)
    return NewKey(row=row, secret=secret)


def _check_row(row: KeyRow) -> None:
    account = AccountRow(account=row.account, rate_per_s=1, burst=1, share=1)
    check_configuration(
        Configuration(
            revision=1,
            max_instances=1,
            accounts=(account,),
            services=(),
            zones=(),
            keys=(row,),
        )
    )
