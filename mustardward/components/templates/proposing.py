"""Propose operators' changes and say how far they got."""

from __future__ import annotations

from typing import Any, Final

from returns.result import Failure

from ...core import Core
from ...exceptions import NotReadyError
from ...state.fleet import FleetState
from ...state.fold import Acceptance
from ...state.records import NO_BASE
from ..api.routes import ApiAnswer, ApiRequest
from ..keys import FLEET_LOG
from .exceptions import QueryInvalidError
from .progress import async_wait_in_force

PROPOSAL_SECONDS: Final = 5.0
OPERATOR_PRIORITY: Final = 1


def ready_state(core: Core) -> FleetState:
    """Return the folded state to show.

    :raises NotReadyError: if this entry has not caught up with the log yet.
    """
    # An entry that has just started folds the past at first. Shown meanwhile, an old
    # revision would look as if the one in force had been reverted.
    log = core.get(FLEET_LOG)
    if not log.ready:
        raise NotReadyError("still reading the log")
    return log.state


async def async_propose(
    request: ApiRequest,
    body: Any,
    base_revision: int = NO_BASE,
    record_id: str | None = None,
) -> Acceptance:
    """Return the acceptance.

    :raises MustardwardError: why the fold refused the record, or why its fate is
        not known.
    """
    result = await request.core.get(FLEET_LOG).async_propose(
        body,
        actor=request.actor,
        base_revision=base_revision,
        record_id=record_id,
        timeout_seconds=PROPOSAL_SECONDS,
        priority=OPERATOR_PRIORITY,
    )
    if isinstance(result, Failure):
        raise result.failure()
    return result.unwrap()


async def async_accepted(
    core: Core, acceptance: Acceptance, template: str, wait_seconds: float
) -> ApiAnswer:
    """Answer for an accepted change, waiting until it is in force if so asked."""
    wanted = core.get(FLEET_LOG).next_offset
    answer: dict[str, Any] = {
        "revision": acceptance.revision,
        "fleet_offset": wanted,
        "subjects": list(acceptance.subjects),
    }
    if wait_seconds <= 0:
        return ApiAnswer(answer)
    behind = await async_wait_in_force(core, template, wanted, wait_seconds)
    answer["in_force"] = not behind
    answer["behind"] = [item.entry for item in behind]
    return ApiAnswer(answer)


def whole_number(request: ApiRequest, name: str, default: int) -> int:
    """Return a query parameter.

    :raises QueryInvalidError: if it is not a whole number.
    """
    text = request.query.get(name, "")
    if not text:
        return default
    if not text.isdecimal():
        raise QueryInvalidError(f"{name}={text} is not a whole number")
    return int(text)
