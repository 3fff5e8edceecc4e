"""Test an entry's own program."""
