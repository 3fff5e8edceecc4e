"""Test talking to workers."""
