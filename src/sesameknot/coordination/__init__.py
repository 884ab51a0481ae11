"""Tasks that a host coordinates with other hosts."""
