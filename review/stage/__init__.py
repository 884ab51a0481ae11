"""Stand-ins and helpers of the second review's scripts; standard library only."""
