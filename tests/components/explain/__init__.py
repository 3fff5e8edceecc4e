"""Test the histories of subjects."""
