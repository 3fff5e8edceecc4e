"""Look up the organisation that owns an API key; pure.

API keys are secrets. Only keyed digests of them are held, under a random secret of each
process: a leaked digest reveals nothing about the key, and the duration of a lookup
reveals nothing about how much of a guessed key is right.
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


def key_digest(key: str) -> bytes:
    """Return the digest of an API key, which is valid in this process only."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET).digest()


@dataclass(frozen=True, slots=True)
class ApiKeyTable:
    """Hold the organisations of one configuration version, by name and by key digest.

    :param required: whether callers of queues that aren't public need an API key.
    """

    required: bool = False
    by_name: dict[str, Organisation] = field(default_factory=dict)
    by_digest: dict[bytes, Organisation] = field(default_factory=dict, repr=False)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that owns a key, or None if there is none."""
        return self.by_digest.get(key_digest(key)) if key else None


def build_api_keys(
    settings: Iterable[OrganisationSettings] | None, required: bool = False
) -> ApiKeyTable:
    """Return the API keys of a configuration version.

    :param settings: None if the version has no section for organisations.
    :param required: whether the deployment requires keys regardless of the version.
        Without it, a version that omits its organisations would admit every caller.
    """
    by_name: dict[str, Organisation] = {}
    by_digest: dict[bytes, Organisation] = {}
    for entry in settings or ():
        organisation = Organisation(entry.name, entry.weight, entry.quota)
        by_name[entry.name] = organisation
        for key in entry.keys:
            by_digest[key_digest(key)] = organisation
    return ApiKeyTable(required or settings is not None, by_name, by_digest)
