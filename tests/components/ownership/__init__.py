"""Test the ownership component."""
