"""Stand in for the users' platform: store, workers and fleet, small and seeded."""
