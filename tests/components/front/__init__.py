"""Test answering callers."""
