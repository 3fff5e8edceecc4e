"""Define the faults that tests and drills inject into a stand-in."""

from __future__ import annotations

from typing import Generic, TypeVar

from pydantic import BaseModel, ConfigDict, Field


class FaultModel(BaseModel):
    """Base class of faults: immutable, rejects unknown faults; defaults inject none."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceFaults(FaultModel):
    """Faults that every service of the platform supports.

    ``lose_answers`` counts down: that many of the next calls that change state take
    effect, but their connection is reset without a response. ``cut_off`` lists data
    centres whose calls are reset without effect.
    """

    outage: bool = False
    slow_seconds: float = Field(default=0.0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    cut_off: tuple[str, ...] = ()


class LogFaults(ServiceFaults):
    """Faults of the log.

    ``late_appends`` counts down: that many of the next appends are reset without a
    response and take effect ``late_seconds`` later.
    """

    late_appends: int = Field(default=0, ge=0)
    late_seconds: float = Field(default=1.0, ge=0)
    refuse_appends: bool = False


class ListingFaults(ServiceFaults):
    """Faults of the instance list; ``lag_seconds`` overrides the configured lag."""

    lag_seconds: float | None = Field(default=None, ge=0)


class PowerFaults(ServiceFaults):
    """Faults of the power service; ``stay_down`` lists instances that fail to boot."""

    stay_down: tuple[str, ...] = ()


class WorkerFaults(FaultModel):
    """Faults of a worker, injected into every ``every``-th request.

    ``down`` resets connections before the request runs, ``close_without_answer``
    after it ran. ``ignore_drain`` makes a draining worker accept new work, which a
    later reboot interrupts.
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


FaultsT = TypeVar("FaultsT", bound=FaultModel)


class FaultSwitch(Generic[FaultsT]):
    """Active faults of a stand-in.

    :param faults: the initial faults.
    """

    def __init__(self, faults: FaultsT) -> None:
        self._faults = faults

    @property
    def active(self) -> FaultsT:
        """Return the active faults."""
        return self._faults

    def change(self, **changes: object) -> FaultsT:
        """Change faults and return all active ones.

        :raises pydantic.ValidationError: for an unknown fault or an invalid value.
        """
        model = type(self._faults)
        merged = {**self._faults.model_dump(), **changes}
        self._faults = model.model_validate(merged)
        return self._faults

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether its count was positive."""
        remaining: int = getattr(self._faults, name)
        if remaining <= 0:
            return False
        self.change(**{name: remaining - 1})
        return True
