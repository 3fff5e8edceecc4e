"""Fold the platform's log into the one truth that every entry shares."""
