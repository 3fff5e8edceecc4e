"""Follow what the operator publishes: configuration and maintenance waves."""
