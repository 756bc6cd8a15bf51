"""The report datagram that instances exchange."""

from __future__ import annotations

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.types import AccountId, InstanceId, SlowCall, Spending, ZoneId


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An instance's description of itself, made ``age_ms`` before the report was sent.

    ``sequence`` increases with each description of an incarnation. ``reaches_store`` is
    False if its last call to the store failed. ``lost_zones`` are the zones whose
    upstreams it can't reach.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    host: str
    sequence: int
    age_ms: float
    revision: int
    is_leaving: bool
    reaches_store: bool
    spending: dict[AccountId, Spending]
    slow_calls: tuple[SlowCall, ...] = ()
    lost_zones: tuple[ZoneId, ...] = ()


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


def encode_report(report: Report) -> bytes:
    return _ENCODER.encode(report)


def decode_report(data: bytes) -> Report:
    """Decodes a datagram.

    Raises:
        InvalidValueError: it is not a report.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidValueError(
            where="report", value=data[:40], expected=f"a report: {error}"
        ) from error
