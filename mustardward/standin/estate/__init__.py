"""Simulate the users' platform: store, workers and fleet, from a seed."""
