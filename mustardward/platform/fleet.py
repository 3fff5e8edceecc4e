"""Call the platform's fleet service: list, move and maintain instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from ..helpers.http_connection import HttpResponse
from ..helpers.unreadable_records import report_unreadable_record
from . import names
from .bodies import ListedBody, MaintainBody, MoveBody, RefusedBody
from .exceptions import (
    RECORD_ERRORS,
    CallRefusedError,
    CallUnknownError,
    FencedError,
    UnreadableRecordError,
)
from .http import HttpCaller
from .models import Instance
from .pages import decode_page

FLEET_TIMEOUT_SECONDS: Final = 1.5


@dataclass(frozen=True, slots=True)
class FleetPage:
    """Page of the instance list.

    :param complete: whether all rows could be decoded. Otherwise the absence of a
        worker from the list does not prove that it is gone.
    :param next_token: token of the next page; empty if this is the last one.
    """

    instances: list[Instance]
    complete: bool
    next_token: str


def _decode_row(raw: msgspec.Raw) -> Instance | None:
    try:
        row = msgspec.json.decode(raw, type=Instance)
        if min(row.capacity.cpu, row.capacity.mem_mb, row.capacity.gpu) < 0:
            raise UnreadableRecordError("capacity is negative")
    except RECORD_ERRORS as error:
        report_unreadable_record("instance", "", str(error))
        return None
    return row


class FleetClient:
    """Client of the fleet service, on behalf of one owner.

    :param holder: the owner's name, which identifies it to the service.
    """

    def __init__(self, http: HttpCaller, address: str, holder: str) -> None:
        self._http = http
        self._base = f"http://{address}"
        self._holder = holder

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        """Return a page of the list of instances.

        :param token: ``next_token`` of the previous page; empty for the first page.
        :raises CallRefusedError: if the page could not be read.
        """
        body = await self._async_get_page(token)
        rows = [_decode_row(raw) for raw in body.machines]
        instances = [row for row in rows if row is not None]
        complete = len(instances) == len(rows)
        return FleetPage(instances, complete, body.next_token or "")

    async def async_move(self, machine: str, pool: str, token: int) -> None:
        """Move an instance to another pool; all runs on it end at once.

        :raises CallRefusedError: if it did not move.
        :raises CallUnknownError: if it may have moved.
        :raises FencedError: if a newer owner acted on it.
        """
        await self._async_send_command(
            names.MACHINE_MOVE, MoveBody(machine, pool), token
        )

    async def async_maintain(self, machine: str, wave: int, token: int) -> None:
        """Start an instance's maintenance; all runs on it end at once.

        :raises CallRefusedError: if it did not start.
        :raises CallUnknownError: if it may have started.
        :raises FencedError: if a newer owner acted on it.
        """
        await self._async_send_command(
            names.MACHINE_UPKEEP, MaintainBody(machine, wave), token
        )

    async def _async_get_page(self, token: str) -> ListedBody:
        params = {names.PARAM_PAGE: token} if token else None
        try:
            response = await self._http.async_call(
                "GET",
                self._base + names.MACHINES,
                params=params,
                timeout_seconds=FLEET_TIMEOUT_SECONDS,
            )
            if response.status != 200:
                raise CallRefusedError(f"status={response.status}")
            return decode_page(response.body, ListedBody, "machines")
        except (CallUnknownError, *RECORD_ERRORS) as error:
            raise CallRefusedError(str(error)) from error

    async def _async_send_command(
        self, call: str, body: msgspec.Struct, token: int
    ) -> None:
        response = await self._http.async_call(
            "POST",
            self._base + call,
            body=msgspec.json.encode(body),
            headers={
                names.HEADER_HOLDER: self._holder,
                names.HEADER_TOKEN: str(token),
                "Content-Type": "application/json",
            },
            timeout_seconds=FLEET_TIMEOUT_SECONDS,
        )
        if response.status == 200:
            return
        reason = _decode_reason(response)
        if response.status == 409 and reason == names.REASON_FENCE:
            raise FencedError(call)
        if response.status in (400, 409, 429, 503):
            raise CallRefusedError(f"status={response.status} reason={reason}")
        raise CallUnknownError(f"status={response.status}")


def _decode_reason(response: HttpResponse) -> str:
    try:
        return msgspec.json.decode(response.body, type=RefusedBody).reason
    except RECORD_ERRORS:
        return ""
