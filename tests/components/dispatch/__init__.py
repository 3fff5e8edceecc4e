"""Test the dispatch component."""
