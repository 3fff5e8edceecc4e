"""Hold one folder for each capability of the product."""
