"""Constants of the front end: deadlines, staleness limits, retry delays, shutdown."""

from __future__ import annotations

from typing import Final

DEFAULT_DEADLINE_SECONDS: Final = 3.0
ANSWER_MARGIN_SECONDS: Final = 0.03
"""Time before the caller's deadline at which an answer is sent, since it takes some
milliseconds to arrive. A retry with little time left is served in what remains."""

MIN_APPEND_TIMEOUT_SECONDS: Final = 0.05
"""Minimum wait for an append, even if the caller has less time left."""

MAX_JOB_STATE_AGE_SECONDS: Final = 0.1
"""Maximum age of a job's state; if it is older, the log is read up to its end first."""

MAX_CONFIG_AGE_SECONDS: Final = 0.5
"""Maximum age of the configuration for a final refusal. If it is older, a queue may
have been added meanwhile, so that the log is read up to its end first."""

MIN_RETRY_AFTER_SECONDS: Final = 1
"""Minimum delay after which a refused caller should retry."""

MAX_RETRY_AFTER_SECONDS: Final = 5
"""Maximum of that delay: an outage may end soon even if it has lasted long."""

JSON_CONTENT_TYPE: Final = "application/json"
"""Content type of all answers."""

KEEP_ALIVE_SECONDS: Final = 15.0
"""Time without a complete head, since the connection was opened or the last response,
after which a connection is closed."""

CLOSE_IDLE_SECONDS: Final = 0.25
"""Time without requests after which a draining entry node closes its connections. It
answers every request with ``Connection: close``, so that few are left by then."""

CLOSE_POLL_SECONDS: Final = 0.02
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.3
"""Time for requests that arrive at the very moment of closing."""

MAX_SUMMARIZED_STEPS: Final = 500
"""Steps and dependencies of a job up to which its log line summarizes them. The line of
9,000 steps would be as long as 500 ordinary ones."""
