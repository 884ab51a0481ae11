"""Network connections to peers, the platform's object API, endpoints and callers."""
