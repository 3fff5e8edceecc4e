"""Test the names and formats of the platform."""
