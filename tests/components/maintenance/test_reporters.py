"""Test the reports of absences and data centre reachability."""

from __future__ import annotations

import pytest

from mustardward.components.maintenance.absence_reporter import AbsenceReporter
from mustardward.components.maintenance.reachability_reporter import (
    ReachabilityReporter,
)
from mustardward.components.maintenance.windows import is_window_open
from mustardward.standin.protocol.models import ListedInstance, ListedState, PowerState
from mustardward.state.models.maintenance import ReportAbsences, ReportSilence
from mustardward.state.models.templates import MaintenanceWindow
from tests.components.maintenance.harness import FIRST, SECOND, MaintenanceHarness

pytestmark = pytest.mark.anyio

DAY = 86_400
WEDNESDAY = 6 * DAY


class FakeInstanceList:
    """List the given instances."""

    def __init__(self, *names: str) -> None:
        self.names = set(names)

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        return tuple(
            ListedInstance(name, "worker", "dc1", "r", "", ListedState.LIVE, 1)
            for name in sorted(self.names)
        )


async def run_reporter(
    harness: MaintenanceHarness, reporter: AbsenceReporter, seconds: int
) -> None:
    for _ in range(seconds):
        await reporter.async_step()
        harness.timers.pause(1.0)


def reports(harness: MaintenanceHarness) -> list[ReportAbsences]:
    return [item for item in harness.log.proposed if isinstance(item, ReportAbsences)]


async def test_failures_and_returns_of_a_rack_are_batched() -> None:
    harness = MaintenanceHarness()
    reporter = AbsenceReporter(harness.dependencies(), None)
    for name in (FIRST, SECOND):
        harness.membership.down.add(name)
        harness.power.put(name, state=PowerState.DOWN)
    await run_reporter(harness, reporter, 8)
    assert [len(item.changes) for item in reports(harness)] == [2]
    assert set(harness.driver.state.absences) == {FIRST, SECOND}
    harness.membership.down.clear()
    for name in (FIRST, SECOND):
        harness.power.put(name, state=PowerState.SERVING, boot=2)
    await run_reporter(harness, reporter, 12)
    assert harness.driver.state.absences == {}
    assert len(reports(harness)) == 2


async def test_short_suspicion_is_not_reported() -> None:
    harness = MaintenanceHarness()
    reporter = AbsenceReporter(harness.dependencies(), None)
    harness.membership.down.add(FIRST)
    await run_reporter(harness, reporter, 2)
    harness.membership.down.clear()
    await run_reporter(harness, reporter, 8)
    assert reports(harness) == []


async def test_unlisted_instance_is_checked() -> None:
    harness = MaintenanceHarness()
    listing = FakeInstanceList(*harness.driver.state.instances)
    listing.names.discard(FIRST)
    reporter = AbsenceReporter(harness.dependencies(), listing)
    await run_reporter(harness, reporter, 20)
    assert reports(harness) == []
    harness.power.put(FIRST, state=PowerState.DOWN)
    await run_reporter(harness, reporter, 2)
    assert set(harness.driver.state.absences) == {FIRST}


async def test_returns_of_an_unreachable_instance_back_off() -> None:
    """Guard against thousands of absence records per day for one instance.

    The platform lists the instance as serving, but no entry node reaches it. It is
    reported returned, its work fails, and it is reported absent again. Each round has
    to take longer than the one before.
    """
    harness = MaintenanceHarness()
    reporter = AbsenceReporter(harness.dependencies(), None)
    harness.membership.down.add(FIRST)
    await run_reporter(harness, reporter, 3600)
    assert 4 <= len(reports(harness)) <= 30


async def test_instance_left_drained_by_a_dead_executor_is_returned() -> None:
    """Guard against an instance that never serves again although it is unclaimed.

    The claim is released or the move is cancelled in the log, and the executor stops
    before it returns the instance through the platform.
    """
    harness = MaintenanceHarness()
    harness.driver.run_wave()
    harness.power.put(FIRST, state=PowerState.DRAINED, generation=1)
    harness.membership.down.add(FIRST)
    reporter = AbsenceReporter(harness.dependencies(), None)
    await run_reporter(harness, reporter, 6)
    assert harness.power.held[FIRST].state is PowerState.SERVING


async def test_instance_drained_by_the_platform_is_not_returned() -> None:
    harness = MaintenanceHarness()
    harness.power.put(FIRST, state=PowerState.DRAINED, generation=0)
    harness.membership.down.add(FIRST)
    reporter = AbsenceReporter(harness.dependencies(), None)
    await run_reporter(harness, reporter, 6)
    assert harness.power.held[FIRST].state is PowerState.DRAINED
    assert harness.driver.state.absences[FIRST].cause == "leaving"


async def test_partitioned_data_centres_do_not_report_alternately() -> None:
    """Guard against reachability records that fill the log during a partition.

    Each side reaches the log, observes the other as unreachable and itself as
    reachable, and would contradict the last record of the other side.
    """
    harness = MaintenanceHarness()
    harness.driver.state.instances[SECOND].data_centre = "dc2"
    reporter = ReachabilityReporter(harness.dependencies())
    harness.log.listen(reporter.handle_outcome)
    harness.membership.silent.add("dc2")
    await reporter.async_step()
    assert harness.driver.state.silent == {"dc2"}
    await harness.log.async_propose(ReportSilence("dc2", False), actor="entry-9")
    for _ in range(60):
        await reporter.async_step()
        harness.timers.pause(1.0)
    assert harness.driver.state.silent == set()
    harness.timers.pause(600.0)
    await reporter.async_step()
    assert harness.driver.state.silent == {"dc2"}


async def test_data_centre_reports_itself_reachable() -> None:
    harness = MaintenanceHarness()
    harness.driver.accept(ReportSilence("dc1", True))
    reporter = ReachabilityReporter(harness.dependencies())
    harness.log.tail_age = 60.0
    await reporter.async_step()
    assert harness.driver.state.silent == {"dc1"}
    harness.log.tail_age = 0.0
    await reporter.async_step()
    assert harness.driver.state.silent == set()


@pytest.mark.parametrize(
    ("wall", "expected"),
    [
        (WEDNESDAY + 23 * 3600, True),
        (WEDNESDAY + DAY + 3600, True),
        (WEDNESDAY + DAY + 3 * 3600, False),
        (WEDNESDAY + 22 * 3600 - 1, False),
        (WEDNESDAY + DAY + 23 * 3600, False),
    ],
)
async def test_window_may_extend_past_midnight(wall: float, expected: bool) -> None:
    window = MaintenanceWindow(22 * 3600, 4 * 3600, weekdays=(2,))
    assert is_window_open(window, wall) is expected
