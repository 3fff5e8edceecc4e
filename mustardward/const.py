"""Define constants that several components share."""

from __future__ import annotations

from typing import Final

FLEET_STREAM: Final = "fleet"
WORK_STREAM_PREFIX: Final = "work."
SNAPSHOT_STREAM_SUFFIX: Final = ".snapshots"

HEADER_ATTEMPT_ID: Final = "mw-attempt-id"
HEADER_CLASS: Final = "mw-class"
HEADER_DATA_CENTRE: Final = "mw-data-centre"
HEADER_DEADLINE: Final = "mw-deadline-seconds"
HEADER_GENERATION: Final = "mw-pool-generation"
HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_ORGANISATION: Final = "mw-organisation"
HEADER_RAN: Final = "mw-ran"
HEADER_REQUEST_ID: Final = "mw-request-id"
HEADER_SERVICE: Final = "mw-service"

CONFIGURATION_BOUND_SECONDS: Final = 5.0
"""Maximum time from acceptance of a configuration to its effect on all nodes."""

LEAVING_BOUND_SECONDS: Final = 3.0
"""Maximum time in which a leaving instance may still receive new work."""

URGENT_START_BOUND_SECONDS: Final = 3.1
"""Maximum time until urgent work starts."""
