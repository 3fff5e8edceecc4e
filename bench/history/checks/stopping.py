"""Check that what leaves gets no new work and that a planned stop cuts nothing."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from mustardward.const import LEAVING_BOUND_SECONDS

from ..models import History, Outcome, PowerChange, Violation
from .registry import INVARIANTS

Spans = dict[str, list[tuple[float, float]]]
_DRAIN_ENDS = (
    PowerChange.RETURNED,
    PowerChange.REBOOTING,
    PowerChange.UP,
    PowerChange.RECOVERED,
)


def draining_spans(history: History) -> Spans:
    """Return the times in which each instance was draining."""
    spans: Spans = {}
    began: dict[str, float] = {}
    for event in sorted(history.power, key=lambda item: item.at):
        if event.change is PowerChange.DRAINING:
            began.setdefault(event.instance, event.at)
        elif event.change in _DRAIN_ENDS and event.instance in began:
            spans.setdefault(event.instance, []).append(
                (began.pop(event.instance), event.at)
            )
    for instance, start in began.items():
        spans.setdefault(instance, []).append((start, inf))
    return spans


@INVARIANTS.register("leaving-no-work")
def check_leaving(history: History) -> Iterator[Violation]:
    """Find work begun on what had been leaving for longer than the bound."""
    spans = draining_spans(history)
    for run in history.executions:
        for start, end in spans.get(run.instance, []):
            if start + LEAVING_BOUND_SECONDS < run.start < end:
                late = run.start - start
                detail = f"{run.operation_id} {late:.2f}s after the drain began"
                yield Violation("leaving-no-work", run.instance, run.start, detail)
    yield from _check_entries(history)


def _check_entries(history: History) -> Iterator[Violation]:
    leaving = {stop.entry: stop.at for stop in history.stops if stop.planned}
    for item in history.requests:
        left = leaving.get(item.entry)
        answered = item.outcome is Outcome.ANSWERED
        if left is not None and answered and item.start > left + LEAVING_BOUND_SECONDS:
            detail = f"{item.operation_id} accepted {item.start - left:.2f}s after"
            yield Violation("leaving-no-work", item.entry, item.start, detail)


@INVARIANTS.register("graceful-stop")
def check_graceful_stop(history: History) -> Iterator[Violation]:
    """Find requests and tasks that a planned stop cut off."""
    reboots = _reboots(history)
    for run in history.executions:
        if run.cut and _any_within(reboots.get(run.instance, []), run.start, run.end):
            yield Violation(
                "graceful-stop", run.instance, run.end, f"{run.operation_id} cut"
            )
    for task in history.tasks:
        times = reboots.get(task.instance, [])
        if task.outcome == "cut" and _any_within(times, task.start, task.end):
            yield Violation(
                "graceful-stop", task.instance, task.end, f"job {task.job_id} cut"
            )
    yield from _check_entry_stops(history)


def _check_entry_stops(history: History) -> Iterator[Violation]:
    planned = {stop.entry: stop.at for stop in history.stops if stop.planned}
    killed = {stop.entry: stop.at for stop in history.stops if not stop.planned}
    for item in history.requests:
        at = planned.get(item.entry)
        if at is None or killed.get(item.entry, inf) < item.end:
            continue
        # A server that is cut down itself may still say 500 in the worker's place.
        broken = item.outcome is Outcome.UNKNOWN and item.status == 0
        broken = broken or (item.outcome is Outcome.ANSWERED and not item.own)
        if item.start < at < item.end and broken:
            detail = f"{item.operation_id} {item.detail}"
            yield Violation("graceful-stop", item.entry, item.end, detail)


def _reboots(history: History) -> dict[str, list[float]]:
    times: dict[str, list[float]] = {}
    for event in history.power:
        if event.change is PowerChange.REBOOTING:
            times.setdefault(event.instance, []).append(event.at)
    return times


def _any_within(times: list[float], start: float, end: float) -> bool:
    # The worker notes the cut a moment after the platform notes the reboot.
    return any(start <= at <= end + 0.5 for at in times)
