"""Test the entry node."""
