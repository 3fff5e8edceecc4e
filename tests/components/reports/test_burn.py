"""Test counting requests and merging the counts of entries."""

from __future__ import annotations

import json
from dataclasses import asdict, replace

import pytest

from mustardward.components.api.routes import ApiRequest
from mustardward.components.entry.models import Ran, RequestFinished
from mustardward.components.keys import BURN_REPORTER, FLEET_LOG, MEMBERSHIP, PEERS
from mustardward.components.reports import api, async_setup
from mustardward.components.reports.burn import burn_rate, compute_report, merge_parts
from mustardward.components.reports.models import BurnPart, Coverage
from mustardward.components.reports.request_counters import (
    RequestCounters,
    failure_cause,
)
from mustardward.core import Core
from mustardward.state.fleet import FleetState
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import Objectives, Urgency
from tests.fakes.explanations import (
    FakeFleetLog,
    FakeMembership,
    FakePeers,
    build_core,
    build_member,
)

pytestmark = pytest.mark.anyio

DAY = 86_400.0


def build_finished(
    status: int = 200, cause: str = "", latency: float = 0.01
) -> RequestFinished:
    return RequestFinished(
        "r", "dairy", "climate", Urgency.URGENT, status, Ran.YES, latency, 1, cause
    )


def build_part(
    counters: RequestCounters, now: float, entry: str = "entry-1"
) -> BurnPart:
    coverage = Coverage(entry, "bergen", counters.covered_seconds(now))
    parts = tuple(counters.part(name, now) for name in counters.names())
    return BurnPart((coverage,), parts)


def test_windows_exclude_older_requests() -> None:
    counters = RequestCounters(0.0)
    for at in (0.0, DAY - 5000.0, DAY - 400.0, DAY - 10.0):
        counters.record(build_finished(503, "refusal"), 0.5, at)
    part = counters.part("dairy", DAY)
    assert {name: counts.refusal for name, counts in part.windows.items()} == {
        "5m": 1,
        "1h": 2,
        "6h": 3,
        "3d": 4,
    }
    later = counters.part("dairy", 5 * DAY)
    assert all(counts.total == 0 for counts in later.windows.values())


def test_causes_are_counted_separately_and_client_errors_spend_no_budget() -> None:
    counters = RequestCounters(0.0)
    causes = ("refusal", "wave", "failure", "neighbour", "worker", "")
    for cause in causes:
        counters.record(build_finished(503, cause), 0.5, 1.0)
    counters.record(build_finished(404), 0.5, 1.0)
    counters.record(build_finished(200, latency=0.9), 0.5, 1.0)
    part = counters.part("dairy", 2.0)
    counts = part.windows["5m"]
    assert (counts.total, counts.failed, counts.slow) == (8, 6, 1)
    assert (counts.wave, counts.neighbour, counts.other) == (1, 1, 1)
    assert failure_cause(build_finished(500, "unheard-of")) == "other"


def test_merged_parts_equal_the_counts_of_one_entry() -> None:
    whole, first, second = (
        RequestCounters(0.0),
        RequestCounters(0.0),
        RequestCounters(0.0),
    )
    for number in range(400):
        event = build_finished(
            503 if number % 40 == 0 else 200,
            "wave" if number % 40 == 0 else "",
            0.001 * (number + 1),
        )
        for counters in (whole, first if number % 3 else second):
            counters.record(event, 0.3, float(number))
    merged = merge_parts(
        [build_part(first, 400.0), build_part(second, 400.0, "entry-2")]
    )
    expected = merge_parts([build_part(whole, 400.0)])
    objectives = {"dairy": Objectives(success_share=0.99, latency_seconds=0.3)}
    burn = compute_report(merged, objectives, 0.0)
    reference = compute_report(expected, objectives, 0.0)
    assert burn.organisations == reference.organisations
    assert burn.organisations[0].windows[1].error_burn_rate == pytest.approx(2.5)
    assert burn.organisations[0].median_seconds == pytest.approx(0.2, rel=0.03)


def test_burn_rates() -> None:
    assert burn_rate(0, 100, 0.999) == 0.0
    assert burn_rate(1, 1000, 0.999) == pytest.approx(1.0)
    assert burn_rate(20, 1000, 0.999) == pytest.approx(20.0)
    assert burn_rate(3, 1000, 1.0) == 3.0


def test_coverage_of_recently_started_entries() -> None:
    """Guard against a window without counts that looks like one without failures.

    When every entry is replaced, counting restarts, and the error budget appears
    unspent on the day after a bad one.
    """
    old = replace(build_part(RequestCounters(0.0), 3 * DAY), organisations=())
    young = replace(
        build_part(RequestCounters(2.7 * DAY), 3 * DAY, "entry-2"), organisations=()
    )
    report = compute_report(merge_parts([old, young]), {"dairy": Objectives()}, 0.0)
    covered = {item.window: item.covered for item in report.organisations[0].windows}
    assert covered["6h"] == 1.0
    assert covered["3d"] == pytest.approx(0.55)


async def build_entry(
    name: str, data_centre: str, network: dict[str, FakePeers]
) -> Core:
    members = [
        build_member("bergen-1"),
        build_member("bergen-2"),
        build_member("voss-1", "voss"),
        build_member("voss-2", "voss"),
    ]
    own = next(item for item in members if item.name == name)
    core = build_core(name, data_centre)
    state = FleetState()
    state.instances["w"] = Instance("w", "odda", "r", "a", "p", 1)
    core.put(FLEET_LOG, FakeFleetLog(state))  # type: ignore[arg-type]
    core.put(PEERS, FakePeers(name, network))  # type: ignore[arg-type]
    others = [item for item in members if item != own]
    core.put(MEMBERSHIP, FakeMembership(own, *others))  # type: ignore[arg-type]
    await async_setup(core)
    core.events.publish(build_finished(503, "failure"))
    return core


async def test_report_sums_all_data_centres_and_names_missing_parts() -> None:
    """Guard against a report that shows half the burn during a network partition.

    One data centre is unreachable, another has no known entry, and one entry is down;
    parts that are silently omitted make the report look complete.
    """
    network: dict[str, FakePeers] = {}
    cores = [
        await build_entry("bergen-1", "bergen", network),
        await build_entry("voss-1", "voss", network),
        await build_entry("voss-2", "voss", network),
    ]
    response = await api.async_get_burn(ApiRequest(cores[0], "operator", {}, {}))
    body = json.loads(json.dumps(response.body))
    assert body["missing_entries"] == ["bergen-2"]
    assert body["missing_data_centres"] == ["odda"]
    assert body["complete"] is False
    (dairy,) = body["organisations"]
    assert dairy["windows"][0]["causes"]["failure"] == 3

    network["bergen-1"].unreachable |= {"voss-1"}
    report = await cores[0].get(BURN_REPORTER).async_report("dairy")
    assert report.organisations[0].windows[0].failed == 3

    network["bergen-1"].unreachable |= {"voss-2"}
    report = await cores[0].get(BURN_REPORTER).async_report("dairy")
    assert report.missing_data_centres == ("odda", "voss")
    assert report.organisations[0].windows[0].failed == 1
    assert asdict(report)["entries"] == 1
