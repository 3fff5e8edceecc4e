"""Size pools by the work that is projected for the next seconds; pure."""
