"""Decision logic without I/O; clocks and random generators are passed in."""
