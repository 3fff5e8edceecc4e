"""Store a bounded number of histories of bounded length."""

from __future__ import annotations

from collections import OrderedDict, deque

from returns.result import Success

from ...state.fold import Acceptance, RecordOutcome
from .const import MAX_LINES, MAX_SUBJECTS
from .models import DecisionMade, HistoryLine
from .subjects import describe_body, find_subjects, parse_subjects


class HistoryStore:
    """Keep the latest lines of the most recently changed subjects.

    :param entry: name of this process.
    """

    def __init__(
        self,
        entry: str,
        max_subjects: int = MAX_SUBJECTS,
        max_lines: int = MAX_LINES,
    ) -> None:
        self._entry = entry
        self._max_subjects = max_subjects
        self._max_lines = max_lines
        self._histories: OrderedDict[tuple[str, str], deque[HistoryLine]] = (
            OrderedDict()
        )
        self._instance_of_move: dict[str, str] = {}

    def lines(self, subject_kind: str, subject_id: str) -> tuple[HistoryLine, ...]:
        """Return the stored lines of one subject, oldest first."""
        return tuple(self._histories.get((subject_kind, subject_id), ()))

    def add_decision(self, decision: DecisionMade, at: float) -> None:
        """Add a decision of this process."""
        line = HistoryLine(
            at=at,
            entry=self._entry,
            happening=decision.decision,
            cause=decision.cause,
            inputs=decision.inputs,
            offset=decision.offset,
        )
        self._add(decision.subject_kind, decision.subject_id, line)

    def add_outcome(self, stream: str, outcome: RecordOutcome, at: float) -> None:
        """Add the outcome of a record to the history of each subject it names."""
        if outcome.duplicate or outcome.body is None:
            return
        envelope = outcome.envelope
        subjects = find_subjects(outcome.body, self._instance_of_move)
        if isinstance(outcome.result, Success):
            acceptance: Acceptance = outcome.result.unwrap()
            subjects += parse_subjects(acceptance.subjects)
        for kind, subject_id in dict.fromkeys(subjects):
            line = HistoryLine(
                at=at,
                entry=envelope.actor,
                happening=f"{envelope.kind} {_result_name(outcome)}",
                cause=_cause(outcome),
                inputs=describe_body(outcome.body, subject_id),
                stream=stream,
                offset=outcome.offset,
                record_id=envelope.record_id,
            )
            self._add(kind, subject_id, line)
        if envelope.kind in ("move.transfer", "move.cancel"):
            self._instance_of_move.pop(outcome.body.move_id, None)

    def _add(self, kind: str, subject_id: str, line: HistoryLine) -> None:
        key = (str(kind), subject_id)
        history = self._histories.get(key)
        if history is None:
            history = deque(maxlen=self._max_lines)
            self._histories[key] = history
        history.append(line)
        self._histories.move_to_end(key)
        while len(self._histories) > self._max_subjects:
            self._histories.popitem(last=False)


def _result_name(outcome: RecordOutcome) -> str:
    return "accepted" if isinstance(outcome.result, Success) else "refused"


def _cause(outcome: RecordOutcome) -> str:
    if isinstance(outcome.result, Success):
        acceptance: Acceptance = outcome.result.unwrap()
        return acceptance.note
    refusal = outcome.result.failure()
    return f"{refusal.code}: {refusal.detail}" if refusal.detail else refusal.code
