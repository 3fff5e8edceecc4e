"""Tell stories of subjects from the parts of several entries."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from mustardward.components.api.routes import ApiRequest
from mustardward.components.explain import api, async_setup
from mustardward.components.explain.merge import merge_lines
from mustardward.components.explain.models import DecisionMade, StoryLine, SubjectKind
from mustardward.components.explain.store import StoryStore
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


def test_a_refused_record_is_told_with_its_cause() -> None:
    store = StoryStore("entry-1")
    claim = TakeClaim("wave-1", "worker-1", "entry-1", 1)
    store.add_outcome("fleet", outcome(claim, 4, refused=True), 10.0)
    for kind, name in (("instance", "worker-1"), ("wave", "wave-1")):
        (line,) = store.lines(kind, name)
        assert line.happening == "claim.take refused"
        assert line.cause == "revision-conflict: seen=1 now=2"


def test_of_a_coalesced_report_only_the_own_change_is_told() -> None:
    store = StoryStore("entry-1")
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


def test_a_transfer_that_names_only_the_move_is_told_of_the_instance() -> None:
    store = StoryStore("entry-1")
    store.add_outcome("fleet", outcome(RequestMove("m", "worker-1", "casting"), 1), 1.0)
    store.add_outcome("fleet", outcome(Transfer("m"), 2), 2.0)
    told = [line.happening for line in store.lines("instance", "worker-1")]
    assert told == ["move.request accepted", "move.transfer accepted"]


def test_organisations_that_a_template_changes_are_told() -> None:
    store = StoryStore("entry-1")
    template = PublishTemplate("standard", Parameters())
    accepted = Success(Acceptance(("template:standard", "organisation:dairy"), 3))
    record = RecordOutcome(3, build_record(template), template, accepted)
    store.add_outcome("fleet", record, 1.0)
    (line,) = store.lines("organisation", "dairy")
    assert line.happening == "template.publish accepted"


def test_the_store_is_bounded_in_subjects_and_lines() -> None:
    store = StoryStore("entry-1", maximum_subjects=2, maximum_lines=3)
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


def test_records_keep_the_order_of_the_log_when_clocks_differ() -> None:
    """Tell the log's order.

    Symptom: a story shows the reboot before the drain. Sequence: one entry, whose
    clock is behind, alone kept the later record. Cause: lines sorted by time alone.
    """
    drain = StoryLine(100.0, "a", "drain", "", stream="fleet", offset=1, record_id="r1")
    reboot = StoryLine(
        40.0, "b", "reboot", "", stream="fleet", offset=2, record_id="r2"
    )
    merged = merge_lines([[drain], [reboot]])
    assert [line.happening for line in merged] == ["drain", "reboot"]


def test_a_record_that_every_entry_folded_is_told_once() -> None:
    lines = [
        StoryLine(float(at), "x", "add", "", stream="fleet", offset=0, record_id="r")
        for at in (3, 2, 5)
    ]
    assert [line.at for line in merge_lines([[line] for line in lines])] == [2.0]


async def test_the_story_is_merged_and_says_whose_part_is_missing() -> None:
    """Say what is not known.

    Symptom: an operator takes half a story for the whole one. Sequence: one entry
    cannot be reached and a data centre has none that answers. Cause: a merge that
    leaves the missing parts out without a word.
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
    story = await cores[0].get(EXPLAINER).async_tell("instance", "w")
    assert {line.happening for line in story.lines} == {
        "noted-by-entry-1",
        "noted-by-entry-2",
    }
    assert story.missing_entries == ("entry-3",)
    assert story.missing_data_centres == ("voss",)


async def test_the_route_tells_folded_records_and_refuses_unknown_kinds() -> None:
    core = build_core()
    log = FakeFleetLog()
    core.put(FLEET_LOG, log)  # type: ignore[arg-type]
    unload = await async_setup(core)
    log.deliver(outcome(AddInstance("w", "bergen", "r", "a", "p"), 0))
    request = ApiRequest(core, "operator", {"kind": "instance", "subject_id": "w"}, {})
    answer = await api.async_get_story(request)
    assert answer.body["lines"][0]["happening"] == "instance.add accepted"
    unknown = ApiRequest(core, "operator", {"kind": "planet", "subject_id": "w"}, {})
    with pytest.raises(api.UnknownSubjectKindError):
        await api.async_get_story(unknown)
    await unload()
    log.deliver(outcome(AddInstance("x", "bergen", "r", "a", "p"), 1))
    assert core.find(EXPLAINER) is None


def test_every_kind_of_subject_has_its_word() -> None:
    assert {str(kind) for kind in SubjectKind} == {
        "instance",
        "wave",
        "job",
        "organisation",
    }
