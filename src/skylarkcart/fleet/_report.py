"""The report datagram that instances exchange."""

from __future__ import annotations

import math
import zlib
from typing import Annotated

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.types import (
    MAX_NUMBER,
    NO_ERA,
    AccountId,
    Count,
    Era,
    InstanceId,
    SlowCall,
    Spending,
    StatePosition,
    ZoneId,
)

# Older descriptions of members are not useful: members are removed sooner.
MAX_AGE_MS = 600_000.0

UNKNOWN_RATE = -1.0

UNKNOWN_DIGEST = -1

_NOT_EMPTY = msgspec.Meta(min_length=1)


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An instance's description of itself, made ``age_ms`` before the report was sent.

    ``sequence`` increases with each description of an incarnation. ``reaches_store`` is
    False if its last call to the store failed. ``lost_zones`` are the zones whose
    upstreams it can't reach. ``requests_per_s`` is its recent rate of requests,
    negative if it has not counted them for long enough. ``era`` is the one of
    ``revision``; an instance that doesn't state it, or knows none, precedes all eras.
    ``kept_digest`` is the digest of what it keeps from earlier eras, 0 for nothing; an
    older build does not state it. With ``has_surveyed``, it also knows what its peers
    keep.
    """

    instance: Annotated[InstanceId, _NOT_EMPTY]
    zone: Annotated[ZoneId, _NOT_EMPTY]
    incarnation: Count
    host: Annotated[str, _NOT_EMPTY]
    sequence: Count
    age_ms: float
    revision: Count
    is_leaving: bool
    reaches_store: bool
    spending: dict[AccountId, Spending]
    slow_calls: tuple[SlowCall, ...] = ()
    lost_zones: tuple[ZoneId, ...] = ()
    requests_per_s: Annotated[float, msgspec.Meta(ge=UNKNOWN_RATE, le=MAX_NUMBER)] = (
        UNKNOWN_RATE
    )
    era: Annotated[Era, msgspec.Meta(ge=NO_ERA, le=2**63 - 1)] = NO_ERA
    kept_digest: Annotated[int, msgspec.Meta(ge=UNKNOWN_DIGEST, le=2**63 - 1)] = (
        UNKNOWN_DIGEST
    )
    has_surveyed: bool = False

    @property
    def position(self) -> StatePosition:
        return StatePosition(self.era, self.revision)

    @property
    def states_kept(self) -> bool:
        """Whether its build states what it keeps from earlier eras."""
        return self.kept_digest != UNKNOWN_DIGEST


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The sender's description of itself and of other members that it knows.

    ``sent_at_ms`` is in the sender's clock. ``echo_ms`` is the ``sent_at_ms`` of the
    latest report that the sender got from the receiver, negative if there is none. As
    the report was made after that time, ``echo_ms`` limits its age in the receiver's
    clock: clocks are not compared, and time spent in a socket buffer counts.
    ``confirmed_age_ms`` is the age of the sender's published state, negative if it has
    none.
    """

    sender: Member
    sent_at_ms: float
    echo_ms: float
    confirmed_age_ms: float
    wants_reply: bool
    others: tuple[Member, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Report)


# The first byte of a zlib stream with the default window. A report in MessagePack
# starts with an array.
_COMPRESSED_START = b"\x78"
_COMPRESSION_LEVEL = 1

# Largest decompressed report; a datagram holds less than 64 KiB.
_MAX_REPORT_BYTES = 65_536


def encode_report(report: Report, *, compresses: bool = False) -> bytes:
    """Encodes a datagram.

    Reports to other zones are compressed, as traffic between zones is expensive.
    """
    data = _ENCODER.encode(report)
    return zlib.compress(data, _COMPRESSION_LEVEL) if compresses else data


def decode_report(data: bytes) -> Report:
    """Decodes a datagram.

    Raises:
        InvalidValueError: it is not a report.
    """
    try:
        report = _DECODER.decode(_decompress(data))
    except (msgspec.DecodeError, UnicodeDecodeError, zlib.error) as error:
        raise InvalidValueError(
            where="report", value=data[:40], expected=f"a report: {error}"
        ) from error
    _check_numbers("report", report.sent_at_ms, report.echo_ms)
    _check_numbers("confirmed age", report.confirmed_age_ms)
    for member in (report.sender, *report.others):
        _check_member(member)
    return report


def _decompress(data: bytes) -> bytes:
    if data[:1] != _COMPRESSED_START:
        return data
    return zlib.decompressobj().decompress(data, _MAX_REPORT_BYTES)


def _check_member(member: Member) -> None:
    if not 0 <= member.age_ms <= MAX_AGE_MS:
        raise InvalidValueError(
            where="age", value=member.age_ms, expected=f"from 0 to {MAX_AGE_MS}"
        )
    for spent in member.spending.values():
        if spent.earlier > spent.total:
            raise InvalidValueError(
                where="earlier spending", value=spent.earlier, expected=spent.total
            )


def _check_numbers(where: str, *values: float) -> None:
    if not all(map(math.isfinite, values)):
        raise InvalidValueError(where=where, value=values, expected="finite numbers")
