"""A demo of the whole path with real processes on loopback."""
