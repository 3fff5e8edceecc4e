"""Run a small fleet in one process, for the demo and tests."""
