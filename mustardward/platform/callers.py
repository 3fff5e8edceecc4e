"""Define callers' headers and limits, and decode and encode their bodies."""

from __future__ import annotations

import re
from typing import Final

import msgspec

from .bodies import MAX_AMOUNT
from .exceptions import RECORD_ERRORS, MalformedJobError
from .models import SubmittedJob, SubmittedStep
from .names import ROOT

READINESS_PATH: Final = f"{ROOT}/readiness"
HEADER_DEADLINE_MS: Final = "Mustardward-Deadline-Ms"
HEADER_KEY: Final = "Authorization"
MAX_KEY_LENGTH: Final = 256
"""Longer values are rejected without comparing them to any key."""
MAX_SPEC_BYTES: Final = 4000
MAX_TASKS: Final = 100_000
"""Maximum tasks of a step."""

STATE_QUEUED: Final = "queued"
STATE_RUNNING: Final = "running"
STATE_DONE: Final = "done"
STATE_FAILED: Final = "failed"
STATE_CANCELLED: Final = "cancelled"

MAX_GANG_MEMBERS: Final = 4096
"""Most tasks of a gang: they have to start within seconds of each other, and an owner
plans and sends a thousand starts in a second."""

JOB_ID_LENGTH: Final = 16
_JOB_ID: Final = re.compile(rf"[0-9a-fA-F]{{{JOB_ID_LENGTH}}}")
_KEY_SCHEME: Final = "token"


def is_job_id(text: str) -> bool:
    """Return whether a text has the format of a job id."""
    return _JOB_ID.fullmatch(text) is not None


def decode_key(header: str) -> str:
    """Return the API key in an Authorization header, or an empty string."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _KEY_SCHEME or len(key) > MAX_KEY_LENGTH:
        return ""
    return key


def decode_job(body: bytes) -> SubmittedJob:
    """Return the decoded and validated job.

    :raises MalformedJobError: if it is malformed or exceeds a limit.
    """
    try:
        job = msgspec.json.decode(body, type=SubmittedJob)
    except RECORD_ERRORS as error:
        raise MalformedJobError(str(error)) from error
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise MalformedJobError("spec is too long")
    if not job.steps:
        raise MalformedJobError("steps is empty")
    check_times(job.times, job.start_at_ms, job.interval_ms)
    check_steps(job.steps)
    _check_gangs(job.steps)
    return job


def check_times(times: int, start_at_ms: float, interval_ms: float) -> None:
    """Check when a job's occurrences are due.

    :raises MalformedJobError: if a number can't be calculated with.
    """
    if not _is_amount(times, start_at_ms, interval_ms):
        raise MalformedJobError("times, interval or start is no usable number")


def check_steps(steps: list[SubmittedStep]) -> None:
    """Check the count, dependencies and amounts of each step.

    A negative CPU request would give a worker more capacity than it has, and a run time
    of 1e308 ms ends the owner by an overflow.

    :raises MalformedJobError: if a step is invalid; names the step.
    """
    for number, step in enumerate(steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise MalformedJobError(f"steps[{number}].count is not 1 to {MAX_TASKS}")
        if any(earlier < 0 or earlier >= number for earlier in step.after):
            raise MalformedJobError(f"steps[{number}].after names no earlier step")
        amounts = (step.cpu, step.mem_mb, step.gpu, step.max_per_server, step.may_miss)
        if not _is_amount(*amounts, step.estimate_ms, step.target_ms):
            raise MalformedJobError(
                f"steps[{number}] has an amount that is not 0 to {MAX_AMOUNT}"
            )


def _check_gangs(steps: list[SubmittedStep]) -> None:
    """Check that the members of each gang can be started together.

    :raises MalformedJobError: if there are too many; names the step.
    """
    for number, step in enumerate(steps):
        if step.gang and step.count > MAX_GANG_MEMBERS:
            raise MalformedJobError(
                f"steps[{number}].count of a gang is not 1 to {MAX_GANG_MEMBERS}"
            )


def _is_amount(*values: float) -> bool:
    return all(0 <= value <= MAX_AMOUNT for value in values)


def encode_state(state: str) -> bytes:
    """Return the response body with a job's state."""
    return msgspec.json.encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Return the response body with the number of pending jobs."""
    return msgspec.json.encode({"pending": count})


def encode_error(code: str, detail: str) -> bytes:
    """Return the body of an error response."""
    return msgspec.json.encode({"error": code, "detail": detail})
