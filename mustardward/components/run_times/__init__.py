"""Estimate how long tasks run, from declared and observed run times.

Nothing in this package reads a clock, does I/O or blocks.
"""
