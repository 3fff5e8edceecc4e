"""Constants of forwarding: methods, timeouts and limits of calls between nodes."""

from __future__ import annotations

from typing import Final

PEER_RPC_PATH: Final = "/mustardward.Entry/Ask"
PEER_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of one peer's answer; the peer's own append takes a few milliseconds."""

CHECK_METHOD: Final = "CHECK"
CHECK_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a reachability check; peers are a few milliseconds away."""

ENDED_METHOD: Final = "ENDED"
COMPLETION_QUERY_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a query whether a job is complete; it is answered from memory."""

WITNESS_METHOD: Final = "WITNESS"
MAX_WITNESSES_ASKED: Final = 2
"""Entry nodes asked, one after the other, to record a completion; the second one in
case the first is partitioned. Limited because a caller waits meanwhile."""

STORE_REPORTED_INTERVAL_SECONDS: Final = 0.2
"""Interval of checks for reported completions that the log lacks. After an outage, the
owner stores them itself within about 0.1 s, so that usually none are left."""

STORE_REPORTED_TIMEOUT_SECONDS: Final = 2.0
"""Timeout of an append of reported completions; it is retried after that."""

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

OUTCOME_UNKNOWN_STATUS: Final = 504
"""Status of a request that may have taken effect. Any refusal status would state that a
job does not run although it may."""

ISOLATED_RETRY_SECONDS: Final = 0.25
"""Time after which peers are tried again if none could reach the log."""

MAX_PEERS_ASKED: Final = 3
"""Peers tried for one request, one after the other."""

OUTAGE_SECONDS: Final = 0.15
"""Duration of an outage of the log after which peers are tried first."""

LISTEN_RETRY_DELAY_SECONDS: Final = 0.5
"""Delay before the peer listener is opened again."""
