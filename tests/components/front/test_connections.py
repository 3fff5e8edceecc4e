"""Test which connections of callers are closed when there are too many."""

from __future__ import annotations

from mustardward.components.front.connections import (
    ConnectionLimits,
    ConnectionTable,
    build_connections,
)
from mustardward.platform.boot import BootLimits


class FakeConnection:
    """Connection that notes whether it was closed."""

    def __init__(self, table: ConnectionTable) -> None:
        self.aborted = False
        table.add(self)

    def abort(self) -> None:
        """Note it."""
        self.aborted = True


def test_the_oldest_connection_without_a_request_is_closed_first() -> None:
    """Guard against silent callers that keep out those with requests."""
    table = ConnectionTable(ConnectionLimits(3, 5, 100))
    kept = FakeConnection(table)
    table.mark_busy(kept)
    table.mark_idle(kept)
    silent = [FakeConnection(table) for _ in range(4)]
    assert [one.aborted for one in silent] == [True, True, False, False]
    assert not kept.aborted


def test_the_longest_idle_connection_is_closed_next() -> None:
    """Guard against callers that keep connections after one request each."""
    table = ConnectionTable(ConnectionLimits(2, 5, 100))
    idle = [FakeConnection(table) for _ in range(2)]
    for one in reversed(idle):
        table.mark_busy(one)
        table.mark_idle(one)
    added = FakeConnection(table)
    assert [one.aborted for one in idle] == [False, True]
    assert not added.aborted


def test_a_connection_with_a_request_in_progress_is_never_closed() -> None:
    """Guard against requests that lose their response to a new connection."""
    table = ConnectionTable(ConnectionLimits(2, 3, 100))
    busy = []
    for _ in range(3):
        busy.append(FakeConnection(table))
        table.mark_busy(busy[-1])
    added = FakeConnection(table)
    assert not any(one.aborted for one in busy)
    assert added.aborted


def test_half_of_the_sockets_are_for_callers() -> None:
    """Guard against callers that use the descriptors of calls to workers."""
    limits = build_connections(BootLimits(memory_mb=552, max_fds=4100)).limits
    assert (limits.max_connections, limits.max_busy_connections) == (1950, 2925)
    assert limits.max_connections + 4 * limits.listen_backlog <= 3900


def test_socket_buffers_take_a_quarter_of_the_memory() -> None:
    """Guard against received bytes of a full crowd that exceed the memory."""
    limits = build_connections(BootLimits(memory_mb=300, max_fds=4100)).limits
    assert (limits.max_connections, limits.max_busy_connections) == (1200, 2925)


def test_the_oldest_incomplete_request_is_closed_when_all_hold_too_much() -> None:
    """Guard against stalled bodies that use up the memory together."""
    table = ConnectionTable(ConnectionLimits(9, 9, 100))
    stalled, complete, recent = (FakeConnection(table) for _ in range(3))
    table.set_unfinished(stalled, 60)
    table.set_unfinished(complete, 30)
    table.set_unfinished(complete, 0)
    table.set_unfinished(recent, 30)
    assert not stalled.aborted
    table.set_unfinished(recent, 50)
    assert stalled.aborted
    assert not complete.aborted
    assert not recent.aborted


def test_a_large_body_alone_is_not_closed() -> None:
    """Guard against an operator's limit of bodies that is above the one of all."""
    table = ConnectionTable(ConnectionLimits(9, 9, 100))
    alone = FakeConnection(table)
    table.set_unfinished(alone, 500)
    assert not alone.aborted
