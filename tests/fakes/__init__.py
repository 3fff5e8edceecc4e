"""Stand in for parts in tests."""
