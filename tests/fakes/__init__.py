"""Stand in for the platform and for other parts."""
