"""Hold the bodies of the platform's calls, as they are sent."""

from __future__ import annotations

from typing import Any

import msgspec


class StartBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Hold an order to start a task."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fence: int
    last_checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Hold an order to stop a run."""

    task: str
    run: int
    fence: int


class PaceBody(msgspec.Struct):
    """Hold an order to let a run work at a share of its speed."""

    task: str
    run: int
    percent: int
    fence: int


class HoldBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Hold a renewal of the lease and what was acknowledged of the ends."""

    fence: int
    seen_upto: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class HoldAnswerBody(msgspec.Struct, rename="kebab"):
    """Hold what runs and has ended: rows of mixed values.

    :param born: when the worker's process started, in milliseconds since 1970.
    """

    clock_ms: float
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


class ClockBody(msgspec.Struct, rename="kebab"):
    """Hold a worker's answer to an order."""

    clock_ms: float = 0
    reason: str = ""


class AppendedBody(msgspec.Struct):
    """Hold where records were appended."""

    offset: int = 0
    end: int = 0


class AppendRefusedBody(msgspec.Struct):
    """Hold why records were not appended."""

    reason: str = ""
    seq: int = 0


class GoneBody(msgspec.Struct):
    """Hold the oldest offset that is kept."""

    first: int = 0


class NewestItem(msgspec.Struct):
    """Hold the newest record of a key; the value in base64."""

    key: str
    offset: int
    value: str = ""


class ItemKey(msgspec.Struct):
    """Hold the key of an item whose other fields may not be readable."""

    key: str


class NewestBody(msgspec.Struct, rename="kebab"):
    """Hold a page of the newest record of each key, each still to be decoded."""

    items: list[msgspec.Raw]
    end: int
    more_pages: bool = False


class ListedBody(msgspec.Struct, rename="kebab"):
    """Hold a page of the fleet's list, each row still to be decoded."""

    machines: list[msgspec.Raw]
    next_token: str | None = None


class MoveBody(msgspec.Struct):
    """Hold an order to move an instance."""

    machine: str
    pool: str


class MaintainBody(msgspec.Struct):
    """Hold an order to maintain an instance."""

    machine: str
    wave: int


class RefusedBody(msgspec.Struct):
    """Hold why an order to the fleet was refused."""

    reason: str = ""


class AdviseBody(msgspec.Struct):
    """Hold a question which workers may run a step."""

    step: str
    workers: list[str]


class AdviceBody(msgspec.Struct, rename="kebab"):
    """Hold rows of the workers that may run a step and their tickets."""

    allowed: list[list[str]] = []
    valid_ms: float = 0
