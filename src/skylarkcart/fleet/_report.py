"""The datagram that instances send to each other."""

from __future__ import annotations

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.types import AccountId, InstanceId, ZoneId


class Report(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An instance's state, as one datagram.

    ``sent_at_ms`` is by the sender's clock. ``echo_ms`` is the ``sent_at_ms`` of the
    receiver's last report that the sender got: the report was made after that moment
    of the receiver's clock, which bounds its age without comparing clocks.
    ``confirmed_age_ms`` is the age of the sender's published state at ``revision``,
    negative if it has none. ``reaches_store`` is False if the sender's last call to the
    store failed. ``known_hosts`` are addresses of other instances.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    host: str
    sequence: int
    sent_at_ms: float
    echo_ms: float
    revision: int
    confirmed_age_ms: float
    is_leaving: bool
    reaches_store: bool
    spent: dict[AccountId, int]
    known_hosts: tuple[str, ...] = ()


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
