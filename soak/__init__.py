"""Randomized soak test: injects faults into front processes and checks guarantees."""
