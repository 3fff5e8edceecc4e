"""Stand in for other parts in tests."""
