"""Define the names and limits of the protocol between entries."""

from __future__ import annotations

from typing import Final

SERVICE_PATH: Final = "/mustardward.Peers"
CALL_PATH: Final = f"{SERVICE_PATH}/Call"
FORWARD_PATH: Final = f"{SERVICE_PATH}/Forward"

METADATA_MESSAGE: Final = "mw-message"
METADATA_SENDER: Final = "mw-sender"

MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024
"""Largest single message; it has to hold the image of a state of the target size."""

MAX_CONCURRENT_CALLS: Final = 512
"""Calls and forwarded requests that one entry handles concurrently."""

CHUNK_BYTES: Final = 64 * 1024
"""Largest part of a body in one frame."""

MAX_HOPS: Final = 2
"""Maximum number of forwards: to another data centre, then to the key's owner."""

END_OF_STREAM_TIMEOUT_SECONDS: Final = 5.0
"""Time beyond a request's deadline to transfer the end of its response."""

IDLE_CHECK_INTERVAL_SECONDS: Final = 30.0
