"""Test the commands."""
