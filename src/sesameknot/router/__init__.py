"""The request path."""
