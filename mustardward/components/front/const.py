"""Hold the figures of answering callers."""

from __future__ import annotations

from typing import Final

DEFAULT_DEADLINE_SECONDS: Final = 3.0
ANSWER_MARGIN_SECONDS: Final = 0.03
"""An answer leaves this long before its caller's deadline: it has some milliseconds to
go. A caller that comes back late in its time is served in what is left of it."""

MIN_APPEND_TIMEOUT_SECONDS: Final = 0.05
"""An append is waited for at least so long, though its caller's time is short."""

MAX_JOB_STATE_AGE_SECONDS: Final = 0.1
"""A job's state may be this old; older, and the log's end is read first."""

MAX_CONFIG_AGE_SECONDS: Final = 0.5
"""Beyond this a queue that is not there may only not be known yet, so that the log's
end is read before anybody is told so."""

MIN_RETRY_AFTER_SECONDS: Final = 1
"""Least time after which a refused caller should come back."""

MAX_RETRY_AFTER_SECONDS: Final = 5
"""Most of it: an outage that lasted long may still end soon."""
JSON_CONTENT_TYPE: Final = "application/json"
"""Content type of all answers."""

CLOSE_IDLE_SECONDS: Final = 0.25
"""An entry that leaves closes its connections once nothing came on them for so long;
it answers each request with the word that its connection ends, so few are left."""

CLOSE_POLL_SECONDS: Final = 0.02
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.3
"""Time for what comes in the very moment of closing."""
