"""The configuration in force, whose version does not decrease when an era begins."""

from __future__ import annotations

from collections.abc import Callable

from skylarkcart.clock import Millis
from skylarkcart.published import Configuration
from skylarkcart.registry._messages import KeptConfiguration, RegistryEvent


class ConfigurationInForce:
    """The configuration in force, and what the store holds if that is a lower version.

    When the store is restored from a copy, it may hold a lower version than the one in
    force. That one is kept until the operators have written an equal or a higher
    version, and the lower one is set aside. ``revision`` is the one of the stored
    configuration, or 0 if the store holds none.
    """

    def __init__(self, *, on_event: Callable[[RegistryEvent], None]) -> None:
        self._event_handler = on_event
        self.current: Configuration | None = None
        self.revision = 0
        self._set_aside: Configuration | None = None
        # None if the current configuration is of the store's current era.
        self._kept_until: Millis | None = None

    @property
    def stored(self) -> Configuration | None:
        """The configuration that the store holds."""
        return self.current if self._kept_until is None else self._set_aside

    def begin_era(self, kept_until: Millis) -> None:
        """Keeps the current configuration until a time, as the store may hold less."""
        self.revision = 0
        self._set_aside = None
        if self.current is not None:
            self._kept_until = kept_until

    def offer(
        self, configuration: Configuration, *, revision: int, now: Millis
    ) -> None:
        """Takes a configuration from the store and puts it in force if it may be."""
        self.revision = revision
        current = self.current
        if current is None:
            self._put_in_force(configuration)
        elif self._kept_until is None:
            if configuration.version > current.version:
                self._put_in_force(configuration)
        elif configuration == current:
            self._kept_until = self._set_aside = None
            self._emit_event("configuration_written_again", current.version, "")
        elif configuration.version >= current.version or now >= self._kept_until:
            self._put_in_force(configuration)
        else:
            self._set_configuration_aside(configuration, now)

    def keep(self, configuration: Configuration, until: Millis) -> None:
        """Puts a configuration in force that a peer keeps from an earlier era."""
        current = self.current
        if current is not None and configuration.version <= current.version:
            return
        stored = self.stored
        self._put_in_force(configuration)
        self._set_aside, self._kept_until = stored, until

    def remove_expired(self, now: Millis) -> bool:
        """Puts the stored configuration in force when the bound has passed."""
        if self._kept_until is None or now < self._kept_until:
            return False
        if self._set_aside is None:
            # Without a configuration, the current one stays in force.
            return False
        self._put_in_force(self._set_aside)
        return True

    def get_kept(self, now: Millis) -> KeptConfiguration | None:
        """Returns the configuration that is kept from an earlier era, if any."""
        if self.current is None or self._kept_until is None or now >= self._kept_until:
            return None
        return KeptConfiguration(
            configuration=self.current, left_ms=self._kept_until - now
        )

    def _put_in_force(self, configuration: Configuration) -> None:
        previous = "none" if self.current is None else str(self.current.version)
        self.current = configuration
        self._set_aside = self._kept_until = None
        self._emit_event(
            "configuration_adopted", configuration.version, f"after {previous}"
        )

    def _set_configuration_aside(
        self, configuration: Configuration, now: Millis
    ) -> None:
        known = self._set_aside
        if known is not None and configuration.version <= known.version:
            return
        self._set_aside = configuration
        self._emit_event(
            "configuration_set_aside",
            configuration.version,
            f"version {self.current.version} of an earlier era stays in force for "
            f"{self._kept_until - now:.0f} ms unless it is written again",
        )

    def _emit_event(self, name: str, version: int, detail: str) -> None:
        self._event_handler(
            RegistryEvent(name=name, subject=str(version), detail=detail)
        )
