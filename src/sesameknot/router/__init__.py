"""The request path of a router process."""
