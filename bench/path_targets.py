"""Run the processes that ``bench.path`` measures: worker, pass-through, entry."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from importlib import import_module
from typing import Any, cast

import anyio
import httpx

from mustardward.cli.serve import async_serve
from mustardward.components.keys import DRAIN, FLEET_LOG, MEMBERSHIP
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.membership.protocols import Membership
from mustardward.core import Core, Unload
from mustardward.helpers.listener import HttpListener, ListenerOptions
from mustardward.helpers.log_output import set_up_logging
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    Settings,
)
from mustardward.state.fleet import FleetState
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    ServiceBinding,
)
from mustardward.state.protocols import FleetLog

BODY = b"x" * 512
WORKERS = 4
PATH_DOMAINS = ("templates", "routing", "limits", "retries", "entry")
_HOP_BY_HOP = (b"connection", b"keep-alive", b"transfer-encoding")


class WorkerProtocol(asyncio.Protocol):
    """Answer requests without a body as fast as Python can."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each whole head."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, self._buffer = self._buffer[:end], self._buffer[end + 4 :]
            start = head.find(b"mw-attempt-id: ")
            line = head[start : head.find(b"\r\n", start)] if start >= 0 else b"x: y"
            self._transport.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n%s\r\n"
                b"content-length: %d\r\n\r\n%s" % (line, len(BODY), BODY)
            )


async def async_worker() -> None:
    """Run the worker."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(WorkerProtocol, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


class PassThrough:
    """Pass requests on with hypercorn and httpx, and do nothing else."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        limits = httpx.Limits(max_connections=64, max_keepalive_connections=64)
        self._client = httpx.AsyncClient(limits=limits, trust_env=False)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Pass one request on."""
        if scope["type"] != "http":
            raise NotImplementedError
        request = httpx.Request(
            scope["method"],
            self._base + scope["raw_path"].decode(),
            headers=[item for item in scope["headers"] if item[0] != b"connection"],
            content=await _async_body(receive),
        )
        answer = await self._client.send(request, stream=True)
        headers = [
            (name.lower(), value)
            for name, value in answer.headers.raw
            if name.lower() not in _HOP_BY_HOP
        ]
        await send(
            {
                "type": "http.response.start",
                "status": answer.status_code,
                "headers": headers,
            }
        )
        async for chunk in answer.aiter_raw():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await answer.aclose()
        await send({"type": "http.response.body", "body": b""})


async def _async_body(receive: Callable[[], Awaitable[dict[str, Any]]]) -> bytes:
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def async_pass_through(address: str) -> None:
    """Run the pass-through."""
    async with anyio.create_task_group() as tasks:
        listener = HttpListener(PassThrough(address), Listener(port=0), _OPTIONS)
        listener.start(tasks)
        print(listener.port, flush=True)


_OPTIONS = ListenerOptions()


class StaticFleet:
    """Hold a folded state that never changes."""

    ready = True
    sequence = 1

    def __init__(self, address: str) -> None:
        self.state = FleetState()
        parameters = Parameters(services=(ServiceBinding("quotes", "pool-1"),))
        self.state.organisations["derwent"] = Organisation(
            "derwent", "small", 1, 1, Overrides(), parameters
        )
        for number in range(WORKERS):
            instance_id = f"worker-{number}"
            self.state.instances[instance_id] = Instance(
                instance_id, "dc-a", f"rack-{number}", address, "pool-1", 1
            )

    def tail_age_seconds(self) -> float:
        """Be always up to date."""
        return 0.0

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        """Be always at the tail."""
        return True

    def listen(self, listener: Callable[[Any], None]) -> Callable[[], None]:
        """Tell of nothing."""
        return lambda: None


class LoneMembership:
    """Know one entry, and every worker as well."""

    own = Member("entry-1", "dc-a", "127.0.0.1:1", 1, MemberStatus.ALIVE)

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the one entry."""
        return (self.own,)

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Let every worker get work."""
        return True

    def report_instance(self, instance_id: str, healthy: bool, cause: str) -> None:
        """Do nothing."""

    async def async_announce_leaving(self) -> None:
        """Do nothing."""


async def _async_setup_path(address: str, core: Core) -> list[Unload]:
    """Set up the parts of the request path as an entry does, on a given state."""
    core.put(FLEET_LOG, cast(FleetLog, StaticFleet(address)))
    core.put(MEMBERSHIP, cast(Membership, LoneMembership()))
    unloads = [
        await import_module(f"mustardward.components.{domain}").async_setup(core)
        for domain in PATH_DOMAINS
    ]
    _print_port(core)
    return unloads[::-1]


def _print_port(core: Core) -> None:
    print(core.get(DRAIN).listener.port, flush=True)


async def async_entry(address: str) -> None:
    """Run an entry whose one worker is given."""
    settings = Settings(
        entry=EntryIdentity(name="entry-1", data_centre="dc-a", leaving_seconds=0.0),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    set_up_logging()
    await async_serve(settings, partial(_async_setup_path, address))


def main() -> None:
    """Run the role named on the command line."""
    role, *rest = sys.argv[1:]
    roles: dict[str, Callable[..., Awaitable[None]]] = {
        "worker": async_worker,
        "pass": async_pass_through,
        "entry": async_entry,
    }
    anyio.run(roles[role], *rest)


if __name__ == "__main__":
    main()
