"""Search for a sequence of events that reverts an accepted configuration.

Nodes are restarted, disconnected, paused and offered stale peers and snapshots, their
appends are lost, repeated and delayed, and the log expires entries and has outages. A
reference applies the whole history of the log; the state of every node has to equal one
of its prefixes and must never go back.
"""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Success

from mustardward.exceptions import MustardwardError
from mustardward.state.fleet import FleetState
from mustardward.state.images import Image
from mustardward.state.log import FoldedLog
from mustardward.state.models.templates import PublishTemplate
from mustardward.state.streams import FLEET_SPEC
from tests.builders import build_parameters
from tests.fakes.log import LogClient
from tests.fakes.log_bench import LogBench, running_bench

NODES = 3
STREAM = "fleet"

node_numbers = st.integers(0, NODES - 1)


class Node:
    """Hold one incarnation of a node and the positions that it must not fall behind.

    ``floor`` is the highest offset of a ready peer when this incarnation started.
    """

    def __init__(
        self, log: FoldedLog[FleetState], client: LogClient, floor: int
    ) -> None:
        self.log = log
        self.client = client
        self.floor = floor
        self.seen_offset = 0
        self.seen_revision = 0

    def revision(self) -> int:
        """Return the revision of the template that is in force on this node."""
        revisions = self.log.state.templates.get("dairy")
        return revisions[-1].revision if revisions else 0


class Reference:
    """Apply the whole history of the log and store the digest at each offset."""

    def __init__(self) -> None:
        self.fold = FLEET_SPEC.new_fold()
        self.digests = [""]

    def catch_up(self, history: list[bytes]) -> None:
        """Apply the entries appended since the last call."""
        for payload in history[self.fold.next_offset :]:
            self.fold.apply(self.fold.next_offset, payload)
            self.digests.append(self.fold.digest)


