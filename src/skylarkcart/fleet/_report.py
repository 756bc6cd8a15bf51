"""The datagram that instances send to each other."""

from __future__ import annotations

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.types import AccountId, InstanceId, SlowCall, Spending, ZoneId


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An instance as it described itself ``age_ms`` before the report was sent.

    ``sequence`` grows with each description within an incarnation. ``reaches_store`` is
    False if its last call to the store failed. ``lost_zones`` are those whose upstreams
    it can't reach.
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
    """A sender's description of itself and of others that it heard of.

    ``sent_at_ms`` is by the sender's clock. ``echo_ms`` is the ``sent_at_ms`` of the
    receiver's last report that the sender got, negative if none: the report was made
    after that moment of the receiver's clock, which bounds its age without comparing
    clocks, also if it waited in a socket. ``confirmed_age_ms`` is the age of the
    sender's published state, negative if it has none.
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
