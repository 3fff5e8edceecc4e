"""Move and maintain instances, in the name of the shard's owner."""
