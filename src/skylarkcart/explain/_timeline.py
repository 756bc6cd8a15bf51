"""Collects the log lines of a request and the earlier events of its instances."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from skylarkcart.explain._room import explain_room

# Events of the same instance are included from this time before a request.
CONTEXT_MS = 5_000.0

# Events that show the state of the instance, besides the lines of the request itself.
CONTEXT_EVENTS = frozenset(
    (
        "configuration_adopted",
        "lines_omitted",
        "peer_found",
        "peer_lost",
        "readiness_changed",
        "settings_reloaded",
        "started",
        "draining",
        "state_fetched",
        "store_lost",
        "store_regained",
        "store_history_lost",
        "upstream_entry",
        "upstream_gone",
        "upstream_lapsed",
        "zone_closed",
        "zone_reopened",
    )
)

REASON_INDENT = " " * 13

_COMMON_FIELDS = ("at_ms", "event", "level", "instance", "request")


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One structured log line; ``at_ms`` is a time of its instance's clock."""

    at_ms: float
    event: str
    instance: str
    request: str | None
    fields: dict[str, object]

    def render(self, origin_ms: float) -> str:
        values = " ".join(f"{name}={value!r}" for name, value in self.fields.items())
        rendered = (
            f"{self.at_ms - origin_ms:+9.1f} ms {self.instance} {self.event} {values}"
        )
        reason = explain_room(self.fields)
        return rendered if reason is None else f"{rendered}\n{REASON_INDENT}{reason}"


class RequestTimeline(msgspec.Struct, frozen=True, kw_only=True):
    """The log lines of a request and the events before it, grouped by instance."""

    request: str
    lines: tuple[LogLine, ...]

    def render(self) -> str:
        """Returns the lines in order, with times relative to the request's last line.

        Each instance has its own origin, as the clocks of instances can't be compared.
        """
        rendered = []
        for instance in sorted({line.instance for line in self.lines}):
            lines = [line for line in self.lines if line.instance == instance]
            request_lines = [line for line in lines if line.request == self.request]
            origin_ms = request_lines[-1].at_ms
            rendered.extend(line.render(origin_ms) for line in lines)
        return "\n".join(rendered)


def read_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the structured log lines and skips all others.

    Text before the first brace of a line is ignored, as log collectors add prefixes
    such as names and times.
    """
    for text in raw_lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, object])
        except msgspec.DecodeError:
            # A line of another program, or a line truncated at the end of a file.
            continue
        if isinstance(fields.get("at_ms"), (int, float)) and "event" in fields:
            yield LogLine(
                at_ms=float(fields["at_ms"]),
                event=str(fields["event"]),
                instance=str(fields.get("instance", "")),
                request=fields.get("request"),
                fields={k: v for k, v in fields.items() if k not in _COMMON_FIELDS},
            )


def build_timeline(request: str, lines: Iterable[LogLine]) -> RequestTimeline | None:
    """Returns the timeline of a request, or None if no line belongs to it."""
    by_instance: dict[str, list[LogLine]] = {}
    for line in lines:
        by_instance.setdefault(line.instance, []).append(line)
    found: list[LogLine] = []
    for instance_lines in by_instance.values():
        request_lines = [line for line in instance_lines if line.request == request]
        if not request_lines:
            continue
        first, last = request_lines[0].at_ms, request_lines[-1].at_ms
        found.extend(
            line
            for line in instance_lines
            if line.request == request
            or (
                line.event in CONTEXT_EVENTS
                and first - CONTEXT_MS <= line.at_ms <= last
            )
        )
    return RequestTimeline(request=request, lines=tuple(found)) if found else None
