"""Set up one entry node, and shut it down without interrupting requests."""

from __future__ import annotations

import math
import secrets
import zlib

import anyio
from anyio.abc import TaskGroup

from ..components.configuration.services import Configuration
from ..components.forwarding.const import (
    RELAY_CHECK_TIMEOUT_SECONDS,
    RELAY_MAX_PEERS_ASKED,
    RELAY_PEER_BACKOFF_SECONDS,
)
from ..components.forwarding.failover import FailoverHandler
from ..components.forwarding.latency_reporter import LatencyReporter
from ..components.forwarding.peer_selector import PeerSelector
from ..components.forwarding.relay import StoreRelay
from ..components.forwarding.services import Forwarder, async_serve_peers
from ..components.front.connections import build_connections
from ..components.front.refusals import longest_outage
from ..components.front.server import FrontServer, async_serve_metrics
from ..components.front.services import FrontService
from ..components.ledger.append_watcher import AppendWatcher
from ..components.ledger.appender import (
    MAX_APPEND_BYTES,
    AppendLimits,
    GroupAppender,
)
from ..components.ledger.const import PREFIX_NODE, TOPIC, UNIQUE_ENTRY_PREFIXES
from ..components.ledger.follower import TopicFollower
from ..components.ledger.latency_probe import LatencyProbe
from ..components.ledger.ledger import Ledger, encode
from ..components.ledger.models import NodeRecord
from ..components.ledger.store_latency import StoreLatency
from ..components.ownership.const import FOLLOWER_POLL_SECONDS
from ..components.ownership.models import OwnerDependencies
from ..components.ownership.services import Ownership
from ..helpers.logging import get_logger
from ..helpers.policies import switched_off
from ..helpers.timer import LoopTimerService
from ..platform.advice import AdviceClient
from ..platform.boot import BootSettings
from ..platform.fleet import FleetClient
from ..platform.http import HttpCaller, base_url
from ..platform.store import LONG_POLL_SLACK_SECONDS, TOPIC_OPERATOR, StoreClient

_LOGGER = get_logger(__name__)

CONFIG_POLL_SECONDS = 0.05
LOG_OUTAGE_SECONDS = 0.3
"""Log outage after which a node is not ready, unless peers respond in its place. The
load balancer probes once a second and acts on the second failure."""

PEER_RESPONSE_MAX_AGE_SECONDS = 1.0
"""Time for which a peer's response shows that callers can be served here."""

METRICS_PORT = 9464
"""Also set in the deployment file."""

ACCEPT_SHARE = 0.55
"""Share of the grace period in which a stopping node still accepts requests."""

RESPOND_SHARE = 0.85
"""Share of the grace period after which all requests have a response."""

CLOSE_SHARE = 0.9
"""Share of the grace period after which connections are closed; the rest is for the
process to exit."""


