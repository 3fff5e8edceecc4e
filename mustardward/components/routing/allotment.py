"""Share each worker's slots out among the entries of its data centre.

Entries can't see each other's requests. If each chose freely, they would meet at full
workers while others are idle: at four fifths of a pool's slots in use, a quarter of
all attempts were refused as busy. So each entry has an allotment of each worker's
slots by rendezvous hashing, and goes beyond it only when it is used up. It is a
division of labour only: with different views of who is alive, the worker's own refusal
still decides.
"""

from __future__ import annotations

from collections.abc import Sequence

from ...helpers.rendezvous import rendezvous_score


def allotted_slots(
    instance_id: str, slots: int, entry: str, entries: Sequence[str]
) -> int:
    """Return how many of a worker's slots one entry uses before all others."""
    if entry not in entries:
        return 0
    each, rest = divmod(slots, len(entries))
    if not rest:
        return each
    own = rendezvous_score(instance_id, entry)
    ahead = sum(rendezvous_score(instance_id, other) > own for other in entries)
    return each + (1 if ahead < rest else 0)
