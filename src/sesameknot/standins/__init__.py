"""Stand-ins for outside systems, used by tests, the demo and experiments."""
