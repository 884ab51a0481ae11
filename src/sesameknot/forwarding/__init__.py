"""Request path of the front process: forwards requests to endpoints unchanged."""
