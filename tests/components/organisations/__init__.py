"""Test the organisations component."""
