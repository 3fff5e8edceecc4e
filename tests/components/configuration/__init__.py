"""Test the configuration component."""
