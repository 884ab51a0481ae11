"""Checked settings: the operators tree and those of each process."""
