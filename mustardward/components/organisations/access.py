"""Decide who may call a queue, and whose jobs a caller sees; pure."""

from __future__ import annotations

from ...platform.models import Queue
from ..configuration.routing import queue_key
from ..ledger.models import JobRecord
from .keys import KeyTable
from .models import ANYBODY, Caller


def identify(table: KeyTable, queue: Queue, key: str) -> Caller | None:
    """Return who calls a queue with a key, or None if nobody may who shows it.

    A public queue takes anybody. Who shows a known key there calls for its
    organisation all the same, so that its quota holds.
    """
    organisation = table.find(key)
    if organisation is not None:
        return Caller(organisation.name)
    if queue.public or not table.in_use:
        return ANYBODY
    return None


def may_see(caller: Caller, queue: Queue, record: JobRecord) -> bool:
    """Return whether a caller of a queue may ask for a job, or cancel it.

    A job belongs to the organisation that handed it in. One that came over a public
    queue is open to all callers of that queue, also after a change of its owner's keys;
    one that nobody is named for is open to all who may call here, for its queue may
    have been public then.
    """
    if not record.organisation or record.organisation == caller.organisation:
        return True
    return queue.public and record.queue == queue_key(queue)
