"""Let only operators in."""

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
MINIMUM_TOKEN_LENGTH: Final = 16

DEFAULT_ACTOR: Final = "operator"


class TokenCheck:
    """Compare a call's bearer token with the one from a file.

    :param token: the token; nothing lets every call in.
    """

    def __init__(self, token: str | None) -> None:
        self._token = None if token is None else token.encode()

    def check(self, headers: Mapping[str, str]) -> None:
        """Return if the call may go on.

        :raises TokenInvalidError: if its token is missing or wrong.
        """
        if self._token is None:
            return
        given = headers.get("authorization", "")
        if not given.startswith(_SCHEME):
            raise TokenInvalidError("a bearer token is expected")
        # An ordinary comparison ends at the first difference, and its time would
        # give the token away, a character at a time.
        if not hmac.compare_digest(given[len(_SCHEME) :].encode(), self._token):
            raise TokenInvalidError("the token is wrong")


def read_token(path: Path | None) -> str | None:
    """Return the token in a file; nothing if no file is named.

    :raises SettingsError: if the file can't be read or holds too short a token.
    """
    if path is None:
        return None
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"operators.token_file: {error}") from error
    if len(token) < MINIMUM_TOKEN_LENGTH:
        raise SettingsError(
            f"operators.token_file: at least {MINIMUM_TOKEN_LENGTH} characters"
        )
    return token


def read_actor(headers: Mapping[str, str]) -> str:
    """Return whom the call is attributed to in records."""
    actor = headers.get("mw-actor", DEFAULT_ACTOR)
    return actor if _ACTOR.fullmatch(actor) else DEFAULT_ACTOR
