"""Apply each kind of record by deterministic functions of state and record."""
