"""Follow the configuration and the maintenance waves that the operator publishes."""
