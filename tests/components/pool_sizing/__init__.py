"""Test pool sizing."""
