"""Admission control in front of the daemon's own target."""
