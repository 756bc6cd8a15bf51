"""Structured logging: each line has an event name and its fields."""

from __future__ import annotations

from absl import logging


def log_event(event: str, **fields: object) -> None:
    """Logs an event at level info.

    >>> log_event("config_adopted", revision=7)
    """
    if logging.level_info():
        logging.info("%s", _format(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Logs an event at level warning, as an operator may need to act on it."""
    logging.warning("%s", _format(event, fields))


def _format(event: str, fields: dict[str, object]) -> str:
    parts = [f"event={event}"]
    parts.extend(f"{name}={value!r}" for name, value in fields.items())
    return " ".join(parts)
