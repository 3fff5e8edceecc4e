"""Fake the fleet log, the power service and membership for maintenance and moves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from returns.result import Failure, Result

from mustardward.components.membership.models import Member, MemberStatus
from mustardward.exceptions import (
    MustardwardError,
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    StaleGenerationError,
)
from mustardward.standin.protocol.models import InstancePower, PowerState
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Acceptance, RecordOutcome
from mustardward.state.records import NO_BASE
from tests.fakes.fleet import FoldDriver


class FakeFleetLog:
    """Apply proposals at once; several executors may share one log."""

    def __init__(self, driver: FoldDriver) -> None:
        self.driver = driver
        self.out = False
        self.paused = False
        self.tail_age = 0.0
        self.proposed: list[Any] = []
        self.before_confirm: Callable[[], None] = lambda: None
        self._listeners: list[Callable[[RecordOutcome], None]] = []

    @property
    def state(self) -> FleetState:
        return self.driver.state

    @property
    def next_offset(self) -> int:
        return self.driver.fold.next_offset

    @property
    def sequence(self) -> int:
        return self.driver.fold.sequence

    @property
    def digest(self) -> str:
        return self.driver.fold.digest

    @property
    def ready(self) -> bool:
        return True

    @property
    def may_decide(self) -> bool:
        return not self.paused

    def tail_age_seconds(self) -> float:
        return self.tail_age

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        self.before_confirm()
        return not self.out

    async def async_propose(
        self,
        body: Any,
        *,
        actor: str,
        base_revision: int = NO_BASE,
        record_id: str | None = None,
        timeout_seconds: float = 5.0,
        priority: int = 1,
    ) -> Result[Acceptance, MustardwardError]:
        self.proposed.append(body)
        if self.out:
            return Failure(PlatformUnavailableError("log is out"))
        outcome = self.driver.apply(body, base_revision, actor)
        for listener in list(self._listeners):
            listener(outcome)
        return outcome.result

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)


@dataclass(slots=True)
class FakePower:
    """Fake the power service: drain at once if idle, and reboot until told to finish.

    :param lose_answers: actions whose next response is lost after they took effect.
    :param undrainable: instances whose drain fails.
    """

    held: dict[str, InstancePower] = field(default_factory=dict)
    seen: set[str] = field(default_factory=set)
    calls: list[tuple[str, str]] = field(default_factory=list)
    lose_answers: set[str] = field(default_factory=set)
    undrainable: set[str] = field(default_factory=set)
    out: bool = False

    async def async_get(self, instance_id: str) -> InstancePower:
        if self.out:
            raise PlatformUnavailableError("power is out")
        power = self._power(instance_id)
        if power.state is PowerState.DRAINING and power.running == 0:
            power = self.put(instance_id, state=PowerState.DRAINED)
        return power

    async def async_drain(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        return self._call("drain", instance_id, operation_id, generation)

    async def async_reboot(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        return self._call("reboot", instance_id, operation_id, generation)

    async def async_return(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        return self._call("return", instance_id, operation_id, generation)

    def put(self, instance_id: str, **changes: Any) -> InstancePower:
        """Change the power state of an instance."""
        self.held[instance_id] = replace(self._power(instance_id), **changes)
        return self.held[instance_id]

    def finish_reboots(self) -> None:
        """Complete all reboots, which increments the boot numbers."""
        for power in list(self.held.values()):
            if power.state is PowerState.REBOOTING:
                boot = power.boot + 1
                self.put(power.instance_id, state=PowerState.SERVING, boot=boot)

    def count(self, action: str) -> int:
        """Return how often an action took effect."""
        return sum(1 for done, _ in self.calls if done == action)

    def _power(self, instance_id: str) -> InstancePower:
        initial = InstancePower(instance_id, PowerState.SERVING, 1, 0, 0)
        return self.held.get(instance_id, initial)

    def _call(
        self, action: str, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        if self.out or (action == "drain" and instance_id in self.undrainable):
            raise PlatformUnavailableError("unreachable")
        power = self._power(instance_id)
        if generation < power.generation:
            raise StaleGenerationError(f"seen={power.generation}")
        if operation_id not in self.seen:
            self._act(action, power, generation)
            self.seen.add(operation_id)
            self.calls.append((action, instance_id))
        if action in self.lose_answers:
            self.lose_answers.discard(action)
            raise PlatformOutcomeUnknownError("response lost")
        return self._power(instance_id)

    def _act(self, action: str, power: InstancePower, generation: int) -> None:
        if action == "reboot" and power.state is not PowerState.DRAINED:
            raise PlatformRefusedError("not-drained")
        state = {
            "drain": PowerState.DRAINING,
            "reboot": PowerState.REBOOTING,
            "return": PowerState.SERVING,
        }[action]
        self.put(power.instance_id, state=state, generation=generation)


class FakeMembership:
    """Hold members, of which the own one has all duties, and the instances down."""

    def __init__(self, name: str = "entry-1", data_centre: str = "dc1") -> None:
        self._own = build_member(name, data_centre)
        self.others: list[Member] = []
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.gone: set[tuple[str, int]] = set()
        self.duty = True

    @property
    def own(self) -> Member:
        return self._own

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        known = (self._own, *self.others)
        return tuple(
            member for member in known if data_centre in (None, member.data_centre)
        )

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        return tuple(
            member
            for member in self.members(data_centre)
            if member.status is MemberStatus.ALIVE
        )

    def owns_duty(self, duty: str, holders: int = 1) -> bool:
        return self.duty

    def is_instance_eligible(self, instance_id: str) -> bool:
        return instance_id not in self.down

    def suspended_instances(self) -> frozenset[str]:
        return frozenset(self.down)

    def restart(self) -> None:
        """Become a new incarnation under the same name."""
        self._own = build_member(
            self._own.name, self._own.data_centre, incarnation=self._own.incarnation + 1
        )

    def is_gone(self, name: str, start: int) -> bool:
        return (name, start) in self.gone

    def is_unreachable(self, data_centre: str) -> bool:
        return data_centre in self.silent

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        sent_at: float | None = None,
    ) -> None:
        if healthy:
            self.down.discard(instance_id)
        else:
            self.down.add(instance_id)

    async def async_announce_leaving(self) -> None:
        return None


def build_member(
    name: str,
    data_centre: str = "dc1",
    status: MemberStatus = MemberStatus.ALIVE,
    incarnation: int = 1,
) -> Member:
    """Return a member."""
    return Member(name, data_centre, "127.0.0.1:1", incarnation, status)
