"""Let one entry at a time own the shard, and work while it does."""
