"""Stand in for the platform and its workers, in tests, drills and the demo."""
