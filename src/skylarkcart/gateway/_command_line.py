"""The gateway's command line."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from skylarkcart.errors import InvalidValueError


class CommandLine(msgspec.Struct, frozen=True, kw_only=True):
    """What the arguments ask for; without any, the platform names the settings."""

    settings_path: str | None = None
    only_checks: bool = False
    spreads_calls: bool = False


def parse_command_line(words: Sequence[str]) -> CommandLine:
    """Parses the program's name and its arguments.

    >>> parse_command_line(["skylarkcart-gateway", "--check"]).only_checks
    True

    Raises:
        InvalidValueError: a flag is unknown, or a word is no flag.
    """
    if len(words) == 1:
        return CommandLine()
    # Imported only for arguments, as it takes 1.5 MB of memory and the platform starts
    # processes without any.
    from absl import flags

    values = flags.FlagValues()
    settings = flags.DEFINE_string(
        "settings",
        None,
        "Path of the platform's settings file.",
        flag_values=values,
    )
    check = flags.DEFINE_bool(
        "check", False, "Only check the settings file.", flag_values=values
    )
    spread = flags.DEFINE_bool(
        "spread-calls",
        False,
        "Choose among busy upstreams that state a work factor by draws of their load.",
        flag_values=values,
    )
    try:
        rest = values(list(words))
    except flags.Error as error:
        raise InvalidValueError(
            where="command line", value=words[1:], expected=f"known flags: {error}"
        ) from error
    if len(rest) > 1:
        raise InvalidValueError(
            where="command line", value=rest[1], expected="only flags"
        )
    return CommandLine(
        settings_path=settings.value,
        only_checks=check.value,
        spreads_calls=spread.value,
    )
