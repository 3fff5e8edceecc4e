"""Measure membership: bytes a second, time to learn of leaving and death, processor.

Digests are encoded for real and exchanged on driven time over a network within one
process; what a call adds to its bodies is measured on a real connection over loopback.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import mean
from typing import Final

import anyio
from absl import logging as absl_logging

from mustardward.components.membership.models import MemberStatus
from tests.fakes.cluster import Cluster, Node

from .membership_memory import measure_memory
from .membership_wire import CallCost, async_measure_call

_SIZES: Final = {7: 4, 50: 6, 170: 14}
"""Number of data centres for each number of entries."""

_SEED: Final = 7
_SETTLE_SECONDS: Final = 75.0
_REST_SECONDS: Final = 15.0
_QUIET_SECONDS: Final = 60.0
_VICTIMS: Final = 3
_LIMIT_SECONDS: Final = 30.0
_FIRST_RECORDS: Final = 100_000
_RECORD_SECONDS: Final = 13.5
"""Time between two records at 6,400 changes of configuration a day."""

BYTES_AIM: Final = 4096.0
LEAVING_AIM: Final = 3.0


@dataclass(frozen=True, slots=True)
class Row:
    """Hold the figures of one size; bytes and processor are of one node, a second."""

    mean_bytes: float
    highest_bytes: float
    body_bytes: float
    calls: float
    join_bytes: float
    start_seconds: float
    start_bytes: float
    leaving_seconds: float
    leaving_here_seconds: float
    worker_seconds: float
    death_here_seconds: float
    death_seconds: float
    cpu_share: float
    rounds_cpu_seconds: float


def _name_centres(size: int) -> dict[str, int]:
    centres = _SIZES[size]
    return {
        f"region-{number % 6}-{number}": size // centres + (number < size % centres)
        for number in range(centres)
    }


async def _async_start(size: int) -> Cluster:
    cluster = Cluster()
    sizes = _name_centres(size)
    for number in range(max(sizes.values())):
        for centre in sizes:
            if number < sizes[centre]:
                name = f"{centre}-{number}"
                await cluster.async_start(name, centre)
                if number >= 2:
                    del cluster.seeds[name]
                # Entries of a fleet do not run in step.
                if len(cluster.nodes) % 17 == 0:
                    await cluster.async_run(0.1)
    return cluster


async def _async_settle(cluster: Cluster, call: CallCost) -> tuple[float, float]:
    """Return the seconds until all know all, and the bytes a second of a node."""
    _reset(cluster)

    def is_settled() -> bool:
        size = len(cluster.nodes)
        return all(len(n.membership.live()) == size for n in cluster.nodes.values())

    passed = await cluster.async_run_until(is_settled, _SETTLE_SECONDS)
    costs = [_cost(node, call) for node in cluster.nodes.values()]
    await cluster.async_run(_SETTLE_SECONDS - passed)
    return passed, mean(costs) / max(passed, 1.0)


async def _async_live(cluster: Cluster, seconds: float, random: Random) -> None:
    """Let time pass in which load changes every second and records come in."""
    for second in range(round(seconds)):
        for node in cluster.nodes.values():
            log_age = cluster.now - 1_000_000.0
            node.fleet.next_offset = _FIRST_RECORDS + int(log_age / _RECORD_SECONDS)
            node.fleet.digest = f"{second:08x}"
        await cluster.async_run(1.0)


def _cost(node: Node, call: CallCost) -> float:
    peers = node.peers
    bodies = peers.bytes_sent + peers.bytes_received
    return bodies + (peers.calls_made + peers.calls_answered) * call.overhead_bytes


def _reset(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        node.peers.bytes_sent = node.peers.bytes_received = 0
        node.peers.calls_made = node.peers.calls_answered = 0


def _learnt(nodes: list[Node], name: str, statuses: set[str | None]) -> bool:
    return all(node.status(name) in statuses for node in nodes if node.name != name)


async def _async_until(cluster: Cluster, condition: Callable[[], bool]) -> float:
    return await cluster.async_run_until(condition, _LIMIT_SECONDS)


async def _async_leave(cluster: Cluster, name: str) -> tuple[float, float]:
    """Return the seconds until the data centre, then all, knew of a leaving entry."""
    node = cluster.nodes[name]
    centre = node.core.settings.entry.data_centre
    await node.membership.async_announce_leaving()
    statuses: set[str | None] = {MemberStatus.LEAVING}
    here = await _async_until(
        cluster, lambda: _learnt(cluster.nodes_in(centre), name, statuses)
    )
    there = await _async_until(
        cluster, lambda: _learnt(list(cluster.nodes.values()), name, statuses)
    )
    await node.unload()
    cluster.kill(name)
    return here, here + there


async def _async_die(cluster: Cluster, name: str) -> tuple[float, float]:
    """Return the seconds until the data centre, then all, suspected a dead entry."""
    centre = cluster.nodes[name].core.settings.entry.data_centre
    cluster.kill(name)
    statuses: set[str | None] = {MemberStatus.SUSPECT}

    def is_known(nodes: list[Node]) -> bool:
        silent = all(node.membership.is_unreachable(centre) for node in nodes)
        return _learnt(nodes, name, statuses) or silent

    here = await _async_until(cluster, lambda: is_known(cluster.nodes_in(centre)))
    there = await _async_until(cluster, lambda: is_known(list(cluster.nodes.values())))
    return here, here + there


async def _async_worker_leaves(cluster: Cluster, node: Node) -> float:
    """Return the seconds until no entry of the data centre gives a worker work."""
    worker = f"worker-{node.name}"
    node.membership.report_instance(worker, False, "draining")
    nodes = cluster.nodes_in(node.core.settings.entry.data_centre)
    return await _async_until(
        cluster,
        lambda: not any(n.membership.is_instance_eligible(worker) for n in nodes),
    )


async def _async_measure(size: int, call: CallCost) -> Row:
    random = Random(_SEED)
    cluster = await _async_start(size)
    start_seconds, start_bytes = await _async_settle(cluster, call)
    _reset(cluster)
    began = time.process_time()
    await _async_live(cluster, _QUIET_SECONDS, random)
    rounds_cpu = (time.process_time() - began) / (_QUIET_SECONDS * size)
    costs = [_cost(n, call) / _QUIET_SECONDS for n in cluster.nodes.values()]
    bodies = [
        (n.peers.bytes_sent + n.peers.bytes_received) / _QUIET_SECONDS
        for n in cluster.nodes.values()
    ]
    calls = mean(
        (n.peers.calls_made + n.peers.calls_answered) / _QUIET_SECONDS
        for n in cluster.nodes.values()
    )
    newcomer = await cluster.async_start("newcomer", next(iter(_name_centres(size))))
    join = _cost(newcomer, call)
    await cluster.async_run(_REST_SECONDS)
    names = random.sample(sorted(cluster.nodes), 3 * _VICTIMS if size > 7 else 5)
    victims = max(1, len(names) // 3)
    workers = [
        await _async_worker_leaves(cluster, cluster.nodes[name]) for name in names
    ]
    leaves = [await _async_leave(cluster, name) for name in names[:victims]]
    await cluster.async_run(_REST_SECONDS)
    deaths = [await _async_die(cluster, name) for name in names[victims : 2 * victims]]
    return Row(
        mean_bytes=mean(costs),
        highest_bytes=max(costs),
        body_bytes=mean(bodies),
        calls=calls,
        join_bytes=join,
        start_seconds=start_seconds,
        start_bytes=start_bytes,
        leaving_seconds=max(there for _, there in leaves),
        leaving_here_seconds=max(here for here, _ in leaves),
        worker_seconds=max(workers),
        death_here_seconds=max(here for here, _ in deaths),
        death_seconds=max(there for _, there in deaths),
        cpu_share=calls * call.cpu_seconds / 2 + rounds_cpu,
        rounds_cpu_seconds=rounds_cpu,
    )


def _pairs(size: int, row: Row) -> list[str]:
    return [
        f"bytes_mean_{size}={row.mean_bytes:.0f}",
        f"bytes_highest_{size}={row.highest_bytes:.0f}",
        f"bytes_bodies_{size}={row.body_bytes:.0f}",
        f"calls_{size}={row.calls:.2f}",
        f"join_bytes_{size}={row.join_bytes:.0f}",
        f"start_seconds_{size}={row.start_seconds:.1f}",
        f"start_bytes_{size}={row.start_bytes:.0f}",
        f"leaving_here_seconds_{size}={row.leaving_here_seconds:.1f}",
        f"leaving_seconds_{size}={row.leaving_seconds:.1f}",
        f"worker_leaving_seconds_{size}={row.worker_seconds:.1f}",
        f"death_here_seconds_{size}={row.death_here_seconds:.1f}",
        f"death_seconds_{size}={row.death_seconds:.1f}",
        f"cpu_share_{size}={row.cpu_share:.5f}",
        f"round_cpu_ms_{size}={row.rounds_cpu_seconds * 1000:.2f}",
    ]


def _is_missed(row: Row) -> bool:
    slowest = max(row.leaving_seconds, row.worker_seconds)
    return row.highest_bytes > BYTES_AIM or slowest > LEAVING_AIM


async def _async_main() -> int:
    absl_logging.set_verbosity(absl_logging.ERROR)
    memory = measure_memory()
    call = await async_measure_call()
    pairs = [
        f"call_overhead_bytes={call.overhead_bytes:.0f}",
        f"call_http2_bytes={call.http2_bytes:.0f}",
        f"call_cpu_ms={call.cpu_seconds * 1000:.3f}",
        f"member_bytes={memory.member_bytes:.0f}",
        f"note_bytes={memory.note_bytes:.0f}",
    ]
    missed = 0
    for size in _SIZES:
        row = await _async_measure(size, call)
        print(" ".join(_pairs(size, row)), flush=True)
        pairs += _pairs(size, row)
        missed += _is_missed(row)
    print(" ".join([*pairs, f"aims_missed={missed}"]))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(anyio.run(_async_main))
