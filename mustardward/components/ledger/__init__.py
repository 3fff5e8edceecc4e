"""Keep the jobs of a shard in the platform's store, folded alike by every entry."""
