"""Stand-ins of the platform, its minions and consumers for the review's scripts."""
