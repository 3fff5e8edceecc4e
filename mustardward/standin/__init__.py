"""Simulate the platform and its workers for tests, drills and the demo."""
