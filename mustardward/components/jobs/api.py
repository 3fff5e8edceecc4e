"""Expose the operator API to submit, inspect, cancel and retry jobs."""

from __future__ import annotations

import base64
import binascii
from dataclasses import fields
from typing import Any, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure, Result

from ...exceptions import MustardwardError
from ...state.handlers.work_errors import (
    JobIdTakenError,
    JobStateError,
    JobUnknownError,
)
from ..api.problems import problem_status_code
from ..api.routes import ApiRequest, ApiResponse, api_route
from ..keys import JOBS, WORK_LOG
from .errors import (
    JobBindingError,
    JobPayloadError,
    JobQuotaError,
    JobStoreFullError,
    JobTooLargeError,
    JobUnplaceableError,
)
from .models import JobView, Submission

T = TypeVar("T")

NAME_PATTERN: Final = r"^[a-zA-Z0-9][a-zA-Z0-9._-]*$"


for _error, _status in (
    (JobUnknownError, 404),
    (JobBindingError, 404),
    (JobIdTakenError, 409),
    (JobStateError, 409),
    (JobPayloadError, 400),
    (JobTooLargeError, 413),
    (JobUnplaceableError, 422),
    (JobQuotaError, 429),
    (JobStoreFullError, 429),
):
    problem_status_code(_status)(_error)


class SubmitModel(BaseModel):
    """Validate a submission; ``payload`` is text, or base64 if ``base64`` says so."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: str = Field(min_length=1, max_length=64)
    service: str = Field(min_length=1, max_length=64)
    payload: str = ""
    base64: bool = False
    job_id: str = Field(default="", max_length=64, pattern=r"^[a-zA-Z0-9._-]*$")
    group: str = Field(default="", max_length=64, pattern=r"^[a-zA-Z0-9._-]*$")
    idempotent: bool = True
    cores: int = Field(default=1, ge=1, le=65_536)
    memory_gigabytes: int = Field(default=1, ge=0, le=1_048_576)
    accelerators: int = Field(default=0, ge=0, le=65_536)
    declared_seconds: float = Field(default=60.0, gt=0, le=31_536_000)


class CancelGroupModel(BaseModel):
    """Validate the name of a group whose jobs are cancelled."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: str = Field(min_length=1, max_length=64)
    group: str = Field(min_length=1, max_length=64, pattern=NAME_PATTERN)


@api_route("POST", "/jobs", "Submit a long job", SubmitModel)
async def async_submit(request: ApiRequest) -> ApiResponse:
    """Submit a job and return its view once it is durable."""
    model: SubmitModel = request.model
    submission = Submission(
        organisation=model.organisation,
        service=model.service,
        payload=_payload(model),
        job_id=model.job_id,
        group=model.group,
        idempotent=model.idempotent,
        cores=model.cores,
        memory_gigabytes=model.memory_gigabytes,
        accelerators=model.accelerators,
        declared_seconds=model.declared_seconds,
    )
    service = request.core.get(JOBS)
    view = _or_raise(await service.async_submit(submission, request.actor))
    return ApiResponse(view_to_json(view), status=202)


@api_route("GET", "/jobs", "List the jobs that wait for an operator, with counts")
async def async_list(request: ApiRequest) -> ApiResponse:
    """Return the parked and held jobs, and unfinished job counts by organisation."""
    views = request.core.get(JOBS).stuck()
    counts = request.core.get(WORK_LOG).state.open_jobs
    body = {
        "stuck": [view_to_json(view) for view in views],
        "unfinished": dict(sorted(counts.items())),
    }
    return ApiResponse(body)


@api_route("GET", "/jobs/{job_id}", "Show a job")
async def async_show(request: ApiRequest) -> ApiResponse:
    """Return a job's status."""
    return ApiResponse(view_to_json(_view(request)))


@api_route("GET", "/jobs/{job_id}/result", "Return a finished job's result")
async def async_result(request: ApiRequest) -> ApiResponse:
    """Return a job with its result, which is empty until the job is done."""
    view = _view(request)
    body = view_to_json(view)
    body["result_base64"] = base64.b64encode(view.result).decode()
    return ApiResponse(body, status=200 if view.status == "done" else 202)


@api_route("POST", "/jobs/{job_id}/cancel", "Cancel a job")
async def async_cancel(request: ApiRequest) -> ApiResponse:
    """Cancel one job; a running one is stopped asynchronously."""
    view = _view(request)
    service = request.core.get(JOBS)
    _or_raise(
        await service.async_cancel(view.organisation, view.job_id, "", request.actor)
    )
    return ApiResponse(view_to_json(_view(request)))


@api_route("POST", "/job-groups/cancel", "Cancel a group of jobs", CancelGroupModel)
async def async_cancel_group(request: ApiRequest) -> ApiResponse:
    """Cancel all unfinished jobs of a group with one log record."""
    model: CancelGroupModel = request.model
    service = request.core.get(JOBS)
    note = _or_raise(
        await service.async_cancel(model.organisation, "", model.group, request.actor)
    )
    return ApiResponse({"group": model.group, "note": note})


@api_route("POST", "/jobs/{job_id}/retry", "Let a parked or held job run again")
async def async_retry(request: ApiRequest) -> ApiResponse:
    """Let a parked or held job run again on an operator's decision."""
    service = request.core.get(JOBS)
    view = _or_raise(await service.async_retry(request.path["job_id"], request.actor))
    return ApiResponse(view_to_json(view))


def view_to_json(view: JobView) -> dict[str, Any]:
    """Return a view as JSON-compatible values, without the result."""
    body = {item.name: getattr(view, item.name) for item in fields(view)}
    del body["result"]
    body["failed_workers"] = list(view.failed_workers)
    return body


def _view(request: ApiRequest) -> JobView:
    return _or_raise(request.core.get(JOBS).status(request.path["job_id"]))


def _or_raise(result: Result[T, MustardwardError]) -> T:
    if isinstance(result, Failure):
        raise result.failure()
    return result.unwrap()


def _payload(model: SubmitModel) -> bytes:
    if not model.base64:
        return model.payload.encode()
    try:
        return base64.b64decode(model.payload, validate=True)
    except binascii.Error as error:
        raise JobPayloadError(str(error)) from error
