"""Compute the request digest that an idempotency key is bound to."""

from __future__ import annotations

import hashlib

from .parse import CallerRequest


def request_digest(request: CallerRequest, body: bytes) -> str:
    """Return the digest of a request's method, target and body."""
    digest = hashlib.sha256()
    digest.update(f"{request.method}\x00{request.target}\x00".encode())
    digest.update(body)
    return digest.hexdigest()
