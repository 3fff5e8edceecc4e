"""Evaluate the evidence on whether worker instances may get work.

Has no side effects and reads no clock. Entry nodes of a data centre share notes on
leaving instances; a backoff after failed attempts stays local to the entry node.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from .const import (
    BACKOFF_FAILURE_THRESHOLD,
    MAX_BACKOFF_SECONDS,
    MAX_QUIET_SECONDS,
    MIN_BACKOFF_SECONDS,
    MIN_QUIET_SECONDS,
    NOTE_RETENTION_SECONDS,
)
from .counter import ChangeCounter, Changes
from .messages import InstanceNote
from .models import InstanceBackoffStarted, InstanceLeaving, InstanceReturned

InstanceEvent = InstanceLeaving | InstanceReturned | InstanceBackoffStarted


@dataclass(slots=True, eq=False)
class _Note:
    """Hold the state of one instance that is or was leaving.

    ``evidence_at`` is the time of the last evidence, ``quiet_seconds`` the time without
    evidence of leaving before the instance can count as returned. It doubles each time
    it proves too short.
    """

    boot: int
    count: int
    leaving: bool
    version: int
    evidence_at: float
    quiet_seconds: float = MIN_QUIET_SECONDS
    source: str = ""


@dataclass(slots=True, eq=False)
class _Failures:
    """Hold the failed attempts of this process since the last success."""

    failure_count: int = 0
    backoff_until: float = 0.0


class InstanceTable:
    """Track leaving instances and those in backoff after failed attempts."""

    def __init__(self, counter: ChangeCounter) -> None:
        self._counter = counter
        self._notes: dict[str, _Note] = {}
        self._failures: dict[str, _Failures] = {}

    def is_eligible(self, instance_id: str, now: float) -> bool:
        """Return whether an instance is neither leaving nor in backoff."""
        note = self._notes.get(instance_id)
        if note is not None and note.leaving:
            return False
        failures = self._failures.get(instance_id)
        return failures is None or now >= failures.backoff_until

    def suspended(self, now: float) -> frozenset[str]:
        """Return the instances that are leaving or in backoff."""
        leaving = {name for name, note in self._notes.items() if note.leaving}
        failing = {
            name
            for name, failures in self._failures.items()
            if now < failures.backoff_until
        }
        return frozenset(leaving | failing)

    def leaving(self) -> dict[str, int]:
        """Return the leaving instances with the boot that is leaving, 0 if unknown."""
        return {name: note.boot for name, note in self._notes.items() if note.leaving}

    def notes_since(
        self, version: int, limit: int, receiver: str = ""
    ) -> Changes[InstanceNote]:
        """Return the oldest notes that changed after a version.

        :param receiver: the peer whose own notes are left out.
        """
        changed = (
            (note.version, InstanceNote(name, note.boot, note.count, note.leaving))
            for name, note in self._notes.items()
            if note.version > version and (not receiver or note.source != receiver)
        )
        return self._counter.oldest(changed, limit)

    def record_leaving(
        self, instance_id: str, source: str, now: float, boot: int = 0
    ) -> list[InstanceEvent]:
        """Record evidence that an instance is leaving, which takes effect at once."""
        note = self._notes.get(instance_id)
        if note is None:
            self._store(instance_id, _Note(boot, 1, True, 0, now))
            return [InstanceLeaving(instance_id, source)]
        if boot and boot < note.boot:
            return []
        note.evidence_at = now
        if note.leaving:
            if boot > note.boot:
                note.boot = boot
                self._store(instance_id, note)
            return []
        # The instance counted as returned but still refuses work, because the power
        # state was stale or the drain was repeated. Require a longer time without
        # evidence of leaving.
        note.quiet_seconds = _increase_quiet_seconds(note.quiet_seconds)
        note.boot = max(note.boot, boot)
        note.leaving = True
        note.count += 1
        self._store(instance_id, note)
        return [InstanceLeaving(instance_id, source)]

    def record_serving(
        self,
        instance_id: str,
        source: str,
        started_at: float,
        now: float,
        boot: int = 0,
    ) -> list[InstanceEvent]:
        """Record evidence that an instance accepts work.

        :param started_at: when the check started; ignored unless the quiet time has
            passed since the last evidence of leaving, or the boot is newer.
        """
        note = self._notes.get(instance_id)
        if note is None or not note.leaving:
            return []
        newer = bool(boot and note.boot and boot > note.boot)
        if not newer and started_at < note.evidence_at + note.quiet_seconds:
            return []
        return self._clear(instance_id, note, max(boot, note.boot), source, now)

    def update_boot(self, instance_id: str, boot: int) -> None:
        """Update the boot under which a leaving instance was not serving."""
        note = self._notes.get(instance_id)
        if note is not None and note.leaving and note.boot < boot:
            note.boot = boot
            self._store(instance_id, note)

    def apply_notes(
        self, received: Iterable[InstanceNote], source: str, now: float
    ) -> list[InstanceEvent]:
        """Apply a peer's notes and return the resulting events.

        :param source: the name of the peer.
        """
        events: list[InstanceEvent] = []
        for item in received:
            note = self._notes.get(item.instance_id)
            if note is not None and not _supersedes(note, item):
                continue
            was_leaving = note is not None and note.leaving
            quiet_seconds = (
                note.quiet_seconds if note is not None else MIN_QUIET_SECONDS
            )
            if note is not None and item.leaving and not was_leaving:
                quiet_seconds = _increase_quiet_seconds(quiet_seconds)
            merged = _Note(item.boot, item.count, item.leaving, 0, now, quiet_seconds)
            self._store(item.instance_id, merged, source)
            if item.leaving and not was_leaving:
                events.append(InstanceLeaving(item.instance_id, source))
            if was_leaving and not item.leaving:
                events.append(InstanceReturned(item.instance_id, source))
        return events

    def record_failure(
        self, instance_id: str, cause: str, now: float
    ) -> list[InstanceEvent]:
        """Record a failed attempt; several in a row start a backoff."""
        failures = self._failures.setdefault(instance_id, _Failures())
        if now < failures.backoff_until:
            # Concurrent attempts fail together and count as one failure.
            return []
        failures.failure_count += 1
        excess = failures.failure_count - BACKOFF_FAILURE_THRESHOLD
        if excess < 0:
            return []
        backoff_seconds = MIN_BACKOFF_SECONDS * 2.0 ** min(excess, 10)
        backoff_seconds = min(backoff_seconds, MAX_BACKOFF_SECONDS)
        failures.backoff_until = now + backoff_seconds
        return [
            InstanceBackoffStarted(
                instance_id, cause, failures.failure_count, backoff_seconds
            )
        ]

    def record_success(
        self, instance_id: str, started_at: float | None, now: float
    ) -> list[InstanceEvent]:
        """Record a successful attempt.

        A leaving worker finishes the requests it runs, so an attempt sent before the
        last evidence of leaving doesn't return the instance, nor does one without
        ``started_at``.
        """
        self._failures.pop(instance_id, None)
        note = self._notes.get(instance_id)
        if note is None or not note.leaving or started_at is None:
            return []
        if started_at <= note.evidence_at:
            return []
        return self._clear(instance_id, note, note.boot, "success", now)

    def remove_expired(self, owned: Container[str], now: float) -> None:
        """Remove old notes that are resolved or whose instance left the fleet.

        :param owned: the instances of the fleet.
        """
        for name, note in list(self._notes.items()):
            settled = not note.leaving or name not in owned
            if settled and now - note.evidence_at > NOTE_RETENTION_SECONDS:
                del self._notes[name]
        for name, failures in list(self._failures.items()):
            if now - failures.backoff_until > NOTE_RETENTION_SECONDS:
                del self._failures[name]

    def _clear(
        self, instance_id: str, note: _Note, boot: int, source: str, now: float
    ) -> list[InstanceEvent]:
        note.boot = boot
        note.count += 1
        note.leaving = False
        note.evidence_at = now
        self._store(instance_id, note)
        return [InstanceReturned(instance_id, source)]

    def _store(self, instance_id: str, note: _Note, source: str = "") -> None:
        note.version = self._counter.advance()
        note.source = source
        self._notes[instance_id] = note


def _increase_quiet_seconds(quiet_seconds: float) -> float:
    return min(quiet_seconds * 2, MAX_QUIET_SECONDS)


def _supersedes(note: _Note, received: InstanceNote) -> bool:
    if (received.boot, received.count) != (note.boot, note.count):
        return (received.boot, received.count) > (note.boot, note.count)
    return received.leaving and not note.leaving
