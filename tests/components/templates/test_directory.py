"""Test organisation lookup and the routes for templates against fakes."""

from __future__ import annotations

from typing import Any

import anyio
import pytest
from pydantic import ValidationError
from returns.result import Failure

from mustardward.components.api.routes import ApiRequest, ApiResponse
from mustardward.components.entry.models import Ran
from mustardward.components.membership.models import MemberStatus
from mustardward.components.templates import api, fleet_api, organisations_api
from mustardward.components.templates.api_models import (
    InstancesModel,
    OrganisationModel,
    ParametersModel,
    PublishModel,
)
from mustardward.components.templates.directory import StateDirectory
from mustardward.components.templates.exceptions import TemplateUnknownError
from mustardward.core import Core
from mustardward.exceptions import MustardwardError, NotReadyError
from mustardward.state.fold import RevisionConflictError
from mustardward.state.models.pools import AddInstance
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    PublishTemplate,
    PutOrganisation,
    Quota,
    ServiceBinding,
    TemplateRevision,
    Urgency,
)

from ...fakes.templates import (
    FakeFleetLog,
    FakePeers,
    async_directory_core,
    build_member,
)

pytestmark = pytest.mark.anyio

BINDING = ServiceBinding("climate", "cellar", Urgency.URGENT)


def build_log() -> FakeFleetLog:
    log = FakeFleetLog()
    parameters = Parameters(services=(BINDING,))
    log.state.templates["cellar"] = [
        TemplateRevision("cellar", revision, offset, parameters)
        for revision, offset in ((2, 3), (4, 8))
    ]
    log.state.organisations["dairy"] = Organisation(
        "dairy", "cellar", 4, 5, Overrides(), parameters
    )
    return log


def build_request(core: Core, model: Any = None, **path: str) -> ApiRequest:
    return ApiRequest(core, "operator", path, {}, model)


async def async_call_handler(
    log: FakeFleetLog, peers: FakePeers, handler: Any, model: Any = None, **path: str
) -> ApiResponse:
    """Call a handler in a cluster of two live entries and a suspect one."""
    members = [
        build_member("entry-1"),
        build_member("entry-2"),
        build_member("entry-3", MemberStatus.SUSPECT),
    ]
    # A task group would wrap an exception of the handler in a group, so it is raised
    # outside the task group.
    outcome: ApiResponse | MustardwardError
    async with async_directory_core(log, members, peers) as core:
        try:
            outcome = await handler(build_request(core, model, **path))
        except MustardwardError as error:
            outcome = error
    if isinstance(outcome, MustardwardError):
        raise outcome
    return outcome


async def async_start_publishing(core: Core, wait_seconds: float) -> list[ApiResponse]:
    """Start to publish and return the list that receives the response."""
    model = PublishModel(parameters=ParametersModel(), wait_seconds=wait_seconds)
    responses: list[ApiResponse] = []

    async def publish() -> None:
        request = build_request(core, model, name="cellar")
        responses.append(await api.async_publish(request))

    core.tasks.start_soon(publish)
    await anyio.wait_all_tasks_blocked()
    return responses


def test_service_resolves_to_its_binding() -> None:
    found = StateDirectory(build_log()).resolve("dairy", "climate").unwrap()
    assert found.binding == BINDING
    assert found.organisation.name == "dairy"


@pytest.mark.parametrize(
    ("organisation", "service", "code"),
    [
        ("nobody", "climate", "organisation-unknown"),
        ("dairy", "etching", "service-unknown"),
    ],
)
def test_unknown_names_are_refused_as_not_run(
    organisation: str, service: str, code: str
) -> None:
    refusal = StateDirectory(build_log()).resolve(organisation, service).failure()
    assert (refusal.code, refusal.status, refusal.ran) == (code, 404, Ran.NO)


def test_entry_without_state_refuses_as_not_ready() -> None:
    """Guard against a caller told that its existing organisation is unknown.

    A new entry accepts requests before it has read the log, and its empty state holds
    no organisation. The caller has to be able to retry elsewhere.
    """
    log = build_log()
    log.ready = False
    refusal = StateDirectory(log).resolve("dairy", "climate").failure()
    assert (refusal.code, refusal.status, refusal.ran) == ("not-ready", 503, Ran.NO)
    assert refusal.retry_after_seconds


async def test_publishing_proposes_parameters_with_the_base_revision() -> None:
    log = build_log()
    model = PublishModel.model_validate(
        {
            "parameters": {
                "services": [{"service": "climate", "pool": "cellar"}],
                "quota": {"concurrency": 7},
            },
            "base_revision": 4,
            "record_id": "wish-1",
        }
    )
    response = await async_call_handler(
        log, FakePeers({}), api.async_publish, model, name="cellar"
    )
    [proposal] = log.proposals
    expected = Parameters(
        services=(ServiceBinding("climate", "cellar"),), quota=Quota(concurrency=7)
    )
    assert proposal.body == PublishTemplate("cellar", expected)
    assert (proposal.base_revision, proposal.record_id) == (4, "wish-1")
    assert response.body["revision"] == 6


