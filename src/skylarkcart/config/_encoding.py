"""The two encodings of a published configuration.

``encode_rows`` writes human-readable JSON with named fields. ``encode_compact`` writes
MessagePack arrays with hashes as raw bytes and keys nested in their account; this is
also the canonical encoding over which digests are computed. ``decode_configuration``
accepts both and tells them apart by the first byte.
"""

from __future__ import annotations

import hashlib
from operator import attrgetter

import msgspec

from skylarkcart.config._checks import check_configuration
from skylarkcart.config._rules import ID_COLUMNS
from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    KeyRow,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.types import AccountId, KeyId, PlatformLossPolicy

# The platform stores no larger value.
MAX_VALUE_BYTES = 1_000_000

# No MessagePack array starts with this byte.
JSON_FIRST_BYTE = b"{"


class _Compact(
    msgspec.Struct,
    array_like=True,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
):
    """Base class of the compact types, which are encoded as arrays of their fields."""


class _CompactKey(_Compact, array_like=True, kw_only=True):
    key_id: KeyId
    salt: bytes
    secret_sha256: bytes


class _CompactLoss(_Compact, array_like=True, kw_only=True):
    """An account's policy while its zone cannot reach the platform."""

    on_platform_loss: PlatformLossPolicy = PlatformLossPolicy.SERVE
    refuse_after_s: float = 0.0


_DEFAULT_PLATFORM_LOSS = _CompactLoss()


class _CompactAccount(_Compact, array_like=True, kw_only=True):
    account: AccountId
    rate_per_s: float
    burst: int
    share: float
    keys: tuple[_CompactKey, ...] = ()
    platform_loss: _CompactLoss | None = None


class _CompactConfiguration(_Compact, array_like=True, kw_only=True):
    revision: int
    max_instances: int
    accounts: tuple[_CompactAccount, ...]
    services: tuple[ServiceRow, ...]
    zones: tuple[ZoneRow, ...]


def decode_configuration(value: bytes) -> Configuration:
    """Decodes and validates a published value, and sorts its rows by id.

    Raises:
        ExceptionGroup: of InvalidValueError; the value is too large, malformed or
            inconsistent.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise _invalid_configuration(
            f"{len(value)} bytes", f"at most {MAX_VALUE_BYTES} bytes"
        )
    try:
        configuration = _decode(value)
    except DECODING_ERRORS as error:
        # The value contains salted hashes, so the message shows only its first bytes.
        raise _invalid_configuration(value[:20], str(error)) from error
    check_configuration(configuration)
    return sort_rows(configuration)


def encode_rows(configuration: Configuration) -> bytes:
    """Encodes a configuration as JSON with a named field for each column."""
    return msgspec.json.encode(sort_rows(configuration))


def encode_compact(configuration: Configuration) -> bytes:
    """Returns the canonical encoding of a valid configuration."""
    return encode_sorted(sort_rows(configuration))


def encode_sorted(configuration: Configuration) -> bytes:
    """Returns the canonical encoding of a valid configuration with sorted rows."""
    return msgspec.msgpack.encode(_compact(configuration))


def compute_digest(configuration: Configuration) -> str:
    """Returns the SHA-256 of the canonical encoding in hexadecimal.

    A configuration built in code may have integers where decoding yields floats. It is
    therefore encoded and decoded first, to get the digest that instances compute.
    """
    decoded = decode_configuration(encode_compact(configuration))
    return digest_canonical(encode_compact(decoded))


def digest_canonical(canonical: bytes) -> str:
    """Returns the SHA-256 of a canonical encoding in hexadecimal."""
    return hashlib.sha256(canonical).hexdigest()


def sort_rows(configuration: Configuration) -> Configuration:
    """Returns the configuration with the rows of each table sorted by id.

    The order of rows has no meaning, and sorting gives equal declarations one digest.
    """
    tables = {
        table: tuple(sorted(getattr(configuration, table), key=attrgetter(column)))
        for table, column in ID_COLUMNS.items()
    }
    return msgspec.structs.replace(configuration, **tables)


def _invalid_configuration(value: object, expected: str) -> ExceptionGroup:
    error = InvalidValueError(where="configuration", value=value, expected=expected)
    return ExceptionGroup("invalid configuration", [error])


def _decode(value: bytes) -> Configuration:
    if value.startswith(JSON_FIRST_BYTE):
        return msgspec.json.decode(value, type=Configuration)
    return _expand(msgspec.msgpack.decode(value, type=_CompactConfiguration))


def _compact(configuration: Configuration) -> _CompactConfiguration:
    keys: dict[AccountId, list[_CompactKey]] = {}
    for row in configuration.keys:
        key = _CompactKey(
            key_id=row.key_id,
            salt=bytes.fromhex(row.salt),
            secret_sha256=bytes.fromhex(row.secret_sha256),
        )
        keys.setdefault(row.account, []).append(key)
    accounts = (
        _CompactAccount(
            account=row.account,
            rate_per_s=row.rate_per_s,
            burst=row.burst,
            share=row.share,
            keys=tuple(keys.get(row.account, ())),
            platform_loss=_compact_platform_loss(row),
        )
        for row in configuration.accounts
    )
    return _CompactConfiguration(
        revision=configuration.revision,
        max_instances=configuration.max_instances,
        accounts=tuple(accounts),
        services=configuration.services,
        zones=configuration.zones,
    )


def _compact_platform_loss(row: AccountRow) -> _CompactLoss | None:
    platform_loss = _CompactLoss(
        on_platform_loss=row.on_platform_loss, refuse_after_s=row.refuse_after_s
    )
    return None if platform_loss == _DEFAULT_PLATFORM_LOSS else platform_loss


def _expand_account(row: _CompactAccount) -> AccountRow:
    platform_loss = row.platform_loss or _DEFAULT_PLATFORM_LOSS
    return AccountRow(
        account=row.account,
        rate_per_s=row.rate_per_s,
        burst=row.burst,
        share=row.share,
        on_platform_loss=platform_loss.on_platform_loss,
        refuse_after_s=platform_loss.refuse_after_s,
    )


def _expand(compact: _CompactConfiguration) -> Configuration:
    accounts = (_expand_account(row) for row in compact.accounts)
    keys = (
        KeyRow(
            key_id=key.key_id,
            account=row.account,
            salt=key.salt.hex(),
            secret_sha256=key.secret_sha256.hex(),
        )
        for row in compact.accounts
        for key in row.keys
    )
    return Configuration(
        revision=compact.revision,
        max_instances=compact.max_instances,
        accounts=tuple(accounts),
        services=compact.services,
        zones=compact.zones,
        keys=tuple(keys),
    )
