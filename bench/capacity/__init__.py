"""Measure how each role's state, messages and processor time grow with the fleet."""
