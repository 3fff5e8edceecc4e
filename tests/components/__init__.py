"""Test the components."""
