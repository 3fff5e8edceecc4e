"""Test the scheduler's decisions."""
