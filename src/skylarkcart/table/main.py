"""Checks, explains and encodes the operators' declarations, without publishing them.

Usage: skylarkcart-table COMMAND [ARGUMENTS] [FLAGS]

  check DIR                  report every error in the declarations in DIR
  explain DIR                describe what the declarations mean for the fleet
  diff OLD NEW               describe the changes and their effect on the fleet
  encode DIR --output FILE   write the value to publish
  new-key ACCOUNT            create a key; print it once, with its row for keys.csv

DIR holds accounts.csv, services.csv, zones.csv, keys.csv and fleet.toml. OLD and NEW
are such directories or files written by encode.

Exit codes: 0 done; 1 errors in the declarations, a difference that no instance would
adopt, or a file that cannot be read or written; 2 invalid usage.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from absl import flags

from skylarkcart.config import (
    MAX_VALUE_BYTES,
    decode_configuration,
    describe_difference,
    encode_compact,
    encode_rows,
    read_declarations,
)
from skylarkcart.declarations import Configuration
from skylarkcart.table._explain import explain
from skylarkcart.table._new_key import create_key

PROGRAM = "skylarkcart-table"
EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class UsageError(Exception):
    """The command line is invalid."""


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A command: its function and the names of its arguments."""

    run: Callable[..., int]
    arguments: tuple[str, ...]


def run() -> None:
    """Runs the tool on ``sys.argv`` and exits with its exit code."""
    sys.exit(main(sys.argv))


def main(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code.

    The first item of ``argv`` is the name of the program.
    """
    flag_values = _define_flags()
    try:
        _, *arguments = flag_values(list(argv))
        if flag_values.help:
            print(f"{__doc__}\nFlags:{flag_values.module_help(PROGRAM)}")
            return EXIT_SUCCESS
        return _dispatch_command(arguments, flag_values)
    except (flags.Error, UsageError) as error:
        print(f"{error}\nTry: {PROGRAM} --help", file=sys.stderr)
        return EXIT_USAGE
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        print(f"{len(group.exceptions)} errors", file=sys.stderr)
        return EXIT_FAILURE
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILURE


def _define_flags() -> flags.FlagValues:
    flag_values = flags.FlagValues()
    options = {"flag_values": flag_values, "module_name": PROGRAM}
    flags.DEFINE_boolean("help", False, "Show this help.", **options)
    flags.DEFINE_string("output", None, "The file that encode writes.", **options)
    return flag_values


def _dispatch_command(arguments: list[str], flag_values: flags.FlagValues) -> int:
    name, *operands = arguments or [""]
    command = _COMMANDS.get(name)
    if command is None:
        expected = ", ".join(_COMMANDS)
        raise UsageError(f"got command {name!r}, expected one of {expected}")
    if len(operands) != len(command.arguments):
        expected = " ".join(command.arguments)
        raise UsageError(f"{name}: got {len(operands)} arguments, expected {expected}")
    if (flag_values.output is not None) != (name == "encode"):
        raise UsageError("--output FILE belongs to encode and is required there")
    output = [flag_values.output] if flag_values.output is not None else []
    return command.run(*operands, *output)


def _check(directory: str) -> int:
    configuration = read_declarations(Path(directory))
    print(
        f"revision {configuration.revision}: {len(configuration.accounts)} accounts, "
        f"{len(configuration.services)} services, {len(configuration.zones)} zones, "
        f"{len(configuration.keys)} keys, no errors"
    )
    return EXIT_SUCCESS


def _explain(directory: str) -> int:
    for line in explain(read_declarations(Path(directory))):
        print(line)
    return EXIT_SUCCESS


def _diff(old: str, new: str) -> int:
    before, after = _load(Path(old)), _load(Path(new))
    differences = describe_difference(before, after)
    for difference in differences:
        print(difference)
    if not differences:
        print("no differences")
    is_ignored_by_instances = differences and after.revision <= before.revision
    return EXIT_FAILURE if is_ignored_by_instances else EXIT_SUCCESS


def _load(path: Path) -> Configuration:
    if path.is_dir():
        return read_declarations(path)
    return decode_configuration(path.read_bytes())


def _encode(directory: str, output: str) -> int:
    configuration = read_declarations(Path(directory))
    value, encoding = encode_rows(configuration), "JSON rows"
    if len(value) > MAX_VALUE_BYTES:
        print(
            f"JSON rows take {len(value)} bytes, more than {MAX_VALUE_BYTES}; "
            "using the compact form"
        )
        value, encoding = encode_compact(configuration), "compact form"
    if len(value) > MAX_VALUE_BYTES:
        print(
            f"the compact form takes {len(value)} bytes, "
            f"expected at most {MAX_VALUE_BYTES}",
            file=sys.stderr,
        )
        return EXIT_FAILURE
    Path(output).write_bytes(value)
    print(f"revision {configuration.revision}: {len(value)} bytes, {encoding}")
    return EXIT_SUCCESS


def _new_key(account: str) -> int:
    key = create_key(account)
    print(f"key (shown only once): {key.token}")
    print(f"row for keys.csv: {key.csv_row}")
    return EXIT_SUCCESS


_COMMANDS = {
    "check": Command(run=_check, arguments=("DIR",)),
    "explain": Command(run=_explain, arguments=("DIR",)),
    "diff": Command(run=_diff, arguments=("OLD", "NEW")),
    "encode": Command(run=_encode, arguments=("DIR",)),
    "new-key": Command(run=_new_key, arguments=("ACCOUNT",)),
}


if __name__ == "__main__":
    run()
