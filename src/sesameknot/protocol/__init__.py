"""Messages between processes, platform objects and HTTP bodies with their codecs."""
