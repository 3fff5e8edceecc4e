"""Model maintenance waves, claims on instances, and reports of failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..records import record_kind


class WaveStatus(StrEnum):
    """Name the states of ``charts/wave.yaml``."""

    SCHEDULED = "scheduled"
    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class ClaimStage(StrEnum):
    """Name the states of ``charts/claim.yaml``.

    While draining, running work may end by itself; from vacating on, long work is
    checkpointed and moved away.
    """

    CLAIMED = "claimed"
    DRAINING = "draining"
    VACATING = "vacating"
    DRAINED = "drained"
    REBOOTING = "rebooting"


@dataclass(slots=True)
class Wave:
    """Hold one wave: the instances still to do, and those done or failed.

    ``recent`` holds the last few finished with their new boots, since a failure of one
    of these counts as the wave's; ``forgiven`` is the number of failures that operators
    resumed after.
    """

    wave_id: str
    pools: tuple[str, ...]
    status: str
    revision: int
    pending: set[str]
    done: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    canary: int = 1
    maximum_failures: int = 2
    not_before: float = 0.0
    reason: str = ""
    recent: dict[str, int] = field(default_factory=dict)
    forgiven: int = 0


@dataclass(slots=True)
class Claim:
    """Hold an instance for a wave; it never lapses by time alone.

    ``boot`` is the platform's boot generation seen when the claim was made; the
    instance counts as back only when a newer one was positively seen up. ``taken`` is
    the first generation: it stays over adoptions, so that platform operations named
    after it are not repeated by an adopter.
    """

    instance_id: str
    wave_id: str
    executor: str
    generation: int
    stage: str
    boot: int
    taken: int = 0


@dataclass(frozen=True, slots=True)
class Absence:
    """Hold why an instance counts as unavailable besides claims."""

    instance_id: str
    cause: str
    reporter: str
    boot: int


@record_kind("wave.schedule")
@dataclass(frozen=True, slots=True)
class ScheduleWave:
    """Propose a wave over all instances of some pools, or over those named.

    ``not_before`` is in seconds since the epoch, read by executors, not by the fold.
    """

    wave_id: str
    pools: tuple[str, ...]
    instances: tuple[str, ...] = ()
    canary: int = 1
    maximum_failures: int = 2
    not_before: float = 0.0


@record_kind("wave.signal")
@dataclass(frozen=True, slots=True)
class SignalWave:
    """Propose an event of ``charts/wave.yaml``: start, pause, resume, cancel, finish.

    The base revision is the wave's revision that the actor saw.
    """

    wave_id: str
    signal: str
    reason: str = ""


@record_kind("claim.take")
@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Propose to take instances out; each is admitted only within every budget."""

    wave_id: str
    instance_id: str
    executor: str
    boot: int


@record_kind("claim.advance")
@dataclass(frozen=True, slots=True)
class AdvanceClaim:
    """State that a claim reached a stage; ``generation`` has to be the claim's."""

    instance_id: str
    generation: int
    stage: str


@record_kind("claim.adopt")
@dataclass(frozen=True, slots=True)
class AdoptClaim:
    """Propose another executor for a claim; it gets a new generation."""

    instance_id: str
    generation: int
    executor: str


@record_kind("claim.release")
@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """End a claim. ``outcome`` is ``done``, ``given-back`` or ``failed``.

    ``done`` has to carry a ``boot`` newer than the claim's. ``failed`` leaves the
    instance absent until it is reported up.
    """

    instance_id: str
    generation: int
    outcome: str
    boot: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AbsenceChange:
    """Say that one instance went away (``up`` false) or was positively seen up."""

    instance_id: str
    up: bool
    boot: int
    cause: str = "failed"


@record_kind("absence.report")
@dataclass(frozen=True, slots=True)
class ReportAbsences:
    """State failures, quarantines and returns of one data centre, coalesced."""

    data_centre: str
    changes: tuple[AbsenceChange, ...]


@record_kind("silence.report")
@dataclass(frozen=True, slots=True)
class ReportSilence:
    """State that a data centre reports nothing (or speaks again)."""

    data_centre: str
    silent: bool
