"""Move and maintain instances on behalf of the shard's owner."""
