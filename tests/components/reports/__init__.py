"""Test the accounts of service levels."""
