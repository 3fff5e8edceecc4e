"""Test letting peers answer."""
