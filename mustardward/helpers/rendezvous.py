"""Assign keys to nodes by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, node: str) -> int:
    """Return the score of ``node`` for ``key``, the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their score for ``key``.

    A node that joins or leaves moves only the keys assigned to it.
    """
    return sorted(nodes, key=lambda node: (-rendezvous_score(key, node), node))


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest score for ``key``, or None without nodes."""
    return min(
        nodes, key=lambda node: (-rendezvous_score(key, node), node), default=None
    )
