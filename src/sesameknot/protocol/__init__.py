"""Typed messages and objects, and their encodings."""
