"""Constants of the request path."""

from __future__ import annotations

from typing import Final

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1)."""

RESERVED_PREFIX: Final = b"mw-"
"""Prefix of headers that only mustardward sets, towards workers and callers."""

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods that are idempotent unless ``mw-idempotent`` says otherwise."""

BODILESS_STATUSES: Final = frozenset({204, 304})

MAX_RETRY_BUFFER_BYTES: Final = 65_536
"""Maximum size of a request body that is buffered for retries."""

MAX_KEYED_BODY_BYTES: Final = 1_048_576
"""Maximum size of a body with an idempotency key, buffered for its digest."""

MAX_BUFFERED_RESPONSE_BYTES: Final = 65_536
"""Maximum size of a response that is buffered completely before it is forwarded."""

MAX_STORED_RESPONSE_BYTES: Final = 16_384
"""Maximum size of a response that is stored under an idempotency key."""

MAX_REFUSAL_BODY_BYTES: Final = 65_536
"""Maximum size of a worker's refusal that is read so its connection is reusable."""

CONNECT_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for opening a connection to a worker."""

TIMEOUT_GRACE_SECONDS: Final = 1.0
"""Time after its deadline at which a call's own timeouts expire."""

WORKER_KEEPALIVE_SECONDS: Final = 4.0
"""Idle time after which this side closes a connection to a worker.

Shorter than a worker's own idle timeout (at least 5 s): a request written to a
connection that the worker is closing would end as unknown although it never ran.
"""

PRUNE_INTERVAL_SECONDS: Final = 5.0
"""Interval at which idle connections are pruned."""

CALLER_KEEPALIVE_SECONDS: Final = 75.0
"""Idle timeout of callers' connections; longer than that of usual client pools."""

LINGER_SECONDS: Final = 1.0
"""Maximum time to read on a refused caller's body so that it gets the response."""

RETRY_AFTER_SECONDS: Final = 1.0
"""Minimum ``Retry-After`` of a refusal; jitter makes it up to three times as long."""

PROBLEM_TYPE_PREFIX: Final = "urn:mustardward:problem:"
