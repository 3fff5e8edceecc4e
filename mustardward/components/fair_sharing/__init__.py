"""Share a full pool between organisations by their weights.

Nothing in this package reads a clock, does I/O or blocks.
"""
