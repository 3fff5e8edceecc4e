"""Elect one entry at a time as the owner of the shard, and do the owner's work."""
