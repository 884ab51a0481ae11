"""Tasks that act together with other hosts."""
