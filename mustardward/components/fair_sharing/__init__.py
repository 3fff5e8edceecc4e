"""Share a full pool between organisations by their weights.

Nothing in this package reads a clock or blocks; only ``share_logger`` writes log lines
and metrics.
"""
