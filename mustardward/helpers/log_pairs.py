"""Parse the ``key=value`` pairs of a log line; pure."""

from __future__ import annotations

import json
import re
from typing import Final

_PAIR: Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


def read_pairs(line: str) -> dict[str, str]:
    """Return the pairs of a line; empty if it has none.

    :raises ValueError: if a quoted value is truncated.
    """
    pairs: dict[str, str] = {}
    for key, value in _PAIR.findall(line):
        pairs[key] = json.loads(value) if value.startswith('"') else value
    return pairs
