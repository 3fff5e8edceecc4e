"""Weigh the evidence on whether worker instances may get work.

Pure: evidence and the time go in, events come out. Leaving is a note that the entries
of a data centre share; suspicion after failures stays with the entry that met them.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from .const import (
    FAILURES_TO_SUSPECT,
    MAXIMUM_HOLD_SECONDS,
    MAXIMUM_QUIET_SECONDS,
    NOTE_MEMORY_SECONDS,
    RETURN_QUIET_SECONDS,
    SUSPECT_HOLD_SECONDS,
)
from .counter import ChangeCounter, Changes
from .messages import InstanceNote
from .models import InstanceBackoffStarted, InstanceLeaving, InstanceReturned

InstanceEvent = InstanceLeaving | InstanceReturned | InstanceBackoffStarted


@dataclass(slots=True, eq=False)
class _Note:
    """Hold what is known of one instance that is or was leaving.

    ``evidence`` is when something last showed that it leaves, ``quiet`` how long there
    must have been nothing of the kind before it counts as returned; it doubles each
    time that proved too short.
    """

    boot: int
    count: int
    leaving: bool
    version: int
    evidence: float
    quiet: float = RETURN_QUIET_SECONDS
    source: str = ""


@dataclass(slots=True, eq=False)
class _Failures:
    """Hold own failures with one instance since its last success."""

    number: int = 0
    held_until: float = 0.0


class InstanceTable:
    """Hold which instances are leaving, and which fail this entry's attempts."""

    def __init__(self, counter: ChangeCounter) -> None:
        self._counter = counter
        self._notes: dict[str, _Note] = {}
        self._failures: dict[str, _Failures] = {}

    def may_get_work(self, instance_id: str, now: float) -> bool:
        """Tell whether nothing speaks against an instance."""
        note = self._notes.get(instance_id)
        if note is not None and note.leaving:
            return False
        failures = self._failures.get(instance_id)
        return failures is None or now >= failures.held_until

    def held_back(self, now: float) -> frozenset[str]:
        """Return the instances that something speaks against."""
        leaving = {name for name, note in self._notes.items() if note.leaving}
        failing = {
            name
            for name, failures in self._failures.items()
            if now < failures.held_until
        }
        return frozenset(leaving | failing)

    def leaving(self) -> dict[str, int]:
        """Return the boot under which each leaving instance leaves; 0 if not known."""
        return {name: note.boot for name, note in self._notes.items() if note.leaving}

    def notes_since(
        self, version: int, limit: int, receiver: str = ""
    ) -> Changes[InstanceNote]:
        """Return the notes that changed first after a version.

        :param receiver: who is told; what it told itself is left out.
        """
        changed = (
            (note.version, InstanceNote(name, note.boot, note.count, note.leaving))
            for name, note in self._notes.items()
            if note.version > version and (not receiver or note.source != receiver)
        )
        return self._counter.oldest(changed, limit)

    def note_leaving(
        self, instance_id: str, source: str, now: float, boot: int = 0
    ) -> list[InstanceEvent]:
        """Take evidence that an instance is leaving; it counts at once."""
        note = self._notes.get(instance_id)
        if note is None:
            self._put(instance_id, _Note(boot, 1, True, 0, now))
            return [InstanceLeaving(instance_id, source)]
        if boot and boot < note.boot:
            return []
        note.evidence = now
        if note.leaving:
            if boot > note.boot:
                note.boot = boot
                self._put(instance_id, note)
            return []
        # It was taken for returned and still refuses: the power state told of it, or
        # the drain was repeated. Each time this happens, more quiet is asked for.
        note.quiet = _longer(note.quiet)
        note.boot = max(note.boot, boot)
        note.leaving = True
        note.count += 1
        self._put(instance_id, note)
        return [InstanceLeaving(instance_id, source)]

    def note_up(
        self, instance_id: str, source: str, began: float, now: float, boot: int = 0
    ) -> list[InstanceEvent]:
        """Take positive evidence that an instance takes work.

        :param began: when the look at it began; older than the last evidence of its
            leaving, it proves nothing.
        """
        note = self._notes.get(instance_id)
        if note is None or not note.leaving:
            return []
        newer = bool(boot and note.boot and boot > note.boot)
        if not newer and began < note.evidence + note.quiet:
            return []
        return self._clear(instance_id, note, max(boot, note.boot), source, now)

    def learn_boot(self, instance_id: str, boot: int) -> None:
        """Note under which boot a leaving instance was seen not to serve."""
        note = self._notes.get(instance_id)
        if note is not None and note.leaving and note.boot < boot:
            note.boot = boot
            self._put(instance_id, note)

    def merge(
        self, told: Iterable[InstanceNote], source: str, now: float
    ) -> list[InstanceEvent]:
        """Take over a peer's notes.

        :param source: the name of the peer.
        """
        events: list[InstanceEvent] = []
        for item in told:
            note = self._notes.get(item.instance_id)
            if note is not None and not _supersedes(note, item):
                continue
            was_leaving = note is not None and note.leaving
            quiet = note.quiet if note is not None else RETURN_QUIET_SECONDS
            if note is not None and item.leaving and not was_leaving:
                quiet = _longer(quiet)
            merged = _Note(item.boot, item.count, item.leaving, 0, now, quiet)
            self._put(item.instance_id, merged, source)
            if item.leaving and not was_leaving:
                events.append(InstanceLeaving(item.instance_id, source))
            if was_leaving and not item.leaving:
                events.append(InstanceReturned(item.instance_id, source))
        return events

    def note_failure(
        self, instance_id: str, cause: str, now: float
    ) -> list[InstanceEvent]:
        """Count a failed attempt; a few in a row hold the instance back for a while."""
        failures = self._failures.setdefault(instance_id, _Failures())
        if now < failures.held_until:
            # Attempts that were under way together fail together: one incident.
            return []
        failures.number += 1
        excess = failures.number - FAILURES_TO_SUSPECT
        if excess < 0:
            return []
        hold = SUSPECT_HOLD_SECONDS * 2.0 ** min(excess, 10)
        hold = min(hold, MAXIMUM_HOLD_SECONDS)
        failures.held_until = now + hold
        return [InstanceBackoffStarted(instance_id, cause, failures.number, hold)]

    def note_success(
        self, instance_id: str, began: float | None, now: float
    ) -> list[InstanceEvent]:
        """Take a successful attempt into account.

        A leaving worker finishes what it runs, so the success of an attempt that was
        sent before it refused says nothing; without ``began`` none is believed.
        """
        self._failures.pop(instance_id, None)
        note = self._notes.get(instance_id)
        if note is None or not note.leaving or began is None:
            return []
        if began <= note.evidence:
            return []
        return self._clear(instance_id, note, note.boot, "success", now)

    def forget(self, owned: Container[str], now: float) -> None:
        """Drop what was settled long ago, and what left the fleet.

        :param owned: the instances that belong to a pool.
        """
        for name, note in list(self._notes.items()):
            settled = not note.leaving or name not in owned
            if settled and now - note.evidence > NOTE_MEMORY_SECONDS:
                del self._notes[name]
        for name, failures in list(self._failures.items()):
            if now - failures.held_until > NOTE_MEMORY_SECONDS:
                del self._failures[name]

    def _clear(
        self, instance_id: str, note: _Note, boot: int, source: str, now: float
    ) -> list[InstanceEvent]:
        note.boot = boot
        note.count += 1
        note.leaving = False
        note.evidence = now
        self._put(instance_id, note)
        return [InstanceReturned(instance_id, source)]

    def _put(self, instance_id: str, note: _Note, source: str = "") -> None:
        note.version = self._counter.advance()
        note.source = source
        self._notes[instance_id] = note


def _longer(quiet: float) -> float:
    return min(quiet * 2, MAXIMUM_QUIET_SECONDS)


def _supersedes(note: _Note, told: InstanceNote) -> bool:
    if (told.boot, told.count) != (note.boot, note.count):
        return (told.boot, told.count) > (note.boot, note.count)
    return told.leaving and not note.leaving
