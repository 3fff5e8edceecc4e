"""Name the ledger's topic and the kinds of its keys."""

from __future__ import annotations

from typing import Final

from ...platform.store import KEYED_PREFIX

SHARD: Final = "shard-0"
"""All pools are in one hand: their demand comes by turns, so that one owner at a time
carries one pool's peak, and lending between pools needs no agreement."""

TOPIC: Final = f"{KEYED_PREFIX}{SHARD}"

KEY_OWNER: Final = "owner"
PREFIX_JOB: Final = "j/"
PREFIX_PROGRESS: Final = "p/"
PREFIX_CANCEL: Final = "x/"
PREFIX_REPORTED: Final = "d/"
PREFIX_WAVE: Final = "w/"
PREFIX_NODE: Final = "n/"

UNIQUE_ENTRY_PREFIXES: Final = (PREFIX_JOB, PREFIX_CANCEL, PREFIX_REPORTED)
UNIQUE_OWNER_PREFIXES: Final = (KEY_OWNER,)
"""Keys whose values hold the moment or the renewal that they were written for, so that
no two appends of their writers have the same."""

RETRY_DELAY_SECONDS: Final = 0.08
"""Pause after a refused call; the store's own answers take some 6 ms."""

INITIAL_RETRY_DELAY_SECONDS: Final = 0.01
MAX_READS_PER_SECOND: Final = 140
"""Reads of one topic by all entries together, but for their callers' sake: two topics
make 280 a second, a seventh of what the store answers, however many entries there
are."""

MAX_POLL_MS: Final = 1000
MIN_POLL_MS: Final = 300
"""A connection that went silent is noticed after this and the slack of a read, by an
entry that is cut off with its data centre too: its callers are refused from then on,
and sent elsewhere. An idle entry makes some six reads a second for it."""
