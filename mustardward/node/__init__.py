"""Run an entry on the users' platform."""
