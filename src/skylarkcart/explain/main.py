"""``skylarkcart-explain ID FILE...`` prints what happened to a request.

The files contain the standard output of instances, in any order. Exit codes: 0 if lines
of the request were found, 1 if there are none, 2 if the arguments are incomplete or a
file can't be read.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl import app

from skylarkcart.explain._timeline import LogLine, build_timeline, read_lines

EXIT_NOT_FOUND = 1
EXIT_INVALID = 2


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) < 3:
        print("expected a request id and at least one log file", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    request, paths = arguments[1], arguments[2:]
    lines: list[LogLine] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines.extend(read_lines(file))
        except OSError as error:
            print(f"{path}: {error.strerror}, expected a log file", file=sys.stderr)
            sys.exit(EXIT_INVALID)
    timeline = build_timeline(request, lines)
    if timeline is None:
        print(f"no log line belongs to request {request!r}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    print(timeline.render())


if __name__ == "__main__":
    run()
