"""Test the ledger component."""
