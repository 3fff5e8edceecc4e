"""Authenticate operators."""

from __future__ import annotations

import hmac
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from ...exceptions import SettingsError
from .problems import TokenInvalidError

_ACTOR: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,63}")
_SCHEME: Final = "Bearer "
MIN_TOKEN_LENGTH: Final = 16

DEFAULT_ACTOR: Final = "operator"


class TokenCheck:
    """Compare a request's bearer token with the configured one.

    :param token: the expected token; ``None`` accepts every request.
    """

    def __init__(self, token: str | None) -> None:
        self._token = None if token is None else token.encode()

    def check(self, headers: Mapping[str, str]) -> None:
        """Check the token of a request.

        :raises TokenInvalidError: if the token is missing or wrong.
        """
        if self._token is None:
            return
        given = headers.get("authorization", "")
        if not given.startswith(_SCHEME):
            raise TokenInvalidError("a bearer token is expected")
        # An ordinary comparison ends at the first difference, so its duration would
        # reveal the token character by character.
        if not hmac.compare_digest(given[len(_SCHEME) :].encode(), self._token):
            raise TokenInvalidError("the token is wrong")


def read_token(path: Path | None) -> str | None:
    """Return the token in a file, or ``None`` if no file is given.

    :raises SettingsError: if the file can't be read or its token is too short.
    """
    if path is None:
        return None
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"operators.token_file: {error}") from error
    if len(token) < MIN_TOKEN_LENGTH:
        raise SettingsError(
            f"operators.token_file: at least {MIN_TOKEN_LENGTH} characters"
        )
    return token


def read_actor(headers: Mapping[str, str]) -> str:
    """Return the actor to name in records; the default if missing or invalid."""
    actor = headers.get("mw-actor", DEFAULT_ACTOR)
    return actor if _ACTOR.fullmatch(actor) else DEFAULT_ACTOR
