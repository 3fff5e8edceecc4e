"""Name why the fold refuses records of waves, claims and reports."""

from __future__ import annotations

from ..fold import RecordRefusedError


class WaveExistsError(RecordRefusedError):
    """Report that a wave of this name was scheduled before."""

    code = "wave-exists"


class WaveNotRunningError(RecordRefusedError):
    """Report that the wave may not take instances now."""

    code = "wave-not-running"


class WaveUnfinishedError(RecordRefusedError):
    """Report that a wave cannot finish with instances still to do."""

    code = "wave-unfinished"


class SignalRefusedError(RecordRefusedError):
    """Report that a wave's present state does not accept a signal."""

    code = "signal-refused"


class InstanceBusyError(RecordRefusedError):
    """Report that an instance is claimed, moving or absent."""

    code = "instance-busy"


class WaveGrowthError(RecordRefusedError):
    """Report that a wave has to finish more instances before it takes another."""

    code = "wave-growth"


class ClaimFencedError(RecordRefusedError):
    """Report that a record carries a generation that the claim has no more."""

    code = "claim-fenced"


class StageRefusedError(RecordRefusedError):
    """Report that a claim's stage does not allow the step, or its evidence is old."""

    code = "stage-refused"
