"""Model the folded state and the records that change it."""
