"""``skylarkcart-explain ID FILE...`` prints what happened to a request.

The files hold the standard output of instances, in any order. Exit codes: 0 if lines of
the request were found, 1 if there are none, 2 if a file can't be read.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl import app

from skylarkcart.explain._story import LogLine, find_story, read_lines

EXIT_NOT_FOUND = 1
EXIT_INVALID = 2


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) < 3:
        print("expected a request id and log files", file=sys.stderr)
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
    story = find_story(request, lines)
    if story is None:
        print(f"no line names request {request!r}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    print(story.render())


if __name__ == "__main__":
    run()
