"""Divide each worker's slots among the entries of its data centre.

Entries do not see each other's requests. If each chose freely, they would collide at
full workers while others are idle: with 80 % of a pool's slots in use, 25 % of all
attempts were refused as busy. Rendezvous hashing therefore assigns each entry preferred
slots on each worker, and an entry uses others only when its own are in use. This only
reduces collisions: if the entries' membership views differ, the worker still refuses
when it is full.
"""

from __future__ import annotations

from collections.abc import Sequence

from ...helpers.rendezvous import rendezvous_score


def preferred_slots(
    instance_id: str, slots: int, entry: str, entries: Sequence[str]
) -> int:
    """Return how many of a worker's slots an entry uses before all others."""
    if entry not in entries:
        return 0
    each, rest = divmod(slots, len(entries))
    if not rest:
        return each
    own = rendezvous_score(instance_id, entry)
    ahead = sum(rendezvous_score(instance_id, other) > own for other in entries)
    return each + (1 if ahead < rest else 0)
