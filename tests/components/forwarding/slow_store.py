"""Play entry nodes on a store with one slow partition, in virtual time."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import msgspec

from mustardward.components.configuration.services import Configuration
from mustardward.components.forwarding.failover import FailoverHandler
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.peer_selector import PeerSelector
from mustardward.components.forwarding.relay import StoreRelay
from mustardward.components.forwarding.services import Forwarder
from mustardward.components.front.models import Reply, Request
from mustardward.components.front.services import FrontService
from mustardward.components.ledger.append_watcher import AppendWatcher
from mustardward.components.ledger.appender import GroupAppender
from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_JOB,
    PREFIX_NODE,
    TOPIC,
    UNIQUE_ENTRY_PREFIXES,
    UNIQUE_OWNER_PREFIXES,
)
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.latency_probe import LatencyProbe
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import NodeRecord, OwnerRecord
from mustardward.components.ledger.store_latency import StoreLatency
from mustardward.helpers.http_connection import HttpResponse
from mustardward.helpers.timer import LoopTimerService
from mustardward.platform import names
from mustardward.platform.exceptions import CallUnknownError
from mustardward.platform.store import (
    TOPIC_OPERATOR,
    Producer,
    StoreClient,
    decode_keyed,
    encode_keyed,
)
from mustardward.standin.estate.store import MemoryStore
from tests.components.scheduling.liveness_virtual_time import VirtualTimeLoop

from ..front.builders import BODY, HOST, PREFIX, encode_config

ZONES = 4
SPEEDS = (0.4, 2.0, 1.0, 0.6, 1.5, 0.8, 0.5)
PEER_SECONDS = 0.002
CALLER_SECONDS = 3.0
RENEWAL_SECONDS = 0.4
START_SPREAD_SECONDS = 0.047
"""Delay between the starts of two entries, whose reads must not be in step."""

_HEAD: Final = struct.Struct(">QQ")


def run_virtual(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function in virtual time."""
    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})


