"""Hold the bounds and names of the protocol between entries."""

from __future__ import annotations

from typing import Final

SERVICE_PATH: Final = "/mustardward.Peers"
CALL_PATH: Final = f"{SERVICE_PATH}/Call"
FORWARD_PATH: Final = f"{SERVICE_PATH}/Forward"

METADATA_MESSAGE: Final = "mw-message"
METADATA_SENDER: Final = "mw-sender"

MAXIMUM_MESSAGE_BYTES: Final = 16 * 1024 * 1024
"""Largest single message: the image of a state of the size we build towards."""

MAXIMUM_CALLS: Final = 512
"""Calls and forwarded requests that one entry answers for its peers at once."""

CHUNK_BYTES: Final = 64 * 1024
"""Largest piece of a body in one frame."""

MAXIMUM_HOPS: Final = 2
"""Entries that may forward a request: to another data centre, then to a home."""

LAST_FRAMES_SECONDS: Final = 5.0
"""Time beyond a request's deadline for its answer's end to be taken."""

SWEEP_SECONDS: Final = 30.0
