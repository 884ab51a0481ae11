"""Entry points, one module per binary."""