class Node:
    """Entry node: serves callers, follows the ledger and competes for ownership."""

    def __init__(self, boot: BootSettings, tasks: TaskGroup) -> None:
        self._boot = boot
        self._tasks = tasks
        self._timers = LoopTimerService(tasks)
        self._http = HttpCaller()
        self._peers_http = HttpCaller()
        self._configuration = Configuration(require_api_keys=boot.has_organisations)
        self._ledger = Ledger()
        self._latency = StoreLatency()
        direct_store = StoreClient(self._http, boot.platform.address)
        self._probe = LatencyProbe(direct_store, self._timers, self._latency)
        self._relay = self._build_relay(boot, direct_store)
        store = StoreClient(self._relay, boot.platform.address)
        self._config_follower = TopicFollower(
            store,
            self._timers,
            TOPIC_OPERATOR,
            self._configuration.apply,
            self._configuration.keys,
            CONFIG_POLL_SECONDS,
            entries=self._count_entries,
            node=boot.node,
            latency=self._latency,
        )
        self._follower = TopicFollower(
            store,
            self._timers,
            TOPIC,
            self._ledger.apply,
            self._ledger.keys,
            FOLLOWER_POLL_SECONDS,
            entries=self._count_entries,
            node=boot.node,
            scale_interval=True,
            latency=self._latency,
        )
        limits = AppendLimits(
            boot.platform.record_bytes,
            min(boot.platform.request_bytes, MAX_APPEND_BYTES),
        )
        self._appender = GroupAppender(
            lambda records, producer: store.async_append(TOPIC, records, producer),
            self._timers,
            f"{boot.node}/{secrets.token_hex(6)}",
            epoch=1,
            latency=self._latency,
            limits=limits,
        )
        append_watcher = AppendWatcher(
            self._follower.async_catch_up, UNIQUE_ENTRY_PREFIXES
        )
        self._follower.record_listeners.append(append_watcher.observe)
        self._appender.sighting = append_watcher
        front = FrontService(
            self._timers,
            self._configuration,
            self._config_follower,
            self._ledger,
            self._follower,
            self._appender,
            _max_key_age_seconds(boot),
        )
        self._forwarder = Forwarder(
            self._ledger, self._timers, PeerSelector(boot.node, boot.zone)
        )
        self._failover = FailoverHandler(
            front,
            self._forwarder,
            self._timers,
            self._relay,
            self._latency,
            lambda: self._server.draining,
        )
        self._server = FrontServer(
            self._failover,
            self._timers,
            self._is_ready,
            build_connections(boot.limits),
        )
        advice = AdviceClient(self._http, boot.advice) if boot.advice else None
        address = boot.cloud.address
        fleet = FleetClient(self._http, address, boot.node) if address else None
        self._ownership = Ownership(
            OwnerDependencies(
                boot.node,
                store,
                self._http,
                self._timers,
                self._ledger,
                self._follower,
                self._configuration,
                boot.bounds,
                _core_count(boot),
                advice,
                fleet,
                boot.cloud,
                self._forwarder,
                self._latency,
                limits,
            ),
            _claim_fraction(boot),
        )
        self._failover.answer_owner_query = self._ownership.query.async_answer

    def _count_entries(self) -> int:
        return len(self._ledger.nodes)

    def _build_relay(self, boot: BootSettings, direct_store: StoreClient) -> StoreRelay:
        # Separate from the forwarder of callers' requests: a peer that can't reach the
        # store is skipped here only, since it may still serve those.
        forwarder = Forwarder(
            self._ledger,
            self._timers,
            PeerSelector(boot.node, boot.zone, RELAY_PEER_BACKOFF_SECONDS),
            RELAY_CHECK_TIMEOUT_SECONDS,
            RELAY_MAX_PEERS_ASKED,
        )
        return StoreRelay(
            self._http,
            self._peers_http,
            base_url(boot.platform.address),
            forwarder,
            self._timers,
            lambda: direct_store.async_is_reachable(
                LONG_POLL_SLACK_SECONDS
                + self._latency.read_extension_seconds(self._timers.monotonic())
            ),
            self._latency,
        )

    @property
    def is_owner(self) -> bool:
        """Return whether this node owns the shard."""
        return self._ownership.owner is not None

    @property
    def ready(self) -> bool:
        """Return whether this node can serve callers."""
        return self._is_ready()

    async def async_start(self) -> None:
        """Start the listeners and background tasks."""
        self._timers.start()
        listen = self._boot.listen
        await self._server.async_listen(listen.front, listen.ready)
        await async_serve_metrics(self._boot.ip, METRICS_PORT, self._server.connections)
        _LOGGER.info(
            "node_started",
            node=self._boot.node,
            zone=self._boot.zone,
            policies_off=",".join(switched_off()),
        )
        self._tasks.start_soon(self._config_follower.async_run)
        self._tasks.start_soon(self._follower.async_run)
        self._tasks.start_soon(self._appender.async_run)
        self._tasks.start_soon(self._ownership.async_run)
        self._tasks.start_soon(self._relay.async_run)
        self._tasks.start_soon(self._probe.async_run)
        reporter = LatencyReporter(
            self._boot.node, self._timers, self._latency, self._failover.collecting
        )
        self._tasks.start_soon(reporter.async_run)
        address = f"{self._boot.ip}:{self._boot.port_range[0]}"
        self._tasks.start_soon(
            async_serve_peers, address, self._failover.async_answer_peer, self._timers
        )
        self._tasks.start_soon(self._async_register, address)

    async def _async_register(self, address: str) -> None:
        """Record this node's peer address in the ledger for the other nodes."""
        await self._follower.async_wait_loaded()
        record = NodeRecord(address, self._boot.zone, _core_count(self._boot))
        if self._ledger.nodes.get(self._boot.node) != record:
            records = [(PREFIX_NODE + self._boot.node, encode(record))]
            self._appender.post(records, math.inf)

    async def async_close(self) -> None:
        """Close all connections at once."""
        await self._server.async_close(0.0)
        await self._async_close_calls()

    async def _async_close_calls(self) -> None:
        await self._http.async_close()
        await self._peers_http.async_close()

    async def async_shut_down(self) -> None:
        """Resign ownership, and serve callers until they have moved elsewhere."""
        _LOGGER.info("node_stopping", node=self._boot.node)
        grace = self._boot.bounds.grace_s
        started_at = self._timers.monotonic()
        self._server.drain_within(grace * RESPOND_SHARE)
        await self._ownership.async_resign()
        await self._timers.async_sleep(grace * ACCEPT_SHARE)
        remaining = started_at + grace * CLOSE_SHARE - self._timers.monotonic()
        await self._server.async_close(max(0.0, remaining))
        with anyio.move_on_after(0.2):
            await self._async_close_calls()
        _LOGGER.info("node_stopped", node=self._boot.node)

    def _is_ready(self) -> bool:
        """Return whether this node can serve callers.

        A node without access to the log is ready as long as a peer responds in its
        place; otherwise the load balancer sends callers elsewhere.
        """
        if self._server.draining or self._configuration.config is None:
            return False
        if not self._follower.loaded:
            return False
        # Both followers are checked, since either may detect an outage first: with
        # many nodes, each reads the shard's topic only every 0.7 s.
        now = self._timers.monotonic()
        outage = longest_outage(
            now, self._follower.failing_since, self._config_follower.failing_since
        )
        if outage < LOG_OUTAGE_SECONDS or self._latency.is_slow(now):
            return True
        return now - self._forwarder.last_answer_at < PEER_RESPONSE_MAX_AGE_SECONDS


def _max_key_age_seconds(boot: BootSettings) -> float | None:
    """Return the maximum configuration age for accepting keys, or None for no limit."""
    return boot.bounds.revoke_ms / 1000 if boot.bounds.strict_revoke else None


def _core_count(boot: BootSettings) -> float:
    """Return the number of cores available to this node."""
    return boot.limits.cpu_share * max(1.0, boot.limits.cores)


def _claim_fraction(boot: BootSettings) -> float:
    """Return a stable fraction in [0, 1) that spreads the nodes' ownership claims."""
    return (zlib.crc32(boot.node.encode()) % 1000) / 1000
