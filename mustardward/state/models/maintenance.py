"""Define maintenance waves, claims on instances, and reports of failures."""

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

    While draining, running work may complete; from vacating on, long-running jobs are
    checkpointed and moved to other instances.
    """

    CLAIMED = "claimed"
    DRAINING = "draining"
    VACATING = "vacating"
    DRAINED = "drained"
    REBOOTING = "rebooting"


@dataclass(slots=True)
class Wave:
    """Hold one wave with its pending, done and failed instances.

    ``recent`` holds the boots of the last few finished instances, since a failure of
    one of these counts as the wave's; ``forgiven`` is the number of failures that
    operators acknowledged by resuming the wave.
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
    """Hold the claim of a wave on an instance; it never expires by time alone.

    ``boot`` is the platform's boot generation at the time of the claim; the instance
    counts as back only once a newer boot was confirmed to be up. ``taken`` is the first
    generation: it stays the same over adoptions, so that an adopter does not repeat
    platform operations whose ids contain it.
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
    """Hold why an instance counts as unavailable apart from claims."""

    instance_id: str
    cause: str
    reporter: str
    boot: int


@record_kind("wave.schedule")
@dataclass(frozen=True, slots=True)
class ScheduleWave:
    """Propose a wave over all instances of some pools, or over the listed ones.

    ``not_before`` is in seconds since the epoch; only executors evaluate it.
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

    The base revision is the revision of the wave that the actor read.
    """

    wave_id: str
    signal: str
    reason: str = ""


@record_kind("claim.take")
@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Propose a claim on an instance; accepted only if every budget allows it."""

    wave_id: str
    instance_id: str
    executor: str
    boot: int


@record_kind("claim.advance")
@dataclass(frozen=True, slots=True)
class AdvanceClaim:
    """Record that a claim reached a stage; ``generation`` has to be the claim's."""

    instance_id: str
    generation: int
    stage: str


@record_kind("claim.adopt")
@dataclass(frozen=True, slots=True)
class AdoptClaim:
    """Propose another executor for a claim, which gets a new generation."""

    instance_id: str
    generation: int
    executor: str


@record_kind("claim.release")
@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """End a claim. ``outcome`` is ``done``, ``given-back`` or ``failed``.

    ``done`` requires a ``boot`` newer than the claim's. ``failed`` leaves the instance
    absent until it is reported up.
    """

    instance_id: str
    generation: int
    outcome: str
    boot: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AbsenceChange:
    """Report that an instance went down (``up`` false) or was confirmed to be up."""

    instance_id: str
    up: bool
    boot: int
    cause: str = "failed"


@record_kind("absence.report")
@dataclass(frozen=True, slots=True)
class ReportAbsences:
    """Report failures, quarantines and recoveries of one data centre in a batch."""

    data_centre: str
    changes: tuple[AbsenceChange, ...]


@record_kind("silence.report")
@dataclass(frozen=True, slots=True)
class ReportSilence:
    """Report that a data centre is silent, or no longer is."""

    data_centre: str
    silent: bool
