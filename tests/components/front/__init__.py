"""Test the front end."""