class VirtualTimers(LoopTimerService):
    """Take all clocks from the event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boottime = monotonic
    wall = monotonic


@dataclass(eq=False)
class Partition:
    """Answer the store's calls, and execute appends one at a time.

    :param slowness: how many times slower than usual the store is.
    :param executed: number of appends executed, repeated ones included.
    :param stored_at: time at which each key was last stored, in seconds.
    :param intervals: times between two stored renewals of the owner, in seconds.
    """

    slowness: float = 1.0
    losing_responses: bool = False
    losing_appends: bool = False
    down: bool = False
    store: MemoryStore = field(default_factory=MemoryStore)
    executed: int = 0
    stored_at: dict[str, float] = field(default_factory=dict)
    intervals: list[float] = field(default_factory=list)
    _busy_until: float = 0.0
    _changed: anyio.Event = field(default_factory=anyio.Event)

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_seconds: float | None = None,
    ) -> HttpResponse:
        limit = min(timeout_seconds, read_timeout_seconds or timeout_seconds)
        try:
            with anyio.fail_after(limit):
                if self.down:
                    await anyio.sleep_forever()
                return await self._async_respond(url, params or {}, body)
        except TimeoutError as error:
            raise CallUnknownError("timeout") from error

    async def _async_respond(
        self, url: str, params: dict[str, str], body: bytes | None
    ) -> HttpResponse:
        topic = params[names.PARAM_TOPIC]
        if body is not None:
            return await self._async_append(topic, params, body)
        if url.endswith(names.LOG_NEWEST):
            return await self._async_newest(topic)
        offset = int(params[names.PARAM_FROM])
        with anyio.move_on_after(int(params[names.PARAM_WAIT]) / 1000):
            while self.store.topic_end(topic) <= offset:
                await self._changed.wait()
        records = self.store.records_from(topic, offset)
        end = self.store.topic_end(topic)
        await anyio.sleep(0.004 * self.slowness)
        pairs = [(record.key, record.value) for record in records]
        return HttpResponse(200, _HEAD.pack(end, offset) + encode_keyed(pairs))

    async def _async_newest(self, topic: str) -> HttpResponse:
        page = await self.store.async_read_newest(topic)
        items = [{"k": r.key, "o": r.offset, "v": r.value} for r in page.records]
        return HttpResponse(200, msgspec.json.encode({"items": items}))

    async def _async_append(
        self, topic: str, params: dict[str, str], body: bytes
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        if self.losing_appends:
            await anyio.sleep_forever()
        if self._busy_until > loop.time() + 2.0:
            await anyio.sleep(0.004 * self.slowness)
            return HttpResponse(503, b"")
        begin = max(loop.time(), self._busy_until)
        self._busy_until = begin + 0.001 * self.slowness
        records = decode_keyed(_HEAD.pack(0, 0) + body, 0).records
        producer = Producer(
            params[names.PARAM_PRODUCER],
            int(params[names.PARAM_EPOCH]),
            int(params[names.PARAM_SEQUENCE]),
        )
        pairs = [(record.key, record.value) for record in records]
        loop.call_at(self._busy_until, self._execute, topic, pairs, producer)
        await anyio.sleep(self._busy_until - loop.time() + 0.004 * self.slowness)
        if self.losing_responses:
            await anyio.sleep_forever()
        end = self.store.topic_end(topic)
        return HttpResponse(200, msgspec.json.encode({"offset": 0, "end": end}))

    def _execute(
        self, topic: str, pairs: list[tuple[str, bytes]], producer: Producer
    ) -> None:
        now = asyncio.get_running_loop().time()
        before = self.store.topic_end(topic)
        self.store.append(topic, pairs, producer)
        self.executed += 1
        if self.store.topic_end(topic) > before:
            for key, _ in pairs:
                if key == KEY_OWNER and key in self.stored_at:
                    self.intervals.append(now - self.stored_at[key])
                if key == KEY_OWNER or key not in self.stored_at:
                    self.stored_at[key] = now
        self._changed.set()
        self._changed = anyio.Event()


@dataclass(eq=False)
class _Link:
    """Connect an entry to the store, unless it is lost or cut off."""

    world: World
    name: str

    async def async_call(self, *args: Any, **options: Any) -> HttpResponse:
        world = self.world
        params = options.get("params") or {}
        if names.PARAM_PRODUCER in params:
            sequence = int(params[names.PARAM_SEQUENCE])
            world.calls.append((params[names.PARAM_PRODUCER], sequence))
        if self.name in world.lost | world.cut_off:
            limit = options.get("read_timeout_seconds") or options["timeout_seconds"]
            await anyio.sleep(limit)
            raise CallUnknownError("timeout")
        return await world.partition.async_call(*args, **options)


@dataclass(slots=True, eq=False)
class _LocalForwarder(Forwarder):
    """Call peers in this process; those that are cut off never answer."""

    world: Any = None
    name: str = ""

    async def _async_call(
        self, address: str, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        with anyio.fail_after(timeout_seconds):
            await anyio.sleep(PEER_SECONDS)
            peer = self.world.by_address[address]
            if {peer.name, self.name} & self.world.lost:
                await anyio.sleep_forever()
            reply: PeerReply = await peer.failover.async_answer_peer(request)
            if {peer.name, self.name} & self.world.lost:
                await anyio.sleep_forever()
            return reply


class Entry:
    """An entry node as the node sets it up, without listeners."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.name = name
        self.world = world
        timers = world.timers
        self.ledger = Ledger()
        configuration = Configuration()

        def build_forwarder() -> _LocalForwarder:
            book = PeerSelector(name, zone)
            return _LocalForwarder(self.ledger, timers, book, world=world, name=name)

        self.forwarder = build_forwarder()
        latency = self.latency = StoreLatency()
        link = _Link(world, name)
        direct = StoreClient(link, "store:1")
        relay = StoreRelay(
            link,  # type: ignore[arg-type]
            link,  # type: ignore[arg-type]
            "http://store:1",
            build_forwarder(),
            timers,
            lambda: direct.async_is_reachable(
                0.5 + latency.read_extension_seconds(timers.monotonic())
            ),
            latency,
        )
        self.probe = LatencyProbe(direct, timers, latency)
        store = StoreClient(relay, "store:1")

        def follow(topic: str, state: Any, interval: float) -> TopicFollower:
            entries = len(world.names)
            return TopicFollower(
                store,
                timers,
                topic,
                state.apply,
                state.keys,
                interval,
                entries=lambda: entries,
                node=name,
                scale_interval=topic == TOPIC,
                offset=0,
                up_to_date_at=timers.monotonic(),
                latency=latency,
            )

        self.follower = follow(TOPIC, self.ledger, 0.15)
        self.config_follower = follow(TOPIC_OPERATOR, configuration, 0.05)

        def build_appender(producer: str, prefixes: tuple[str, ...]) -> GroupAppender:
            watcher = AppendWatcher(self.follower.async_catch_up, prefixes)
            self.follower.record_listeners.append(watcher.observe)
            return GroupAppender(
                lambda records, by: store.async_append(TOPIC, records, by),
                timers,
                producer,
                epoch=1,
                sighting=watcher,
                latency=latency,
            )

        self.appender = build_appender(f"{name}/1", UNIQUE_ENTRY_PREFIXES)
        self.owner_appender = build_appender("owner/shard-0", UNIQUE_OWNER_PREFIXES)
        self.front = FrontService(
            timers,
            configuration,
            self.config_follower,
            self.ledger,
            self.follower,
            self.appender,
        )
        self.failover = FailoverHandler(
            self.front,
            self.forwarder,
            timers,
            relay,
            latency,
            lambda: name in world.draining,
        )

    async def async_run(self, delay_seconds: float) -> None:
        """Run the entry's background tasks from a moment of its own on."""
        await anyio.sleep(delay_seconds)
        tasks = self.world.tasks
        tasks.start_soon(self.follower.async_run)
        tasks.start_soon(self.config_follower.async_run)
        tasks.start_soon(self.appender.async_run)
        tasks.start_soon(self.owner_appender.async_run)
        tasks.start_soon(self.probe.async_run)

    async def async_post(
        self, job_id: str, seconds: float = CALLER_SECONDS, method: str = "POST"
    ) -> Reply:
        """Return the reply to a caller's request."""
        deadline = self.world.timers.monotonic() + seconds
        return await self.failover.async_answer(
            Request(method, HOST, PREFIX + job_id, BODY, deadline)
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of a submitted job.

    :param waited: seconds until its caller's reply.
    :param stored: seconds from the submission until the job was stored, or None.
    """

    status: int
    waited: float
    stored: float | None


class World:
    """Entry nodes, their partition and a steady load of jobs.

    :param lost: names of the entries that no peer reaches.
    :param cut_off: names of the entries that do not reach the store.
    :param draining: names of the entries that are about to stop.
    :param calls: appends that entries sent, as the producer and its sequence number.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, entries: int = 42) -> None:
        self.tasks = tasks
        self.timers = VirtualTimers(tasks)
        self.partition = Partition()
        self.names = [f"e{number:02d}" for number in range(entries)]
        self.lost: set[str] = set()
        self.cut_off: set[str] = set()
        self.draining: set[str] = set()
        self.calls: list[tuple[str, int]] = []
        store = self.partition.store
        store.append(TOPIC_OPERATOR, [("config", encode_config())])
        nodes = {
            name: NodeRecord(f"{name}:1", f"z{at % ZONES}", SPEEDS[at % len(SPEEDS)])
            for at, name in enumerate(self.names)
        }
        store.append(
            TOPIC, [(PREFIX_NODE + name, encode(node)) for name, node in nodes.items()]
        )
        self.entries = [Entry(self, name, nodes[name].zone) for name in self.names]
        self.by_address = {f"{entry.name}:1": entry for entry in self.entries}
        self._submitted: dict[str, tuple[float, Reply | None, float]] = {}
        for at, entry in enumerate(self.entries):
            tasks.start_soon(entry.async_run, START_SPREAD_SECONDS * at)

    @property
    def owner(self) -> Entry:
        """Return the entry that owns the shard."""
        return self.entries[0]

    async def async_renew(self) -> None:
        """Append the owner's renewals until cancelled."""
        number = 0
        while True:
            number += 1
            now = self.timers.monotonic()
            record = OwnerRecord(1, "claim", self.owner.name, number, now)
            await self.owner.owner_appender.async_append(
                [(KEY_OWNER, encode(record))], now + CALLER_SECONDS
            )
            elapsed = self.timers.monotonic() - now
            await anyio.sleep(max(0.0, RENEWAL_SECONDS - elapsed))

    def submit(self, entry: Entry, seconds: float = CALLER_SECONDS) -> str:
        """Submit the next job at an entry; return its id."""
        job_id = f"{len(self._submitted):016x}"
        self._submitted[job_id] = (self.timers.monotonic(), None, 0.0)
        self.tasks.start_soon(self._async_submit, entry, job_id, seconds)
        return job_id

    async def _async_submit(self, entry: Entry, job_id: str, seconds: float) -> None:
        sent_at = self._submitted[job_id][0]
        reply = await entry.async_post(job_id, seconds)
        self._submitted[job_id] = (sent_at, reply, self.timers.monotonic() - sent_at)

    async def async_submit_for(self, seconds: float, per_second: float = 40.0) -> None:
        """Submit jobs at a steady rate, at the entries in turn."""
        for number in range(round(seconds * per_second)):
            self.submit(self.entries[number * 5 % len(self.entries)])
            await anyio.sleep(1 / per_second)

    def answers(self) -> list[Answer]:
        """Return what became of the jobs that were answered."""
        stored_at = self.partition.stored_at
        answers = []
        for job_id, (sent_at, reply, waited) in self._submitted.items():
            at = stored_at.get(PREFIX_JOB + job_id)
            if reply is not None:
                stored = None if at is None else at - sent_at
                answers.append(Answer(reply.status, waited, stored))
        return answers
