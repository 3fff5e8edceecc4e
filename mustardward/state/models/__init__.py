"""Define the models of the state and the records that change it."""
