"""Hold the constants of the request path."""

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
"""Headers that end at each hop (RFC 9110, section 7.6.1)."""

OWN_PREFIX: Final = b"mw-"
"""Prefix of headers that only mustardward sets towards workers and callers."""

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods that are idempotent unless ``mw-idempotent`` says otherwise."""

BODILESS_STATUSES: Final = frozenset({204, 304})

RETRY_BUFFER_BYTES: Final = 65_536
"""Longest body that is held so that a further attempt can send it again."""

KEYED_BODY_BYTES: Final = 1_048_576
"""Longest body under an idempotency key, which is held whole for its digest."""

HELD_ANSWER_BYTES: Final = 65_536
"""Longest answer that is held until it is whole, before any of it is passed on."""

STORED_ANSWER_BYTES: Final = 16_384
"""Longest answer that is kept under an idempotency key."""

REFUSED_BODY_BYTES: Final = 65_536
"""Longest body of a worker's refusal that is read to keep its connection."""

CONNECT_SECONDS: Final = 1.0
"""Longest time a connection to a worker may take."""

TIMEOUT_GRACE_SECONDS: Final = 1.0
"""How long after its deadline a call's own timeouts end it at the latest."""

WORKER_KEEPALIVE_SECONDS: Final = 4.0
"""Idle time after which a worker's connection is closed from this side.

Shorter than a worker's own idle timeout (5 s at least): a request written into a
connection that the worker is closing would end as unknown though it never ran.
"""

PRUNE_SECONDS: Final = 5.0
"""How often connections that nothing used are closed."""

CALLER_KEEPALIVE_SECONDS: Final = 75.0
"""Idle time after which a caller's connection is closed; longer than usual pools'."""

LINGER_SECONDS: Final = 1.0
"""Longest time a refused caller's unread body is read on, so it gets its answer."""

RETRY_AFTER_SECONDS: Final = 1.0
"""Shortest pause that a refusal asks for; it is spread up to three times as long."""

PROBLEM_TYPE_PREFIX: Final = "urn:mustardward:problem:"
