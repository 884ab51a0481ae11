"""Pure decisions that take a clock and a random generator."""
