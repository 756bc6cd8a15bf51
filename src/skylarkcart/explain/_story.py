"""Collects the lines of a request, and what its instance believed at that time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

# Events before a request that may explain it, at the same instance.
CONTEXT_MS = 5_000.0

# They tell what the instance believed; each request has its own lines besides.
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

_COMMON_FIELDS = ("at_ms", "event", "level", "instance", "request")


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One structured line; ``at_ms`` is by the clock of its instance."""

    at_ms: float
    event: str
    instance: str
    request: str | None
    fields: dict[str, object]

    def render(self, origin_ms: float) -> str:
        facts = " ".join(f"{name}={value!r}" for name, value in self.fields.items())
        return f"{self.at_ms - origin_ms:+9.1f} ms {self.instance} {self.event} {facts}"


class Story(msgspec.Struct, frozen=True, kw_only=True):
    """The lines of a request by instance, each with the events before it."""

    request: str
    lines: tuple[LogLine, ...]

    def render(self) -> str:
        """Returns the lines in order; times count from the end of the request.

        Clocks of instances are not compared, so that each instance has its own origin.
        """
        blocks = []
        for instance in sorted({line.instance for line in self.lines}):
            lines = [line for line in self.lines if line.instance == instance]
            own = [line for line in lines if line.request == self.request]
            origin_ms = own[-1].at_ms
            blocks.extend(line.render(origin_ms) for line in lines)
        return "\n".join(blocks)


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Reads structured lines and passes over all others.

    Text before the first brace of a line is ignored, as collectors put names and times
    there.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, object])
        except msgspec.DecodeError:
            # Lines of other programs and lines cut at the end of a file.
            continue
        if isinstance(fields.get("at_ms"), (int, float)) and "event" in fields:
            yield LogLine(
                at_ms=float(fields["at_ms"]),
                event=str(fields["event"]),
                instance=str(fields.get("instance", "")),
                request=fields.get("request"),
                fields={k: v for k, v in fields.items() if k not in _COMMON_FIELDS},
            )


def find_story(request: str, lines: Iterable[LogLine]) -> Story | None:
    """Returns what is known of a request, or None if no line names it."""
    by_instance: dict[str, list[LogLine]] = {}
    for line in lines:
        by_instance.setdefault(line.instance, []).append(line)
    found: list[LogLine] = []
    for instance_lines in by_instance.values():
        own = [line for line in instance_lines if line.request == request]
        if not own:
            continue
        first, last = own[0].at_ms, own[-1].at_ms
        found.extend(
            line
            for line in instance_lines
            if line.request == request
            or (
                line.event in CONTEXT_EVENTS
                and first - CONTEXT_MS <= line.at_ms <= last
            )
        )
    return Story(request=request, lines=tuple(found)) if found else None
