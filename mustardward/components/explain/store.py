"""Keep a bounded number of stories of bounded length."""

from __future__ import annotations

from collections import OrderedDict, deque

from returns.result import Success

from ...state.fold import Acceptance, RecordOutcome
from .const import MAXIMUM_LINES, MAXIMUM_SUBJECTS
from .models import DecisionMade, StoryLine
from .subjects import describe_body, subjects_of, subjects_of_acceptance


class StoryStore:
    """Hold the latest lines of the subjects that changed last.

    :param entry: name of this process.
    """

    def __init__(
        self,
        entry: str,
        maximum_subjects: int = MAXIMUM_SUBJECTS,
        maximum_lines: int = MAXIMUM_LINES,
    ) -> None:
        self._entry = entry
        self._maximum_subjects = maximum_subjects
        self._maximum_lines = maximum_lines
        self._stories: OrderedDict[tuple[str, str], deque[StoryLine]] = OrderedDict()
        self._instance_of_move: dict[str, str] = {}

    def lines(self, subject_kind: str, subject_id: str) -> tuple[StoryLine, ...]:
        """Return what is kept of one subject, oldest first."""
        return tuple(self._stories.get((subject_kind, subject_id), ()))

    def add_decision(self, decision: DecisionMade, at: float) -> None:
        """Note a decision of this process."""
        line = StoryLine(
            at=at,
            entry=self._entry,
            happening=decision.decision,
            cause=decision.cause,
            inputs=decision.inputs,
            offset=decision.offset,
        )
        self._add(decision.subject_kind, decision.subject_id, line)

    def add_outcome(self, stream: str, outcome: RecordOutcome, at: float) -> None:
        """Note what the fold said of a record, for each subject it names."""
        if outcome.duplicate or outcome.body is None:
            return
        envelope = outcome.envelope
        subjects = subjects_of(outcome.body, self._instance_of_move)
        if isinstance(outcome.result, Success):
            acceptance: Acceptance = outcome.result.unwrap()
            subjects += subjects_of_acceptance(acceptance.subjects)
        for kind, subject_id in dict.fromkeys(subjects):
            line = StoryLine(
                at=at,
                entry=envelope.actor,
                happening=f"{envelope.kind} {_verdict(outcome)}",
                cause=_cause(outcome),
                inputs=describe_body(outcome.body, subject_id),
                stream=stream,
                offset=outcome.offset,
                record_id=envelope.record_id,
            )
            self._add(kind, subject_id, line)
        if envelope.kind in ("move.transfer", "move.cancel"):
            self._instance_of_move.pop(outcome.body.move_id, None)

    def _add(self, kind: str, subject_id: str, line: StoryLine) -> None:
        key = (str(kind), subject_id)
        story = self._stories.get(key)
        if story is None:
            story = deque(maxlen=self._maximum_lines)
            self._stories[key] = story
        story.append(line)
        self._stories.move_to_end(key)
        while len(self._stories) > self._maximum_subjects:
            self._stories.popitem(last=False)


def _verdict(outcome: RecordOutcome) -> str:
    return "accepted" if isinstance(outcome.result, Success) else "refused"


def _cause(outcome: RecordOutcome) -> str:
    if isinstance(outcome.result, Success):
        acceptance: Acceptance = outcome.result.unwrap()
        return acceptance.note
    refusal = outcome.result.failure()
    return f"{refusal.code}: {refusal.detail}" if refusal.detail else refusal.code
