"""Send the scheduler's commands to workers and read their reports."""
