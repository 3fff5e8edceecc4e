"""Define the request and response bodies of the platform's calls."""

from __future__ import annotations

from typing import Annotated, Any, Final

import msgspec

MAX_AMOUNT: Final = 2**53
"""Largest number of a body: JSON numbers are exact up to it, a record can hold it, and
sums and products of such numbers do not overflow."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class StartBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Request to start a task."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fence: int
    last_checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Request to stop a run."""

    task: str
    run: int
    fence: int


class PaceBody(msgspec.Struct):
    """Request to limit a run to a percentage of its speed."""

    task: str
    run: int
    percent: int
    fence: int


class HoldBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Request to renew the lease and acknowledge ended runs."""

    fence: int
    seen_upto: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class HoldAnswerBody(msgspec.Struct, rename="kebab"):
    """Response that lists running and ended runs as rows of mixed values.

    :param born: when the worker's process started, in milliseconds since 1970.
    """

    clock_ms: Amount
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: Number = 0


class ClockBody(msgspec.Struct, rename="kebab"):
    """Response of a worker to a command."""

    clock_ms: Amount = 0
    reason: str = ""


class AppendedBody(msgspec.Struct):
    """Response to an append: the records' offset and the log's end."""

    offset: int = 0
    end: int = 0


class AppendRefusedBody(msgspec.Struct):
    """Response to a rejected append."""

    reason: str = ""
    seq: int = 0


class GoneBody(msgspec.Struct):
    """Response to a read of deleted records: the oldest retained offset."""

    first: int = 0


class NewestItem(msgspec.Struct):
    """Newest record of a key; its value is encoded in base64."""

    key: str
    offset: int
    value: str = ""


class ItemKey(msgspec.Struct):
    """Key of an item whose other fields may not be decodable."""

    key: str


class NewestBody(msgspec.Struct, rename="kebab"):
    """Page of the newest record of each key; items are not yet decoded."""

    items: list[msgspec.Raw]
    end: int
    more_pages: bool = False


class ListedBody(msgspec.Struct, rename="kebab"):
    """Page of the instance list; rows are not yet decoded."""

    machines: list[msgspec.Raw]
    next_token: str | None = None


class MoveBody(msgspec.Struct):
    """Request to move an instance to another pool."""

    machine: str
    pool: str


class MaintainBody(msgspec.Struct):
    """Request to start an instance's maintenance."""

    machine: str
    wave: int


class RefusedBody(msgspec.Struct):
    """Response to a rejected fleet command."""

    reason: str = ""


class AdviseBody(msgspec.Struct):
    """Request for advice on which workers may run a step."""

    step: str
    workers: list[str]


class AllowedRow(msgspec.Struct, array_like=True):
    """Worker that may run a step, and its ticket."""

    worker: str
    ticket: str


class AdviceBody(msgspec.Struct, rename="kebab"):
    """Response with the workers that may run the step."""

    allowed: list[AllowedRow] = []
    valid_ms: Amount = 0
