"""Hold the figures of forwarding."""

from __future__ import annotations

from typing import Final

PEER_RPC_PATH: Final = "/mustardward.Entry/Ask"
PEER_TIMEOUT_SECONDS: Final = 0.8
"""Longest wait for one peer's answer; its own append takes some milliseconds."""

CHECK_METHOD: Final = "CHECK"
CHECK_TIMEOUT_SECONDS: Final = 0.3
"""Longest wait for a check; peers are some milliseconds away."""

ENDED_METHOD: Final = "ENDED"
COMPLETION_QUERY_TIMEOUT_SECONDS: Final = 0.3
"""Longest wait for the owner's word on a job; it says what it holds in memory."""

WITNESS_METHOD: Final = "WITNESS"
MAX_WITNESSES_ASKED: Final = 2
"""Entries asked to hold an end, one after the other: the second one for where the first
is behind a cut. A caller waits for them."""

STORE_REPORTED_INTERVAL_SECONDS: Final = 0.2
"""Interval of looking for told ends that the log lacks; after an outage the owner
stores them itself within some 0.1 s, so that mostly nothing is left to bring."""

STORE_REPORTED_TIMEOUT_SECONDS: Final = 2.0
"""Longest wait for an append of them; it is tried again after that."""

RELAY_METHOD: Final = "STORE"
RELAY_TIMEOUT_SECONDS: Final = 0.8
"""Longest wait for an append through peers, so that it can still be tried again before
others take the owner for lost."""

RELAY_MAX_PEERS_ASKED: Final = 2
RELAY_CHECK_TIMEOUT_SECONDS: Final = 0.1
"""Longest wait for a sign of a peer that is to relay: where a whole data centre is cut
off no peer answers, and that the log fails should be known soon."""

RELAY_PAUSE_SECONDS: Final = 0.3
"""Pause after no peer reached the store either: in an outage each entry repeats its
calls every 0.08 s, and would else ask peers as often."""

MAX_RELAYED_CALLS: Final = 4
"""Calls of peers under way at once: half of the connections that they may take."""

PROBE_INTERVAL_SECONDS: Final = 0.5
"""Interval of looking whether the direct way to the store is open again."""

CHECK_VALID_SECONDS: Final = 0.3
"""Time for which an answer shows that a peer can be reached."""

PEER_BACKOFF_SECONDS: Final = 1.5
"""Time in which a peer that did not answer, or was cut off itself, is not asked for
callers."""

RELAY_PEER_BACKOFF_SECONDS: Final = 0.4
"""The same for calls to the store: after an outage, the first entry that reaches it is
the way of all others."""

HEDGE_DELAY_SECONDS: Final = 0.4
"""Time after which a peer is asked beside an append that is not answered; an append
takes 6 ms, and a store that is 60 times slower still ends before."""

OUTCOME_UNKNOWN_STATUS: Final = 504
"""Status by which a peer says that a request may have its effect: a refusal of it would
say "not run" of what may run."""

ISOLATED_RETRY_SECONDS: Final = 0.25
"""Time after which a peer is looked for again, where none had the log."""

MAX_PEERS_ASKED: Final = 3
"""Peers asked for one request, one after the other."""

OUTAGE_SECONDS: Final = 0.15
"""Age of a failure of the log after which peers are asked first."""

LISTEN_RETRY_DELAY_SECONDS: Final = 0.5
"""Pause before the listener is opened again."""
