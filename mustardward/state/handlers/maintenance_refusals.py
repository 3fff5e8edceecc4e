"""Define the errors that reject records of waves and claims."""

from __future__ import annotations

from ..fold import RecordRefusedError


class WaveExistsError(RecordRefusedError):
    """Report that a wave with this id already exists."""

    code = "wave-exists"


class WaveNotRunningError(RecordRefusedError):
    """Report that the wave is not running and may not claim instances."""

    code = "wave-not-running"


class WaveUnfinishedError(RecordRefusedError):
    """Report that a wave with pending or claimed instances cannot finish."""

    code = "wave-unfinished"


class SignalRefusedError(RecordRefusedError):
    """Report that a wave's current state does not accept a signal."""

    code = "signal-refused"


class InstanceBusyError(RecordRefusedError):
    """Report that an instance is claimed, moving or absent."""

    code = "instance-busy"


class WaveGrowthError(RecordRefusedError):
    """Report that a wave has to finish more instances before it claims another."""

    code = "wave-growth"


class ClaimFencedError(RecordRefusedError):
    """Report that a record has an outdated generation of the claim."""

    code = "claim-fenced"


class StageRefusedError(RecordRefusedError):
    """Report that the claim's stage does not allow the step or the boot is too old."""

    code = "stage-refused"
