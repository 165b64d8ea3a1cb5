"""The only way in to the daemon's own target."""
