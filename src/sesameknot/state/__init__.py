"""In-memory tables without input or output."""
