"""Define the paths, headers, reasons and parameters of the platform's calls."""

from __future__ import annotations

from typing import Final

ROOT: Final = "/mustardward"

LOG_APPEND: Final = f"{ROOT}/log-append"
LOG_READ: Final = f"{ROOT}/log-read"
LOG_NEWEST: Final = f"{ROOT}/log-newest"
RUN_START: Final = f"{ROOT}/run-start"
RUN_STOP: Final = f"{ROOT}/run-stop"
HOLD: Final = f"{ROOT}/hold"
PACE: Final = f"{ROOT}/pace"
ADVISE: Final = f"{ROOT}/advise"
MACHINES: Final = f"{ROOT}/machines"
MACHINE_MOVE: Final = f"{ROOT}/machine-move"
MACHINE_UPKEEP: Final = f"{ROOT}/machine-upkeep"

HEADER_EXPECTED: Final = "Mustardward-Expected-Instance"
HEADER_HOLDER: Final = "Mustardward-Lease-Holder"
HEADER_TOKEN: Final = "Mustardward-Fencing-Token"

REASON_FENCED: Final = "fenced"
REASON_FENCE: Final = "fence"
REASON_SEQUENCE: Final = "seq"
REASON_BUSY: Final = "busy"
REASON_WAVE: Final = "wave"

PARAM_TOPIC: Final = "topic"
PARAM_PART: Final = "part"
PARAM_PRODUCER: Final = "producer"
PARAM_EPOCH: Final = "epoch"
PARAM_SEQUENCE: Final = "seq"
PARAM_FROM: Final = "from"
PARAM_WAIT: Final = "wait-ms"
PARAM_KILOBYTES: Final = "max-kilobytes"
PARAM_AFTER: Final = "after"
PARAM_PAGE: Final = "page-token"
