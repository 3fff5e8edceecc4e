"""Answer callers on any entry, from the folded ledger."""
