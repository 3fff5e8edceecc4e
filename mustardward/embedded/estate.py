"""Run entries of the users' platform against its stand-in, in one process."""

from __future__ import annotations

import secrets
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from ..exceptions import MustardwardError
from ..node.app import Node
from ..platform.boot import BootFleet, BootListen, BootSettings, BootStore
from ..platform.models import SubmittedJob, SubmittedStep
from ..standin.estate.app import async_run_estate
from ..standin.estate.estate import Estate, EstatePlan

HOST: Final = "127.0.0.1"
CALLERS_HOST: Final = "calls.example"
POLL_SECONDS: Final = 0.05
MOST_POLLS: Final = 1200
CALL_SECONDS: Final = 3.0


class NotReachedError(MustardwardError):
    """Report that what was waited for did not come about."""

    code = "not-reached"


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises NotReachedError: if it does not within a minute.
    """
    for _ in range(MOST_POLLS):
        if condition():
            return
        await anyio.sleep(POLL_SECONDS)
    raise NotReachedError("the condition never held")


@dataclass(slots=True, eq=False)
class RunningNode:
    """Hold one entry and the scope that ends it at once."""

    name: str
    front: str
    node: Node
    scope: anyio.CancelScope
    alive: bool = True

    def kill(self) -> None:
        """End the entry without any farewell, as a loss of power would."""
        self.alive = False
        self.scope.cancel()


@dataclass(slots=True, eq=False)
class EstateFleet:
    """Hold a platform, entries on it, and a caller.

    :param queues: the pool of each path prefix.
    """

    estate: Estate
    tasks: TaskGroup
    client: httpx.AsyncClient
    queues: dict[str, str]
    nodes: list[RunningNode] = field(default_factory=list)

    async def async_add_node(self) -> RunningNode:
        """Start an entry."""
        name = f"entry-{len(self.nodes) + 1}"
        front, ready, peer = _free_ports(3)
        boot = BootSettings(
            node=name,
            ip=HOST,
            zone="z1",
            listen=BootListen(front=f"{HOST}:{front}", ready=f"{HOST}:{ready}"),
            platform=BootStore(address=self.estate.address),
            cloud=BootFleet(address=self.estate.address),
            port_range=(peer, peer),
        )
        started = anyio.Event()
        running: list[RunningNode] = []

        async def async_run() -> None:
            async with anyio.create_task_group() as tasks:
                node = Node(boot, tasks)
                address = f"http://{HOST}:{front}"
                running.append(RunningNode(name, address, node, tasks.cancel_scope))
                try:
                    await node.async_start()
                    started.set()
                    await anyio.sleep_forever()
                finally:
                    with anyio.CancelScope(shield=True):
                        await node.async_close()

        self.tasks.start_soon(async_run)
        await started.wait()
        self.nodes.append(running[0])
        return running[0]

    async def async_wait_ready(self) -> None:
        """Wait until all entries are ready and one owns the shard."""
        await async_until(
            lambda: bool(self.owner()) and all(n.node.ready for n in self.alive())
        )

    def alive(self) -> list[RunningNode]:
        """Return the entries that run."""
        return [node for node in self.nodes if node.alive]

    def owner(self) -> RunningNode | None:
        """Return the entry that owns the shard."""
        return next((node for node in self.alive() if node.node.is_owner), None)

    async def async_submit(
        self, prefix: str, steps: list[SubmittedStep], spec: str = "work"
    ) -> str:
        """Hand a job in at any entry, again until it is accepted; return its path."""
        path = prefix + secrets.token_hex(8)
        body = msgspec.json.encode(SubmittedJob(spec, steps))
        while True:
            for node in self.alive():
                answer = await self._async_call("POST", node, path, body)
                if answer is not None and answer.status_code == 200:
                    return path
            await anyio.sleep(POLL_SECONDS)

    async def async_state(self, path: str) -> str:
        """Return a job's state as the first entry that answers tells it."""
        for node in self.alive():
            answer = await self._async_call("GET", node, path)
            if answer is not None and answer.status_code == 200:
                return str(answer.json()["state"])
        return ""

    async def async_wait_state_at(
        self, node: RunningNode, path: str, state: str
    ) -> None:
        """Wait until one entry tells that a job is in a state."""
        for _ in range(MOST_POLLS):
            answer = await self._async_call("GET", node, path)
            if answer is not None and answer.json().get("state") == state:
                return
            await anyio.sleep(POLL_SECONDS)
        raise NotReachedError(f"path={path} state={state} node={node.name}")

    async def async_cancel(self, path: str) -> None:
        """Cancel a job."""
        await self._async_call("DELETE", self.alive()[0], path)

    async def async_wait_state(self, path: str, state: str) -> None:
        """Wait until a job is told to be in a state."""
        for _ in range(MOST_POLLS):
            if await self.async_state(path) == state:
                return
            await anyio.sleep(POLL_SECONDS)
        raise NotReachedError(f"path={path} state={state}")

    async def _async_call(
        self, method: str, node: RunningNode, path: str, body: bytes = b""
    ) -> httpx.Response | None:
        try:
            return await self.client.request(
                method,
                node.front + path,
                content=body,
                headers={"Host": CALLERS_HOST},
                timeout=CALL_SECONDS,
            )
        except httpx.TransportError:
            return None


@asynccontextmanager
async def async_run_estate_fleet(
    plan: EstatePlan, entries: int
) -> AsyncIterator[EstateFleet]:
    """Run a platform and entries on it until the block ends."""
    async with (
        async_run_estate(plan, HOST) as estate,
        async_run_entries(estate, plan, entries) as fleet,
    ):
        yield fleet


@asynccontextmanager
async def async_run_entries(
    estate: Estate, plan: EstatePlan, entries: int
) -> AsyncIterator[EstateFleet]:
    """Run entries on a platform, which may run in another thread."""
    queues = {f"/{pool}/": pool for pool in plan.pools}
    async with httpx.AsyncClient() as client, anyio.create_task_group() as tasks:
        estate.publish_config(queues, CALLERS_HOST)
        fleet = EstateFleet(estate, tasks, client, queues)
        for _ in range(entries):
            await fleet.async_add_node()
        await fleet.async_wait_ready()
        yield fleet
        tasks.cancel_scope.cancel()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for held in sockets:
            held.bind((HOST, 0))
        return [int(held.getsockname()[1]) for held in sockets]
    finally:
        for held in sockets:
            held.close()
