"""Randomized soak: real front processes, faults from outside, promises checked."""
