"""Build the folded work of one data centre at the bounds that its handlers keep."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from mustardward.state.fold import Fold
from mustardward.state.handlers.intents import MAX_INTENTS, MAX_STORED_RESPONSES
from mustardward.state.models.jobs import AcceptJob, CloseIntent, OpenIntent
from mustardward.state.records import encode_batch, make_record
from mustardward.state.streams import StreamSpec
from mustardward.state.work import WorkState

from .control_fleet import FleetShape

OPEN_JOBS: Final = 5_000
IDLE_POOL: Final = "pool-without-workers"
"""Where the jobs wait: placing them is not what is measured here."""
_ANSWER: Final = b"a" * 512
_PAYLOAD: Final = b"p" * 256
_HOME: Final = "entry-1#1234567890"


class WorkBuilder:
    """Fold keyed requests and long jobs until every bound is reached.

    :param shape: tells how many organisations share the work.
    """

    def __init__(self, spec: StreamSpec[WorkState], shape: FleetShape) -> None:
        self.fold: Fold[WorkState] = spec.new_fold()
        self._shape = shape
        self._count = 0

    def build(self) -> Fold[WorkState]:
        """Fold all of it."""
        for number in range(MAX_INTENTS + 1):
            self._keyed_request(number)
        for body in self._jobs():
            self._apply(body)
        return self.fold

    def _keyed_request(self, number: int) -> None:
        organisation = self._organisation(number)
        key = f"order-{number:08d}-batch"
        opened = self._apply(OpenIntent(organisation, key, f"{number:032x}", _HOME))
        answer = _ANSWER if number > MAX_INTENTS - MAX_STORED_RESPONSES else b""
        self._apply(
            CloseIntent(
                organisation,
                key,
                _HOME,
                "yes",
                200,
                "application/json",
                answer,
                opened=opened,
            )
        )

    def _jobs(self) -> Iterator[AcceptJob]:
        for number in range(OPEN_JOBS):
            organisation = self._organisation(number)
            yield AcceptJob(
                f"job-{number}",
                organisation,
                "service-1",
                IDLE_POOL,
                f"batch-{number // 50}",
                _PAYLOAD,
            )

    def _organisation(self, number: int) -> str:
        return f"organisation-{number % self._shape.organisations}"

    def _apply(self, body: Any) -> int:
        self._count += 1
        record = make_record(
            body, record_id=f"{self._count:032x}", actor="entry-1", stamp=0.0
        )
        payload = encode_batch([record])
        outcome = self.fold.apply(self.fold.next_offset, payload)[0]
        revision: int = outcome.result.unwrap().revision
        return revision
