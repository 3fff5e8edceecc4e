"""Find the organisation that a key belongs to; pure.

Keys are secrets. Only digests of them are held, made with a secret that each process
draws for itself: a digest that leaks tells nothing about the key, and the time that a
look-up takes tells nothing about how much of a key was guessed.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ...platform.models import OrganisationSettings
from .models import Organisation

DIGEST_BYTES: Final = 16
SECRET_BYTES: Final = 32

_SECRET: Final = secrets.token_bytes(SECRET_BYTES)


def digest(key: str) -> bytes:
    """Return what stands for a key in this process."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET).digest()


@dataclass(frozen=True, slots=True)
class KeyTable:
    """Hold the organisations of one version, by name and by the digests of their keys.

    :param in_use: whether callers have to show keys at all.
    """

    in_use: bool = False
    by_name: dict[str, Organisation] = field(default_factory=dict)
    by_digest: dict[bytes, Organisation] = field(default_factory=dict, repr=False)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation of a key, or None if it belongs to none."""
        return self.by_digest.get(digest(key)) if key else None


def build_keys(
    settings: Iterable[OrganisationSettings] | None, in_use: bool = False
) -> KeyTable:
    """Return the table of a version.

    :param settings: None where the version names no organisations at all.
    :param in_use: whether the deployment asks for keys whatever a version says: one
        that left its organisations out would else let everybody in.
    """
    by_name: dict[str, Organisation] = {}
    by_digest: dict[bytes, Organisation] = {}
    for entry in settings or ():
        organisation = Organisation(entry.name, entry.weight, entry.quota)
        by_name[entry.name] = organisation
        for key in entry.keys:
            by_digest[digest(key)] = organisation
    return KeyTable(in_use or settings is not None, by_name, by_digest)