async def test_outdated_base_revision_is_a_conflict() -> None:
    """Guard against a change that is overwritten without notice.

    Two operators revise the same base; if both succeed, the second change replaces the
    first one.
    """
    log = build_log()
    log.result = Failure(RevisionConflictError("base=2 current=4"))
    model = PublishModel(parameters=ParametersModel(), base_revision=2)
    with pytest.raises(RevisionConflictError):
        await async_call_handler(
            log, FakePeers({}), api.async_publish, model, name="cellar"
        )


async def test_publishing_waits_for_every_live_entry() -> None:
    """Guard against a change reported as in force while an entry is behind.

    If publishing waits for most entries only, a request to the remaining one still
    gets the old template.
    """
    peers = FakePeers({"entry-2": 9, "entry-3": -1})
    members = [build_member("entry-1"), build_member("entry-2")]
    async with async_directory_core(build_log(), members, peers) as core:
        responses = await async_start_publishing(core, 5.0)
        await core.timers.async_advance(1.0)  # type: ignore[attr-defined]
        before = list(responses)
        peers.offsets["entry-2"] = 10
        await core.timers.async_advance(0.1)  # type: ignore[attr-defined]
        await anyio.wait_all_tasks_blocked()
    assert before == []
    assert responses[0].body["in_force"] is True
    assert responses[0].body["behind"] == []


async def test_entry_that_stays_behind_is_named() -> None:
    peers = FakePeers({"entry-2": 9, "entry-3": -1})
    members = [build_member("entry-1"), build_member("entry-2")]
    async with async_directory_core(build_log(), members, peers) as core:
        responses = await async_start_publishing(core, 0.01)
        await core.timers.async_advance(1.0)  # type: ignore[attr-defined]
        await anyio.wait_all_tasks_blocked()
    assert responses[0].body["in_force"] is False
    assert responses[0].body["behind"] == ["entry-2"]


async def test_status_names_the_revision_of_each_entry() -> None:
    peers = FakePeers({"entry-2": 9, "entry-3": -1}, {"entry-2": 2})
    response = await async_call_handler(
        build_log(), peers, api.async_status, name="cellar"
    )
    entries = {item["entry"]: item for item in response.body["entries"]}
    assert response.body["in_force_everywhere"] is False
    assert (entries["entry-1"]["revision"], entries["entry-1"]["in_force"]) == (4, True)
    assert entries["entry-2"]["in_force"] is False
    assert entries["entry-3"]["answered"] is False


async def test_history_is_newest_first_and_unknown_names_are_refused() -> None:
    log = build_log()
    history = await async_call_handler(
        log, FakePeers({}), api.async_history, name="cellar"
    )
    with pytest.raises(TemplateUnknownError):
        await async_call_handler(log, FakePeers({}), api.async_show, name="attic")
    assert [item["revision"] for item in history.body] == [4, 2]


@pytest.mark.parametrize(
    ("handler", "name"),
    [
        (api.async_list, ""),
        (api.async_show, "cellar"),
        (api.async_history, "cellar"),
        (organisations_api.async_list, ""),
        (organisations_api.async_show, "dairy"),
    ],
)
async def test_entry_that_replays_the_log_shows_nothing(
    handler: Any, name: str
) -> None:
    """Guard against a configuration that seems to be reverted.

    A replaced entry replays the log from its beginning. If it shows its state before
    it has caught up, an operator sees an old revision after a newer one.
    """
    log = build_log()
    log.ready = False
    with pytest.raises(NotReadyError):
        await async_call_handler(log, FakePeers({}), handler, name=name)


async def test_organisation_stores_only_its_overrides() -> None:
    log = build_log()
    model = OrganisationModel.model_validate(
        {"template": "cellar", "overrides": {"headroom": 0.25}}
    )
    await async_call_handler(
        log, FakePeers({}), organisations_api.async_put, model, name="dairy"
    )
    assert log.proposals[0].body == PutOrganisation(
        "dairy", "cellar", Overrides(headroom=0.25)
    )


async def test_each_instance_gets_its_own_outcome() -> None:
    log = build_log()
    log.result = Failure(RevisionConflictError("taken"))
    instance = {
        "instance_id": "worker-1",
        "data_centre": "dc-1",
        "rack": "rack-1",
        "address": "10.0.0.1:80",
        "pool": "cellar",
    }
    model = InstancesModel.model_validate({"instances": [instance]})
    response = await async_call_handler(
        log, FakePeers({}), fleet_api.async_add_instances, model
    )
    assert response.status == 207
    assert response.body["outcomes"][0]["error"] == "revision-conflict"
    assert log.proposals[0].body == AddInstance(**instance)


@pytest.mark.parametrize(
    "parameters",
    [
        {"minimum_available": 1.5},
        {"headrom": 0.1},
        {"services": [{"service": "Climate!", "pool": "cellar"}]},
        {"windows": [{"start_second": 90_000, "length_seconds": 1}]},
    ],
)
def test_invalid_parameters_are_rejected(parameters: Any) -> None:
    with pytest.raises(ValidationError):
        ParametersModel.model_validate(parameters)


@pytest.mark.parametrize("address", ["worker:80", "10.0.0.1", "10.0.0.256:80", "::1:0"])
def test_address_without_ip_or_port_is_rejected(address: str) -> None:
    instance = {
        "instance_id": "worker-1",
        "data_centre": "dc-1",
        "rack": "rack-1",
        "address": address,
        "pool": "cellar",
    }
    with pytest.raises(ValidationError):
        InstancesModel.model_validate({"instances": [instance]})
