"""Tables in memory; no input or output."""