class ConfigurationMachine(RuleBasedStateMachine):
    """Control nodes, their log and their peers."""

    def __init__(self) -> None:
        super().__init__()
        self._runner = asyncio.Runner()
        self._reference = Reference()
        self._nodes: list[Node] = []
        self._pending_images: list[Image] = []
        self._accepted: list[int] = []
        self._stop: anyio.Event
        self._bench: LogBench
        self._runner.run(self._async_open())

    async def _async_open(self) -> None:
        started = anyio.Event()
        self._stop = anyio.Event()

        async def run_bench() -> None:
            async with running_bench() as bench:
                self._bench = bench
                started.set()
                await self._stop.wait()

        self._bench_task = asyncio.get_running_loop().create_task(run_bench())
        await started.wait()

    def _run(self, seconds: float) -> None:
        self._runner.run(self._bench.async_settle(seconds, 0.25))

    def _start(self) -> Node:
        return self._runner.run(self._async_start())

    async def _async_replace(self, old: Node) -> Node:
        old.log.stop()
        return await self._async_start()

    async def _async_start(self) -> Node:
        client = LogClient(self._bench.service)
        floor = max((n.log.next_offset for n in self._nodes if n.log.ready), default=0)
        log = self._bench.start(client, [n.log for n in self._nodes])
        return Node(log, client, floor)

    @initialize()
    def begin(self) -> None:
        """Start the nodes and add one pool."""
        for _ in range(NODES):
            self._nodes.append(self._start())
        for node in self._nodes:
            peers = [other.log for other in self._nodes if other is not node]
            self._bench.relays[node.log].peers = peers
        self._run(1.0)
        self._runner.run(self._bench.async_fill(self._nodes[0].log, 1))

    @rule(number=node_numbers, headroom=st.sampled_from([0.0, 0.1, 0.2]))
    def publish(self, number: int, headroom: float) -> None:
        """Publish a revision based on the node's current one."""
        node = self._nodes[number]
        parameters = build_parameters("pool-0", headroom=headroom)
        result = self._runner.run(
            self._bench.async_propose(
                node.log,
                PublishTemplate("dairy", parameters),
                base_revision=node.revision(),
                timeout_seconds=2.0,
            )
        )
        if isinstance(result, Success):
            self._accepted.append(result.unwrap().revision)

    @rule(number=node_numbers)
    def restart(self, number: int) -> None:
        """Replace a node by one without state and with the same peers."""
        node = self._runner.run(self._async_replace(self._nodes.pop(number)))
        self._nodes.insert(number, node)
        for other in self._nodes:
            peers = [item.log for item in self._nodes if item is not other]
            self._bench.relays[other.log].peers = peers
        self._run(0.5)

    @rule(number=node_numbers, cut_off=st.booleans())
    def switch_connection(self, number: int, cut_off: bool) -> None:
        """Disconnect one node from the log, or reconnect it."""
        self._nodes[number].client.cut_off = cut_off

    @rule(number=node_numbers)
    def isolate(self, number: int) -> None:
        """Disconnect a node from its peers until the next restart of any node."""
        self._bench.relays[self._nodes[number].log].peers = []

    @rule(out=st.booleans())
    def switch_log(self, out: bool) -> None:
        """Start or end an outage of the log."""
        self._bench.service.out = out

    @rule(
        fault=st.sampled_from(
            ["lose_answers", "lose_requests", "delay_appends", "refuse_appends"]
        ),
        count=st.integers(1, 3),
    )
    def disturb_appends(self, fault: str, count: int) -> None:
        """Inject a fault into the next appends."""
        setattr(self._bench.service, fault, count)

    @rule()
    def deliver_delayed(self) -> None:
        """Deliver the delayed appends."""
        self._bench.service.deliver_delayed()
        self._run(0.0)

    @rule(seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self._run(seconds)

    @rule(seconds=st.sampled_from([2.0, 60.0]))
    def pause(self, seconds: float) -> None:
        """Pause all processes."""
        self._bench.timers.pause(seconds)

    @rule(number=node_numbers)
    def take_image(self, number: int) -> None:
        """Take an image that a slow snapshot writer writes later."""
        try:
            self._pending_images.append(self._nodes[number].log.image())
        except MustardwardError:
            return

    @precondition(lambda self: self._pending_images and not self._bench.service.out)
    @rule(first=st.booleans())
    def write_pending_image(self, first: bool) -> None:
        """Write an image that may have become stale."""
        image = self._pending_images.pop(0 if first else -1)
        service = self._bench.service
        service.lose_answers = service.lose_requests = service.delay_appends = 0
        store = self._nodes[0].log.store
        if not self._nodes[0].client.cut_off:
            self._runner.run(self._bench.async_run(lambda: store.async_write(image)))

    @rule(retained=st.integers(0, 5))
    def expire(self, retained: int) -> None:
        """Expire all but the latest entries of the log."""
        service = self._bench.service
        service.expire(STREAM, service.tail(STREAM) - retained)

    @rule(stream=st.sampled_from(["fleet.snapshots", "fleet.snapshots.chunks"]))
    def corrupt_snapshot(self, stream: str) -> None:
        """Flip a bit in the latest snapshot."""
        service = self._bench.service
        if service.tail(stream) > 0:
            service.corrupt(stream, service.tail(stream) - 1)

    @invariant()
    def nodes_match_the_log_and_never_go_back(self) -> None:
        """Compare every node with the reference and with its earlier positions."""
        self._reference.catch_up(self._bench.service.history(STREAM))
        for node in self._nodes:
            offset = node.log.next_offset
            assert node.log.digest == self._reference.digests[offset]
            assert offset >= node.seen_offset
            assert node.revision() >= node.seen_revision
            assert not node.log.ready or offset >= node.floor
            node.seen_offset = offset
            node.seen_revision = node.revision()

    @invariant()
    def accepted_revisions_stay_in_force(self) -> None:
        """Check that the last accepted revision, or a later one, is in force."""
        self._reference.catch_up(self._bench.service.history(STREAM))
        revisions = self._reference.fold.state.templates.get("dairy")
        latest = revisions[-1].revision if revisions else 0
        assert latest >= max(self._accepted, default=0)

    def teardown(self) -> None:
        """End all faults and check that nodes which may decide reach the tail."""
        service = self._bench.service
        service.out = False
        for fault in ("lose_answers", "lose_requests", "delay_appends"):
            setattr(service, fault, 0)
        service.refuse_appends = 0
        for node in self._nodes:
            node.client.cut_off = False
        self._run(20.0)
        self.nodes_match_the_log_and_never_go_back()
        for node in self._nodes:
            if node.log.may_decide:
                assert node.log.next_offset == service.tail(STREAM)
        self._runner.run(self._async_close())
        self._runner.close()

    async def _async_close(self) -> None:
        self._stop.set()
        await self._bench_task


TestConfigurationNeverReverts: Any = ConfigurationMachine.TestCase
TestConfigurationNeverReverts.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
