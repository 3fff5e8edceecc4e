"""Constants of forwarding: methods, timeouts and limits of calls between nodes."""

from __future__ import annotations

from typing import Final

PEER_RPC_PATH: Final = "/mustardward.Entry/Ask"
PEER_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of one peer's answer; the peer's own append takes a few milliseconds."""

CHECK_METHOD: Final = "CHECK"
CHECK_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a reachability check; peers are a few milliseconds away."""

UNCONFIRMED_METHODS: Final = ("ENDED", "WITNESS")
"""Queries of older builds for completions that are not stored. They are not confirmed,
since a caller would be told of a completion that a power loss can revoke."""

OWNER_METHOD: Final = "OWNER"
"""Asks the entry node that the host field names about its ownership of the shard."""

RELAY_METHOD: Final = "STORE"
RELAY_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of an append through peers; short enough to retry it before other entry nodes
consider the owner lost."""

RELAY_MAX_PEERS_ASKED: Final = 2
RELAY_CHECK_TIMEOUT_SECONDS: Final = 0.1
"""Timeout of a check of a peer that is to relay. If a whole data centre is partitioned,
no peer answers, and the failure of the log must be known soon."""

RELAY_PAUSE_SECONDS: Final = 0.3
"""Pause after no peer reached the store either. In an outage each entry node retries
its calls every 0.08 s, and would otherwise ask peers as often."""

MAX_EXTENSION_SECONDS: Final = 5.0
"""Limit of the time by which calls to a slow store are extended. A store refuses an
append when more than 2 s of work is queued, so that a later response is lost."""

EXTENSION_POLL_SECONDS: Final = 0.05
"""Interval of checks whether the store is still slow while an append is outstanding."""

MAX_RELAYED_CALLS: Final = 4
"""Limit of concurrent calls on behalf of peers: half of the connections available to
them."""

PROBE_INTERVAL_SECONDS: Final = 0.5
"""Interval of checks whether the store is directly reachable again."""

CHECK_VALID_SECONDS: Final = 0.3
"""Time for which an answer proves that a peer is reachable."""

PEER_BACKOFF_SECONDS: Final = 1.5
"""Time for which no caller's request is sent to a peer that did not answer, or that
could not reach the log itself."""

RELAY_PEER_BACKOFF_SECONDS: Final = 0.4
"""Backoff for calls to the store. Shorter, since after an outage the first entry node
that reaches the store relays for all others."""

HEDGE_DELAY_SECONDS: Final = 0.4
"""Time after which a request whose append is unanswered is also sent to a peer. An
append takes 6 ms; even on a store that is 60 times slower it finishes earlier."""

HEDGE_POLL_SECONDS: Final = 0.1
"""Interval of checks whether a slow store has recovered or is down."""

SUSPECT_POLL_SECONDS: Final = 0.01
"""Interval of checks whether a late read has been answered."""

OUTCOME_UNKNOWN_STATUS: Final = 504
"""Status of a request that may have taken effect. Any refusal status would state that a
job does not run although it may."""

ISOLATED_RETRY_SECONDS: Final = 0.25
"""Time after which peers are tried again if none could reach the log."""

COLLECTED_STORE_SECONDS: Final = 1.5
"""Time within which a collected request should be stored."""

MIN_COLLECTORS: Final = 2
"""So that the loss of one collecting node stops only some of the requests."""

MAX_COLLECTORS: Final = 4
MAX_COLLECTORS_ASKED: Final = 3
"""Collecting nodes tried for one request, one after the other."""

MAX_PEERS_ASKED: Final = 3
"""Peers tried for one request, one after the other."""

OUTAGE_SECONDS: Final = 0.15
"""Duration of an outage of the log after which peers are tried first."""

LISTEN_RETRY_DELAY_SECONDS: Final = 0.5
"""Delay before the peer listener is opened again."""
