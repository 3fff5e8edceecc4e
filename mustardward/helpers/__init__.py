"""Collect small helpers without knowledge of any component."""
