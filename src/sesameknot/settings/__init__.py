"""Validated settings: the operators' settings tree and the settings of processes."""
