"""Datagrams by which a large fleet adds up the extra calls of each service."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.types import InstanceId, ServiceId, ZoneId

# The first byte of these datagrams. No other datagram between instances starts with it.
USAGE_PREFIX = b"\x01"

# The first byte of a zlib stream with the default window.
_COMPRESSED_START = b"\x78"
_COMPRESSION_LEVEL = 1

# A datagram holds less than 64 KiB.
_MAX_BYTES = 65_536

# Sums of counts up to this bound still fit in a signed 64-bit integer.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]

# Services are named by a hash of this many bits, as names would take most of a message.
# Services with the same hash share one budget, which is then the smaller one.
SERVICE_HASH_BITS = 16


class ServiceUsage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Requests and extra calls of one service in the current budget window."""

    service_hash: Count
    requests: Count
    extra_calls: Count


class InstanceUsage(msgspec.Struct, frozen=True, array_like=True, tag=0, kw_only=True):
    """What one instance has counted, sent to the collectors of its zone.

    ``sequence`` increases with each message of an incarnation.
    """

    instance: InstanceId
    incarnation: int
    sequence: int
    services: tuple[ServiceUsage, ...]


class ZoneUsage(msgspec.Struct, frozen=True, array_like=True, tag=1, kw_only=True):
    """The sums of one zone, sent to the collectors of the other zones.

    ``settled_instances`` is the number of instances of the zone that are heard and have
    run for at least a budget window.
    """

    collector: InstanceId
    zone: ZoneId
    settled_instances: Count
    services: tuple[ServiceUsage, ...]


class FleetUsage(msgspec.Struct, frozen=True, array_like=True, tag=2, kw_only=True):
    """The sums of all zones that are heard, sent to the instances of a zone.

    ``included_sequence`` is the ``sequence`` of the receiver's latest message that is
    included, negative if there is none.
    """

    collector: InstanceId
    included_sequence: int
    settled_instances: Count
    services: tuple[ServiceUsage, ...]


UsageMessage = InstanceUsage | ZoneUsage | FleetUsage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(UsageMessage)


def hash_service(service: ServiceId) -> int:
    """Returns the short hash that names a service in usage messages."""
    return zlib.crc32(service.encode()) % 2**SERVICE_HASH_BITS


def encode_usage(message: UsageMessage, *, compresses: bool = False) -> bytes:
    """Encodes a datagram; those to other zones are compressed."""
    data = _ENCODER.encode(message)
    if compresses:
        data = zlib.compress(data, _COMPRESSION_LEVEL)
    return USAGE_PREFIX + data


def decode_usage(datagram: bytes) -> UsageMessage:
    """Decodes a datagram that starts with `USAGE_PREFIX`.

    Raises:
        InvalidValueError: it is not a usage message.
    """
    data = datagram[len(USAGE_PREFIX) :]
    try:
        if data[:1] == _COMPRESSED_START:
            data = zlib.decompressobj().decompress(data, _MAX_BYTES)
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, zlib.error) as error:
        raise InvalidValueError(
            where="usage", value=data[:40], expected=f"a usage message: {error}"
        ) from error
