"""Identify the organisations of callers and decide what they may access."""
