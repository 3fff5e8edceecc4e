"""Decide on each kind of record: pure functions of the state and the record."""
