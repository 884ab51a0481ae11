"""The request path of the front process: requests are passed on unchanged."""
