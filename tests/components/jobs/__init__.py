"""Test long work and idempotency keys."""
