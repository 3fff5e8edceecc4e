"""Run the product under faults, record what happened, and check the record."""
