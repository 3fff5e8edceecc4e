"""Let a peer answer a caller while this entry node can't reach the log."""
