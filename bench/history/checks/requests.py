"""Check what callers were told against what workers ran."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from ..models import (
    CallerRequest,
    Execution,
    History,
    Outcome,
    TaskExecution,
    Violation,
)
from .registry import INVARIANTS

_CHECKPOINTED = "checkpointed"


@INVARIANTS.register("own-answer")
def check_own_answer(history: History) -> Iterator[Violation]:
    """Find answers that are short, or hold anything of another caller's."""
    for item in history.requests:
        if item.outcome is not Outcome.ANSWERED:
            continue
        if not item.own or not item.whole:
            fault = "foreign" if not item.own else "short"
            yield Violation(
                "own-answer",
                item.operation_id,
                item.end,
                f"{fault} entry={item.entry} start={item.start:.3f} {item.detail}",
            )


@INVARIANTS.register("refusal-true")
def check_refusal_true(history: History) -> Iterator[Violation]:
    """Find refusals that say ``ran: no`` of a request that ran.

    An execution by the request itself is a violation whenever it happens, one of an
    earlier request under the same key if it began before the refusal was given.
    """
    by_operation, by_key = _index(history.executions)
    for item in history.requests:
        if item.outcome is not Outcome.REFUSED or item.ran != "no":
            continue
        own = by_operation.get(item.operation_id, [])
        earlier = [run for run in by_key.get(_key_of(item), []) if run.start < item.end]
        for run in (own + earlier)[:1]:
            yield Violation(
                "refusal-true",
                item.operation_id,
                item.end,
                f"ran on {run.instance} at {run.start:.3f} attempt={run.attempt_id}",
            )


@INVARIANTS.register("at-most-once")
def check_at_most_once(history: History) -> Iterator[Violation]:
    """Find non-idempotent requests, keys and jobs that ran more than once."""
    by_operation, by_key = _index(history.executions)
    seen: set[tuple[str, str]] = set()
    for item in history.requests:
        if item.idempotent:
            continue
        name = _key_of(item) if item.key else ("", item.operation_id)
        if name in seen:
            continue
        seen.add(name)
        runs = by_key[name] if item.key else by_operation[item.operation_id]
        if len(runs) > 1:
            places = ", ".join(f"{run.instance}@{run.start:.3f}" for run in runs)
            yield Violation("at-most-once", "/".join(name), runs[1].start, places)
    yield from _check_jobs(history)


def _check_jobs(history: History) -> Iterator[Violation]:
    """Find non-idempotent jobs that ran again after anything but a checkpoint."""
    last: dict[str, TaskExecution] = {}
    for task in sorted(history.tasks, key=lambda item: (item.start, item.generation)):
        before = last.get(task.job_id)
        last[task.job_id] = task
        if before is None or task.idempotent:
            continue
        if before.outcome == _CHECKPOINTED and before.end <= task.start:
            continue
        detail = (
            f"{before.instance}@{before.start:.3f} generation={before.generation} "
            f"{before.outcome}, then {task.instance}@{task.start:.3f} "
            f"generation={task.generation}"
        )
        yield Violation("at-most-once", task.job_id, task.start, detail)


Index = dict[tuple[str, str], list[Execution]]


def _index(executions: list[Execution]) -> tuple[dict[str, list[Execution]], Index]:
    by_operation: dict[str, list[Execution]] = defaultdict(list)
    by_key: Index = defaultdict(list)
    for run in sorted(executions, key=lambda item: item.start):
        by_operation[run.operation_id].append(run)
        if run.key:
            by_key[(run.organisation, run.key)].append(run)
    return by_operation, by_key


def _key_of(item: CallerRequest) -> tuple[str, str]:
    return (item.organisation, item.key)
