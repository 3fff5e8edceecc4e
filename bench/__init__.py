"""Hold measurements; each is run as ``python -m bench.NAME``."""
