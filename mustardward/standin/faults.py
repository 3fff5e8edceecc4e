"""Hold the faults that tests and operators' drills switch on a stand-in."""

from __future__ import annotations

from typing import Generic, TypeVar

from pydantic import BaseModel, ConfigDict, Field


class FaultModel(BaseModel):
    """Refuse unknown faults and later changes; each default means no fault."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceFaults(FaultModel):
    """Hold the faults that every service of the platform can have.

    ``lose_answers`` counts down: so many next calls that change something take effect,
    then their connection is reset without an answer. ``cut_off`` names data centres
    whose calls are reset without effect.
    """

    outage: bool = False
    slow_seconds: float = Field(default=0.0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    cut_off: tuple[str, ...] = ()


class LogFaults(ServiceFaults):
    """Hold the log's faults.

    ``late_appends`` counts down: so many next appends are reset without an answer and
    take effect only ``late_seconds`` afterwards.
    """

    late_appends: int = Field(default=0, ge=0)
    late_seconds: float = Field(default=1.0, ge=0)
    refuse_appends: bool = False


class ListingFaults(ServiceFaults):
    """Hold the list's faults; ``lag_seconds`` replaces the configured lag."""

    lag_seconds: float | None = Field(default=None, ge=0)


class PowerFaults(ServiceFaults):
    """Hold the power service's faults; named instances never come back up."""

    stay_down: tuple[str, ...] = ()


class WorkerFaults(FaultModel):
    """Hold a worker's faults; they strike every ``every``-th request.

    ``down`` resets connections before anything runs, ``close_without_answer`` after
    the request ran. ``ignore_drain`` lets a draining worker run new work, so that a
    later reboot cuts what should not have been sent.
    """

    every: int = Field(default=1, ge=1)
    fail_all: bool = False
    truncate: bool = False
    close_without_answer: bool = False
    stray_bytes: bool = False
    slow_seconds: float = Field(default=0.0, ge=0)
    freeze: bool = False
    down: bool = False
    busy: bool = False
    ignore_drain: bool = False
    usage_lag_seconds: float = Field(default=2.0, ge=0)


F = TypeVar("F", bound=FaultModel)


class FaultSwitch(Generic[F]):
    """Hold the faults in force now.

    :param faults: the faults to begin with.
    """

    def __init__(self, faults: F) -> None:
        self._faults = faults

    @property
    def now(self) -> F:
        """Return the faults in force."""
        return self._faults

    def change(self, **changes: object) -> F:
        """Change some faults and return all of them.

        :raises pydantic.ValidationError: for an unknown fault or a wrong value.
        """
        model = type(self._faults)
        merged = {**self._faults.model_dump(), **changes}
        self._faults = model.model_validate(merged)
        return self._faults

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; tell whether there was one."""
        left: int = getattr(self._faults, name)
        if left <= 0:
            return False
        self.change(**{name: left - 1})
        return True
