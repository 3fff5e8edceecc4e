"""Answer callers on any entry node from its replica of the ledger."""
