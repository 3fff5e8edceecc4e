"""Replay the platform's log into state that all entry nodes share."""
