"""Run an entry node on the users' platform."""
