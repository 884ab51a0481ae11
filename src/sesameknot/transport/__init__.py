"""Sockets: peer connections, the platform's object API and endpoint calls."""
