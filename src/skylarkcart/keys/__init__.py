"""Keys of client accounts: authentication, revocation, and loss of the platform."""

from __future__ import annotations

from skylarkcart.keys._contact import ContactHeartbeat, PlatformContact
from skylarkcart.keys._directory import Authenticated, KeyDirectory, hash_secret

__all__ = [
    "Authenticated",
    "ContactHeartbeat",
    "KeyDirectory",
    "PlatformContact",
    "hash_secret",
]
