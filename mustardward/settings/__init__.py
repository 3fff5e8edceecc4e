"""Load and validate the YAML settings of a process."""
