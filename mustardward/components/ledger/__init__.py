"""Ledger of a shard: a keyed log that every entry node replays to the same state."""
