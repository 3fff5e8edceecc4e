"""Carry the scheduler's commands to workers, and their reports back."""
