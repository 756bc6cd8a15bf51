"""Settings of an entry instance, read from a TOML file and validated."""

from __future__ import annotations

import enum
import pathlib
import re

import msgspec

from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.types import InstanceId, ZoneId

MIN_SECRET_CHARACTERS = 32
MAX_PORT = 65535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_ADDRESS = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")


class TraceExporter(enum.Enum):
    """Destination of trace spans."""

    NONE = "none"
    CONSOLE = "console"


class LogLevel(enum.Enum):
    """Minimum severity of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Start-up settings of an entry instance.

    Addresses have the form ``a.b.c.d:port``; port 0 selects a free port. Durations are
    in milliseconds.

    Args:
        seeds: peer addresses to contact if the platform is unreachable at the start.
        incarnation: the unique id of this process in the platform's instance list; a
            random one is used if it is empty.
        alone_after_ms: time after which an instance that hears from none of the listed
            peers relies on the configuration that it read from the platform. Otherwise
            a zone could not resume service after the failure of all its peers.
        linger_ms: minimum time between the start of draining and the stop.
        quiet_ms: time without a new request that is required before the stop.
    """

    instance: InstanceId
    zone: ZoneId
    address: str
    peer_address: str
    platform_url: str
    fleet_secret: str
    seeds: tuple[str, ...] = ()
    incarnation: str = ""
    alone_after_ms: float = 10_000.0
    log_level: LogLevel = LogLevel.INFO
    trace_exporter: TraceExporter = TraceExporter.NONE
    linger_ms: float = 5_000.0
    quiet_ms: float = 1_000.0

    def __repr__(self) -> str:
        return f"Settings(instance={self.instance!r}, zone={self.zone!r})"


def read_settings(path: pathlib.Path) -> Settings:
    """Reads a settings file.

    Raises:
        InvalidValueError: the file can't be read, is not valid TOML, has an unknown or
            missing field, or a field with a wrong type or a single invalid value.
        ExceptionGroup: several values are invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise InvalidValueError(
            where="settings file",
            value=str(path),
            expected=f"a readable file ({error.strerror})",
        ) from error
    try:
        settings = msgspec.toml.decode(data, type=Settings)
    except DECODING_ERRORS as error:
        raise InvalidValueError(
            where=str(path),
            value=_build_excerpt(data),
            expected=f"valid settings: {error}",
        ) from error
    check_settings(settings)
    return settings


def check_settings(settings: Settings) -> None:
    """Validates what the field types can't express.

    Raises:
        InvalidValueError: one value is invalid.
        ExceptionGroup: several values are invalid; it has an error for each.
    """
    errors = [
        *_check_name("instance", settings.instance),
        *_check_name("zone", settings.zone),
        *_check_address("address", settings.address),
        *_check_address("peer_address", settings.peer_address),
        *_check_url(settings.platform_url),
        *_check_secret(settings.fleet_secret),
        *_check_duration("linger_ms", settings.linger_ms),
        *_check_duration("quiet_ms", settings.quiet_ms),
        *_check_duration("alone_after_ms", settings.alone_after_ms),
    ]
    for seed in settings.seeds:
        errors.extend(_check_address("seeds", seed))
    if len(errors) == 1:
        raise errors[0]
    if errors:
        raise ExceptionGroup("settings are not valid", errors)


def _check_name(where: str, value: str) -> list[InvalidValueError]:
    if _NAME.fullmatch(value):
        return []
    expected = "1 to 63 letters, digits, dots, dashes or underscores"
    return [InvalidValueError(where=where, value=value, expected=expected)]


def _check_address(where: str, value: str) -> list[InvalidValueError]:
    if _ADDRESS.fullmatch(value):
        host, _, port = value.rpartition(":")
        octets_valid = all(int(octet) <= 255 for octet in host.split("."))
        if octets_valid and int(port) <= MAX_PORT:
            return []
    expected = "an IPv4 address and port such as 10.0.0.1:8080"
    return [InvalidValueError(where=where, value=value, expected=expected)]


def _check_url(value: str) -> list[InvalidValueError]:
    if re.fullmatch(r"https?://[^\s/]+/?", value):
        return []
    expected = "a URL such as http://10.0.0.9:8500"
    return [InvalidValueError(where="platform_url", value=value, expected=expected)]


def _check_secret(value: str) -> list[InvalidValueError]:
    if len(value) >= MIN_SECRET_CHARACTERS:
        return []
    expected = f"at least {MIN_SECRET_CHARACTERS} characters"
    return [
        InvalidValueError(
            where="fleet_secret", value=f"{len(value)} characters", expected=expected
        )
    ]


def _check_duration(where: str, value: float) -> list[InvalidValueError]:
    if 0 <= value < float("inf"):
        return []
    expected = "a finite number of milliseconds, zero or more"
    return [InvalidValueError(where=where, value=value, expected=expected)]


def _build_excerpt(data: bytes) -> str:
    # Error messages must not reveal the fleet secret.
    lines = [line for line in data.splitlines() if b"secret" not in line]
    return b"\n".join(lines)[:120].decode("utf-8", "replace")
