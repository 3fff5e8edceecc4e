"""Constants of the ledger: its topic, key prefixes, and polling limits."""

from __future__ import annotations

from typing import Final

from ...platform.store import KEYED_PREFIX

SHARD: Final = "shard-0"
"""All pools share one shard: their demand peaks at different times, so that one owner
carries one pool's peak at a time, and pools can lend workers without coordination."""

TOPIC: Final = f"{KEYED_PREFIX}{SHARD}"

KEY_OWNER: Final = "owner"
PREFIX_JOB: Final = "j/"
PREFIX_PROGRESS: Final = "p/"
PREFIX_CANCEL: Final = "x/"
PREFIX_REPORTED: Final = "d/"
PREFIX_WAVE: Final = "w/"
PREFIX_NODE: Final = "n/"
PREFIX_RUN_TIMES: Final = "e/"

UNIQUE_ENTRY_PREFIXES: Final = (PREFIX_JOB, PREFIX_CANCEL)
UNIQUE_OWNER_PREFIXES: Final = (KEY_OWNER,)
"""Prefixes of keys whose values contain a timestamp or a renewal number, so that no two
appends of their writers have the same key and value."""

RETRY_DELAY_SECONDS: Final = 0.08
"""Delay after a failed call; the store itself answers in about 6 ms."""

INITIAL_RETRY_DELAY_SECONDS: Final = 0.01

CATCH_UP_INTERVAL_SECONDS: Final = 0.05
"""Interval of reads while there is more to read than one page. An entry that is behind
does not notice when the owner is lost."""

MAX_READS_PER_SECOND: Final = 140
"""Limit on the background reads of one topic by all entry nodes together; reads made
for callers are not counted. Two topics make 280 a second, a seventh of what the store
can answer, whatever the number of entry nodes."""

MAX_TIMED_PAGE_BYTES: Final = 32_768
"""Size up to which the time of a read tells the store's latency. A larger page takes
long to transfer over a slow link."""

MAX_POLL_MS: Final = 1000
BUSY_POLL_MS: Final = 50
"""Wait of a read after one that returned records."""

MIN_POLL_MS: Final = 300
"""A silent connection is detected after this and the read's own slack, also by an entry
node that is partitioned together with its data centre, which then rejects callers so
that they retry elsewhere. An idle entry node makes about six reads a second for it."""
