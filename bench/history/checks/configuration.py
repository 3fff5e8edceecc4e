"""Check that accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise

import networkx as nx

from mustardward.const import CONFIGURATION_BOUND_SECONDS

from ..models import History, Isolation, Published, RevisionSeen, Violation
from .registry import INVARIANTS

INVARIANT = "config-in-force"


@INVARIANTS.register(INVARIANT)
def check_configuration(history: History) -> Iterator[Violation]:
    """Find lost, late and reverted configuration, and conflicts passed in silence."""
    names = {item.name for item in history.published}
    names |= {item.name for item in history.revisions_seen}
    for name in sorted(names):
        published = [item for item in history.published if item.name == name]
        seen = [item for item in history.revisions_seen if item.name == name]
        yield from _check_conflicts(published)
        yield from _check_precedence(published, seen)
        yield from _check_bound(published, seen, history.isolations)


def _check_conflicts(published: list[Published]) -> Iterator[Violation]:
    """Find two accepted publications that were based on the same revision."""
    accepted: dict[int, Published] = {}
    for item in published:
        if item.revision < 0:
            continue
        other = accepted.setdefault(item.base, item)
        if other is not item:
            detail = f"base={item.base} accepted for {other.operation_id} too"
            yield Violation(INVARIANT, item.operation_id, item.end, detail)


def _check_precedence(
    published: list[Published], seen: list[RevisionSeen]
) -> Iterator[Violation]:
    """Find a cycle between the order of revisions and the order in real time.

    The graph has a node for each publication and each observation, an edge where one
    ended before the other began (observations: on one entry only, since another may
    lag within the bound), and an edge where one's revision has to come first. A
    history without a cycle can be put in one order that explains all of it.
    """
    graph = precedence_graph(published, seen)
    if nx.is_directed_acyclic_graph(graph):
        return
    cycle = nx.find_cycle(graph)
    nodes = [edge[0] for edge in cycle]
    last = max(nodes, key=lambda node: float(graph.nodes[node]["end"]))
    detail = " -> ".join(nodes)
    yield Violation(INVARIANT, last, float(graph.nodes[last]["end"]), detail)


def precedence_graph(
    published: list[Published], seen: list[RevisionSeen]
) -> nx.DiGraph:
    """Return the graph of what has to come before what."""
    graph: nx.DiGraph = nx.DiGraph()
    accepted = [item for item in published if item.revision >= 0]
    for item in accepted:
        graph.add_node(item.operation_id, end=item.end)
    for index, view in enumerate(seen):
        graph.add_node(_view_name(index, view), end=view.end)
    _add_publications(graph, accepted)
    _add_views(graph, seen)
    _add_reads(graph, accepted, seen)
    return graph


def _view_name(index: int, view: RevisionSeen) -> str:
    return f"{view.entry}.{view.incarnation}#{index}={view.revision}"


def _add_publications(graph: nx.DiGraph, accepted: list[Published]) -> None:
    for first in accepted:
        for second in accepted:
            if first.end < second.start or first.revision < second.revision:
                graph.add_edge(first.operation_id, second.operation_id)


def _add_views(graph: nx.DiGraph, seen: list[RevisionSeen]) -> None:
    by_entry: dict[str, list[tuple[str, RevisionSeen]]] = {}
    for index, view in enumerate(seen):
        by_entry.setdefault(view.entry, []).append((_view_name(index, view), view))
    for views in by_entry.values():
        views.sort(key=lambda item: item[1].start)
        for first, second in pairwise(views):
            if first[1].end <= second[1].start:
                graph.add_edge(first[0], second[0])


def _add_reads(
    graph: nx.DiGraph, accepted: list[Published], seen: list[RevisionSeen]
) -> None:
    for index, view in enumerate(seen):
        name = _view_name(index, view)
        for item in accepted:
            if item.revision <= view.revision:
                graph.add_edge(item.operation_id, name)
            else:
                graph.add_edge(name, item.operation_id)


def _check_bound(
    published: list[Published],
    seen: list[RevisionSeen],
    isolations: list[Isolation],
) -> Iterator[Violation]:
    for view in seen:
        due = view.start - CONFIGURATION_BOUND_SECONDS
        for item in published:
            late = item.accepted_at < due and view.revision < item.revision
            if late and not _isolated(view, item.accepted_at, isolations):
                detail = (
                    f"{view.entry} has {view.revision}, {item.revision} was accepted "
                    f"{view.start - item.accepted_at:.2f}s before"
                )
                yield Violation(INVARIANT, view.name, view.start, detail)
                break


def _isolated(
    view: RevisionSeen, accepted_at: float, isolations: list[Isolation]
) -> bool:
    """Tell whether the entry was cut off at any time that counts against it."""
    since = max(accepted_at, view.start - CONFIGURATION_BOUND_SECONDS)
    return any(
        item.entry == view.entry and item.start <= view.end and item.end >= since
        for item in isolations
    )
