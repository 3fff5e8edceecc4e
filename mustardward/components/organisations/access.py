"""Authorise calls to queues and access to jobs; pure."""

from __future__ import annotations

from ...platform.models import Queue
from ..configuration.routing import queue_key
from ..ledger.models import JobRecord
from .keys import ApiKeyTable
from .models import ANONYMOUS, Caller


def resolve_caller(api_keys: ApiKeyTable, queue: Queue, key: str) -> Caller | None:
    """Return the caller that an API key stands for, or None if it is unauthorised.

    A public queue accepts any caller. A known key counts for its organisation there
    too, so that the organisation's quota applies.
    """
    organisation = api_keys.find(key)
    if organisation is not None:
        return Caller(organisation.name)
    if queue.public or not api_keys.required:
        return ANONYMOUS
    return None


def may_access_job(caller: Caller, queue: Queue, record: JobRecord) -> bool:
    """Return whether a caller of a queue may read or cancel a job.

    A job belongs to the organisation that submitted it. A job submitted through a
    public queue is accessible to all callers of that queue, even after its owner's keys
    have changed. A job without an organisation is accessible to all callers that are
    authorised here, since its queue may have been public when it was submitted.
    """
    if not record.organisation or record.organisation == caller.organisation:
        return True
    return queue.public and record.queue == queue_key(queue)
