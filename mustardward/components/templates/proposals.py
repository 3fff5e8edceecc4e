"""Propose operators' changes to the fleet log and build their responses."""

from __future__ import annotations

from typing import Any, Final

from returns.result import Failure

from ...core import Core
from ...exceptions import NotReadyError
from ...state.fleet import FleetState
from ...state.fold import Acceptance
from ...state.records import NO_BASE
from ..api.routes import ApiRequest, ApiResponse
from ..keys import FLEET_LOG
from .exceptions import QueryInvalidError
from .progress import async_wait_until_in_force

PROPOSAL_TIMEOUT_SECONDS: Final = 5.0
OPERATOR_PRIORITY: Final = 1


def require_ready_state(core: Core) -> FleetState:
    """Return the state of the fleet log.

    :raises NotReadyError: if this entry has not caught up with the log yet.
    """
    # A newly started entry replays the log. An old revision shown meanwhile would look
    # as if the one in force had been reverted.
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
    """Propose a record and return its acceptance.

    :raises MustardwardError: if the record is refused or its outcome is unknown.
    """
    result = await request.core.get(FLEET_LOG).async_propose(
        body,
        actor=request.actor,
        base_revision=base_revision,
        record_id=record_id,
        timeout_seconds=PROPOSAL_TIMEOUT_SECONDS,
        priority=OPERATOR_PRIORITY,
    )
    if isinstance(result, Failure):
        raise result.failure()
    return result.unwrap()


async def async_build_response(
    core: Core, acceptance: Acceptance, template: str, wait_seconds: float
) -> ApiResponse:
    """Return the response for an accepted change.

    :param wait_seconds: longest time to wait until the change is in force everywhere.
    """
    required_offset = core.get(FLEET_LOG).next_offset
    body: dict[str, Any] = {
        "revision": acceptance.revision,
        "fleet_offset": required_offset,
        "subjects": list(acceptance.subjects),
    }
    if wait_seconds <= 0:
        return ApiResponse(body)
    behind = await async_wait_until_in_force(
        core, template, required_offset, wait_seconds
    )
    body["in_force"] = not behind
    body["behind"] = [item.entry for item in behind]
    return ApiResponse(body)


def parse_integer(request: ApiRequest, name: str, default: int) -> int:
    """Return a query parameter as an integer.

    :raises QueryInvalidError: if it is not a non-negative integer.
    """
    text = request.query.get(name, "")
    if not text:
        return default
    if not text.isdecimal():
        raise QueryInvalidError(f"{name}={text} is not a whole number")
    return int(text)
