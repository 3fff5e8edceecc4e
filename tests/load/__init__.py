"""Hold tests and their helpers."""
