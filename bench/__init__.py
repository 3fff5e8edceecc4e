"""Measure the product and build its one file."""
