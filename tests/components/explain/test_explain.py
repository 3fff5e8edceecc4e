"""Test merging the history of a subject from several entries."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from mustardward.components.api.routes import ApiRequest
from mustardward.components.explain import api, async_setup
from mustardward.components.explain.merge import merge_lines
from mustardward.components.explain.models import DecisionMade, HistoryLine, SubjectKind
from mustardward.components.explain.store import HistoryStore
from mustardward.components.keys import EXPLAINER, FLEET_LOG, MEMBERSHIP, PEERS
from mustardward.core import Core
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Acceptance, RecordOutcome, RevisionConflictError
from mustardward.state.models.maintenance import (
    AbsenceChange,
    ReportAbsences,
    TakeClaim,
)
from mustardward.state.models.pools import AddInstance, Instance, RequestMove
from mustardward.state.models.pools import TransferInstance as Transfer
from mustardward.state.models.templates import Parameters, PublishTemplate
from tests.builders import build_record
from tests.fakes.explanations import (
    FakeFleetLog,
    FakeMembership,
    FakePeers,
    build_core,
    build_member,
)

pytestmark = pytest.mark.anyio


def outcome(body: object, offset: int, refused: bool = False) -> RecordOutcome:
    envelope = build_record(body, record_id=f"record-{offset}")
    result = (
        Failure(RevisionConflictError("seen=1 now=2"))
        if refused
        else Success(Acceptance((), offset))
    )
    return RecordOutcome(offset, envelope, body, result)


def test_refused_record_has_its_cause() -> None:
    store = HistoryStore("entry-1")
    claim = TakeClaim("wave-1", "worker-1", "entry-1", 1)
    store.add_outcome("fleet", outcome(claim, 4, refused=True), 10.0)
    for kind, name in (("instance", "worker-1"), ("wave", "wave-1")):
        (line,) = store.lines(kind, name)
        assert line.happening == "claim.take refused"
        assert line.cause == "revision-conflict: seen=1 now=2"


def test_coalesced_report_shows_only_the_change_of_the_subject() -> None:
    store = HistoryStore("entry-1")
    report = ReportAbsences(
        "bergen",
        (
            AbsenceChange("worker-1", False, 3, "failed"),
            AbsenceChange("worker-2", True, 9, "returned"),
        ),
    )
    store.add_outcome("fleet", outcome(report, 1), 10.0)
    (line,) = store.lines("instance", "worker-1")
    assert "cause=failed" in line.inputs and "boot=3" in line.inputs
    assert "boot=9" not in line.inputs


def test_transfer_is_attributed_to_the_instance_of_its_move() -> None:
    store = HistoryStore("entry-1")
    store.add_outcome("fleet", outcome(RequestMove("m", "worker-1", "casting"), 1), 1.0)
    store.add_outcome("fleet", outcome(Transfer("m"), 2), 2.0)
    happenings = [line.happening for line in store.lines("instance", "worker-1")]
    assert happenings == ["move.request accepted", "move.transfer accepted"]


def test_template_change_is_attributed_to_its_organisations() -> None:
    store = HistoryStore("entry-1")
    template = PublishTemplate("standard", Parameters())
    accepted = Success(Acceptance(("template:standard", "organisation:dairy"), 3))
    record = RecordOutcome(3, build_record(template), template, accepted)
    store.add_outcome("fleet", record, 1.0)
    (line,) = store.lines("organisation", "dairy")
    assert line.happening == "template.publish accepted"


def test_store_limits_subjects_and_lines() -> None:
    store = HistoryStore("entry-1", max_subjects=2, max_lines=3)
    for number in range(5):
        store.add_decision(DecisionMade("job", "a", f"step-{number}", "test"), 1.0)
    for name in ("b", "c"):
        store.add_decision(DecisionMade("job", name, "step", "test"), 1.0)
    assert store.lines("job", "a") == ()
    assert len(store.lines("job", "b")) == 1
    for number in range(5):
        store.add_decision(DecisionMade("job", "c", f"step-{number}", "test"), 1.0)
    assert [line.happening for line in store.lines("job", "c")] == [
        "step-2",
        "step-3",
        "step-4",
    ]


def test_records_keep_log_order_when_clocks_differ() -> None:
    """Guard against a history that shows the reboot before the drain.

    Sorting by time alone does this when the only entry that kept the later record has
    a clock that is behind.
    """
    drain = HistoryLine(
        100.0, "a", "drain", "", stream="fleet", offset=1, record_id="r1"
    )
    reboot = HistoryLine(
        40.0, "b", "reboot", "", stream="fleet", offset=2, record_id="r2"
    )
    merged = merge_lines([[drain], [reboot]])
    assert [line.happening for line in merged] == ["drain", "reboot"]


def test_record_applied_by_every_entry_is_returned_once() -> None:
    lines = [
        HistoryLine(float(at), "x", "add", "", stream="fleet", offset=0, record_id="r")
        for at in (3, 2, 5)
    ]
    assert [line.at for line in merge_lines([[line] for line in lines])] == [2.0]


async def test_history_is_merged_and_names_missing_parts() -> None:
    """Guard against an incomplete history that looks complete.

    One entry is unreachable and one data centre has no entry that responds; a merge
    that silently omits their parts hides this from the operator.
    """
    network: dict[str, FakePeers] = {}
    members = [build_member(f"entry-{number}") for number in (1, 2, 3)]
    cores: list[Core] = []
    for member in members[:2]:
        core = build_core(member.name)
        others = [item for item in members if item != member]
        state = FleetState()
        state.instances["w"] = Instance("w", "voss", "r", "a", "p", 1)
        core.put(FLEET_LOG, FakeFleetLog(state))  # type: ignore[arg-type]
        core.put(PEERS, FakePeers(member.name, network))  # type: ignore[arg-type]
        core.put(MEMBERSHIP, FakeMembership(member, *others))  # type: ignore[arg-type]
        await async_setup(core)
        cores.append(core)
        core.events.publish(
            DecisionMade("instance", "w", f"noted-by-{member.name}", "test")
        )
    history = await cores[0].get(EXPLAINER).async_get_history("instance", "w")
    assert {line.happening for line in history.lines} == {
        "noted-by-entry-1",
        "noted-by-entry-2",
    }
    assert history.missing_entries == ("entry-3",)
    assert history.missing_data_centres == ("voss",)


async def test_route_returns_applied_records_and_rejects_unknown_kinds() -> None:
    core = build_core()
    log = FakeFleetLog()
    core.put(FLEET_LOG, log)  # type: ignore[arg-type]
    unload = await async_setup(core)
    log.deliver(outcome(AddInstance("w", "bergen", "r", "a", "p"), 0))
    request = ApiRequest(core, "operator", {"kind": "instance", "subject_id": "w"}, {})
    response = await api.async_get_history(request)
    assert response.body["lines"][0]["happening"] == "instance.add accepted"
    unknown = ApiRequest(core, "operator", {"kind": "planet", "subject_id": "w"}, {})
    with pytest.raises(api.UnknownSubjectKindError):
        await api.async_get_history(unknown)
    await unload()
    log.deliver(outcome(AddInstance("x", "bergen", "r", "a", "p"), 1))
    assert core.find(EXPLAINER) is None


def test_values_of_subject_kinds() -> None:
    assert {str(kind) for kind in SubjectKind} == {
        "instance",
        "wave",
        "job",
        "organisation",
    }
