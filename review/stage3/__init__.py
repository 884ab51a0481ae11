"""Stage of the scripts of the third review: processes, store, servers and callers."""
