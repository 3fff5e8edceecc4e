"""Know to which organisation a caller belongs, and what it may do."""
