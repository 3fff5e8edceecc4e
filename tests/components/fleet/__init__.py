"""Test the fleet component."""
