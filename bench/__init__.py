"""Measure the product; each module prints its figures on its last line."""
