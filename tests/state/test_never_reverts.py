"""Search for a sequence of events after which an accepted configuration is undone.

Nodes restart, are cut off, paused, offered stale peers and stale snapshots, and their
appends are lost, repeated and delayed, while the log forgets and goes out. A reference
folds the log's whole history; every node has to stand on one of its prefixes, and never
to step back.
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
    """Hold one running incarnation and what it must not fall behind.

    ``floor`` is the furthest offset that a ready peer had when this one started.
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
        """Return the template's revision in force here."""
        revisions = self.log.state.templates.get("dairy")
        return revisions[-1].revision if revisions else 0


class Reference:
    """Fold the whole history of the log, and remember the digest at each offset."""

    def __init__(self) -> None:
        self.fold = FLEET_SPEC.new_fold()
        self.digests = [""]

    def catch_up(self, history: list[bytes]) -> None:
        """Fold what was appended since."""
        for payload in history[self.fold.next_offset :]:
            self.fold.apply(self.fold.next_offset, payload)
            self.digests.append(self.fold.digest)


class ConfigurationMachine(RuleBasedStateMachine):
    """Drive nodes, their log and their peers."""

    def __init__(self) -> None:
        super().__init__()
        self._runner = asyncio.Runner()
        self._reference = Reference()
        self._nodes: list[Node] = []
        self._held: list[Image] = []
        self._accepted: list[int] = []
        self._stop: anyio.Event
        self._bench: LogBench
        self._runner.run(self._async_open())

    async def _async_open(self) -> None:
        started = anyio.Event()
        self._stop = anyio.Event()

        async def keep() -> None:
            async with running_bench() as bench:
                self._bench = bench
                started.set()
                await self._stop.wait()

        self._keeper = asyncio.get_running_loop().create_task(keep())
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
        """Start the nodes on one pool."""
        for _ in range(NODES):
            self._nodes.append(self._start())
        for node in self._nodes:
            peers = [other.log for other in self._nodes if other is not node]
            self._bench.relays[node.log].peers = peers
        self._run(1.0)
        self._runner.run(self._bench.async_fill(self._nodes[0].log, 1))

    @rule(number=node_numbers, headroom=st.sampled_from([0.0, 0.1, 0.2]))
    def publish(self, number: int, headroom: float) -> None:
        """Publish a revision on top of the one that the node sees."""
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
        """Replace a node by one without any state, beside the same peers."""
        node = self._runner.run(self._async_replace(self._nodes.pop(number)))
        self._nodes.insert(number, node)
        for other in self._nodes:
            peers = [item.log for item in self._nodes if item is not other]
            self._bench.relays[other.log].peers = peers
        self._run(0.5)

    @rule(number=node_numbers, cut_off=st.booleans())
    def cut(self, number: int, cut_off: bool) -> None:
        """Cut one node off from the log, or connect it again."""
        self._nodes[number].client.cut_off = cut_off

    @rule(number=node_numbers)
    def isolate(self, number: int) -> None:
        """Take a node's peers away until the next restart of any node."""
        self._bench.relays[self._nodes[number].log].peers = []

    @rule(out=st.booleans())
    def switch_log(self, out: bool) -> None:
        """Take the log out, or bring it back."""
        self._bench.service.out = out

    @rule(
        fault=st.sampled_from(
            ["lose_answers", "lose_requests", "delay_appends", "refuse_appends"]
        ),
        count=st.integers(1, 3),
    )
    def disturb_appends(self, fault: str, count: int) -> None:
        """Let the next appends meet a fault."""
        setattr(self._bench.service, fault, count)

    @rule()
    def deliver_delayed(self) -> None:
        """Let the appends held back arrive now."""
        self._bench.service.deliver_delayed()
        self._run(0.0)

    @rule(seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._run(seconds)

    @rule(seconds=st.sampled_from([2.0, 60.0]))
    def pause(self, seconds: float) -> None:
        """Stop all processes for a while."""
        self._bench.timers.pause(seconds)

    @rule(number=node_numbers)
    def hold_image(self, number: int) -> None:
        """Let a slow snapshot writer take its image now and write it later."""
        try:
            self._held.append(self._nodes[number].log.image())
        except MustardwardError:
            return

    @precondition(lambda self: self._held and not self._bench.service.out)
    @rule(first=st.booleans())
    def write_held_image(self, first: bool) -> None:
        """Write an image that may have become stale."""
        image = self._held.pop(0 if first else -1)
        service = self._bench.service
        service.lose_answers = service.lose_requests = service.delay_appends = 0
        store = self._nodes[0].log.store
        if not self._nodes[0].client.cut_off:
            self._runner.run(self._bench.async_run(lambda: store.async_write(image)))

    @rule(kept=st.integers(0, 5))
    def expire(self, kept: int) -> None:
        """Let the log forget all but its latest entries."""
        service = self._bench.service
        service.expire(STREAM, service.tail(STREAM) - kept)

    @rule(stream=st.sampled_from(["fleet.snapshots", "fleet.snapshots.chunks"]))
    def corrupt_snapshot(self, stream: str) -> None:
        """Flip a bit in the latest snapshot."""
        service = self._bench.service
        if service.tail(stream) > 0:
            service.corrupt(stream, service.tail(stream) - 1)

    @invariant()
    def nodes_stand_on_the_log_and_never_step_back(self) -> None:
        """Compare every node with the reference and with its own past."""
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
        """Find the last accepted revision, or a later one, in the reference."""
        self._reference.catch_up(self._bench.service.history(STREAM))
        revisions = self._reference.fold.state.templates.get("dairy")
        latest = revisions[-1].revision if revisions else 0
        assert latest >= max(self._accepted, default=0)

    def teardown(self) -> None:
        """Heal everything: all that can know the tail agree on it."""
        service = self._bench.service
        service.out = False
        for fault in ("lose_answers", "lose_requests", "delay_appends"):
            setattr(service, fault, 0)
        service.refuse_appends = 0
        for node in self._nodes:
            node.client.cut_off = False
        self._run(20.0)
        self.nodes_stand_on_the_log_and_never_step_back()
        for node in self._nodes:
            if node.log.may_decide:
                assert node.log.next_offset == service.tail(STREAM)
        self._runner.run(self._async_close())
        self._runner.close()

    async def _async_close(self) -> None:
        self._stop.set()
        await self._keeper


TestConfigurationNeverReverts: Any = ConfigurationMachine.TestCase
TestConfigurationNeverReverts.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
