"""Test the stories of decisions."""
