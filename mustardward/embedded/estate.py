"""Run entries against the simulated platform of the users, in one process."""

from __future__ import annotations

import secrets
import socket
from collections.abc import AsyncIterator, Callable, Sequence
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
MAX_POLLS: Final = 1200
CALL_TIMEOUT_SECONDS: Final = 3.0


class NotReachedError(MustardwardError):
    """Raised when a condition was not met in time."""

    code = "not-reached"


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true.

    :raises NotReachedError: if it is not true within a minute.
    """
    for _ in range(MAX_POLLS):
        if condition():
            return
        await anyio.sleep(POLL_SECONDS)
    raise NotReachedError("the condition never held")


@dataclass(slots=True, eq=False)
class RunningNode:
    """A running entry and the scope that cancels it."""

    boot: BootSettings
    node: Node
    scope: anyio.CancelScope
    alive: bool = True
    closed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def name(self) -> str:
        """Return the entry's name."""
        return self.boot.node

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.boot.listen.front}"

    def kill(self) -> None:
        """Cancel the entry without a graceful shutdown, as on power loss."""
        self.alive = False
        self.scope.cancel()


@dataclass(slots=True, eq=False)
class EstateFleet:
    """A platform, its entries and an HTTP client for callers.

    :param queues: pool by path prefix.
    """

    estate: Estate
    tasks: TaskGroup
    client: httpx.AsyncClient
    queues: dict[str, str]
    nodes: list[RunningNode] = field(default_factory=list)

    async def async_add_node(self) -> RunningNode:
        """Start an entry."""
        name = f"entry-{len(self.nodes) + 1}"
        front_port, ready_port, peer_port = _free_ports(3)
        boot = BootSettings(
            node=name,
            ip=HOST,
            zone="z1",
            listen=BootListen(
                front=f"{HOST}:{front_port}", ready=f"{HOST}:{ready_port}"
            ),
            platform=BootStore(address=self.estate.address),
            cloud=BootFleet(address=self.estate.address),
            port_range=(peer_port, peer_port),
        )
        running = await self._async_start(boot)
        self.nodes.append(running)
        return running

    def power_off(self, nodes: Sequence[RunningNode] = ()) -> None:
        """Let entries lose power at one moment, all of them by default."""
        for node in nodes or self.alive_nodes():
            node.kill()

    async def async_power_on(self) -> None:
        """Start the entries that lost power, under their names and addresses."""
        for number, node in enumerate(self.nodes):
            if not node.alive:
                await node.closed.wait()
                self.nodes[number] = await self._async_start(node.boot)

    async def _async_start(self, boot: BootSettings) -> RunningNode:
        started = anyio.Event()
        running: list[RunningNode] = []

        async def async_run() -> None:
            async with anyio.create_task_group() as tasks:
                node = Node(boot, tasks)
                running.append(RunningNode(boot, node, tasks.cancel_scope))
                try:
                    await node.async_start()
                    started.set()
                    await anyio.sleep_forever()
                finally:
                    with anyio.CancelScope(shield=True):
                        await node.async_close()
                        running[0].closed.set()

        self.tasks.start_soon(async_run)
        await started.wait()
        return running[0]

    async def async_wait_ready(self) -> None:
        """Wait until all entries are ready and one owns the shard."""
        await async_until(
            lambda: bool(self.owner()) and all(n.node.ready for n in self.alive_nodes())
        )

    def alive_nodes(self) -> list[RunningNode]:
        """Return the entries that were not killed."""
        return [node for node in self.nodes if node.alive]

    def owner(self) -> RunningNode | None:
        """Return the entry that owns the shard, or None."""
        return next((node for node in self.alive_nodes() if node.node.is_owner), None)

    async def async_submit(
        self, prefix: str, steps: list[SubmittedStep], spec: str = "work"
    ) -> str:
        """Submit a job at any entry, retry until accepted, and return its path."""
        path = prefix + secrets.token_hex(8)
        body = msgspec.json.encode(SubmittedJob(spec, steps))
        while True:
            for node in self.alive_nodes():
                response = await self._async_call("POST", node, path, body)
                if response is not None and response.status_code == 200:
                    return path
            await anyio.sleep(POLL_SECONDS)

    async def async_get_state(self, path: str) -> str:
        """Return a job's state from the first entry that responds."""
        for node in self.alive_nodes():
            response = await self._async_call("GET", node, path)
            if response is not None and response.status_code == 200:
                return str(response.json()["state"])
        return ""

    async def async_cancel(self, path: str) -> None:
        """Cancel a job."""
        await self._async_call("DELETE", self.alive_nodes()[0], path)

    async def async_wait_state(self, path: str, state: str) -> None:
        """Wait until any entry reports a state of a job."""
        for _ in range(MAX_POLLS):
            if await self.async_get_state(path) == state:
                return
            await anyio.sleep(POLL_SECONDS)
        raise NotReachedError(f"path={path} state={state}")

    async def _async_call(
        self, method: str, node: RunningNode, path: str, body: bytes = b""
    ) -> httpx.Response | None:
        try:
            return await self.client.request(
                method,
                node.url + path,
                content=body,
                headers={"Host": CALLERS_HOST},
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except httpx.TransportError:
            return None


@asynccontextmanager
async def async_run_estate_fleet(
    plan: EstatePlan, entries: int
) -> AsyncIterator[EstateFleet]:
    """Run a platform with entries until the block ends."""
    async with (
        async_run_estate(plan, HOST) as estate,
        async_run_entries(estate, plan, entries) as fleet,
    ):
        yield fleet


@asynccontextmanager
async def async_run_entries(
    estate: Estate, plan: EstatePlan, entries: int
) -> AsyncIterator[EstateFleet]:
    """Run entries on a platform, which may be in another thread."""
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
        for bound_socket in sockets:
            bound_socket.bind((HOST, 0))
        return [int(bound_socket.getsockname()[1]) for bound_socket in sockets]
    finally:
        for bound_socket in sockets:
            bound_socket.close()
