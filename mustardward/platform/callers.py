"""Name what callers send, and decode and encode their bodies."""

from __future__ import annotations

import re
from typing import Final

import msgspec

from .exceptions import MalformedJobError
from .models import SubmittedJob
from .names import ROOT

READINESS_PATH: Final = f"{ROOT}/readiness"
HEADER_DEADLINE_MS: Final = "Mustardward-Deadline-Ms"
MOST_SPEC_BYTES: Final = 4000

STATE_QUEUED: Final = "queued"
STATE_RUNNING: Final = "running"
STATE_DONE: Final = "done"
STATE_FAILED: Final = "failed"
STATE_CANCELLED: Final = "cancelled"

_JOB_ID: Final = re.compile(r"[0-9a-fA-F]{16}")


def is_job_id(text: str) -> bool:
    """Return whether a path's last part can name a job."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(body: bytes) -> SubmittedJob:
    """Return a submitted job.

    :raises MalformedJobError: saying what is wrong with it.
    """
    try:
        job = msgspec.json.decode(body, type=SubmittedJob)
    except msgspec.MsgspecError as error:
        raise MalformedJobError(str(error)) from error
    if len(job.spec.encode()) > MOST_SPEC_BYTES:
        raise MalformedJobError("spec is too long")
    if not job.steps:
        raise MalformedJobError("steps is empty")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise MalformedJobError(f"steps[{number}].count is below 1")
        if any(earlier < 0 or earlier >= number for earlier in step.after):
            raise MalformedJobError(f"steps[{number}].after names no earlier step")
    return job


def encode_state(state: str) -> bytes:
    """Return the body that tells a job's state."""
    return msgspec.json.encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Return the body that tells how many jobs wait."""
    return msgspec.json.encode({"pending": count})


def encode_error(code: str, detail: str) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode({"error": code, "detail": detail})
