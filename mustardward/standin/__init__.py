"""Stand in for the platform in tests, demos and drills."""
