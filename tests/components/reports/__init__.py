"""Test the reports."""
